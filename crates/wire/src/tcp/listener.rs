//! The end of TCP links that peers dial.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use unit::Instance;

use super::greet::Greeter;
use super::mux::{Arrival, Ends, Event, Mux};
use super::record::{Number, Record};
use super::stream::{self, Receiver, Sender};
use crate::silence::Silence;
use crate::{Error, Frame, Note};

/// How long a close waits for the tails of answers.
const DELIVER_WITHIN: Duration = Duration::from_secs(2);

/// Nothing received for so long: the dialling end, which pings each second, is gone.
const SILENT_AFTER: Duration = Duration::from_secs(10);

/// How often a link is checked for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(2_500);

/// Connections that may be without a greeting at once. Who connects may be no daemon, and say nothing.
const MAX_GREETINGS: usize = 256;

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Accepts links.
pub(crate) struct Listener {
    listener: TcpListener,
    greeter: Greeter,
    closed: CancellationToken,
    /// Streams whose answers are not written yet.
    answering: TaskTracker,
    links: Arc<Mutex<Vec<Mux>>>,
    greetings: Arc<Semaphore>,
}

/// A link that a peer has begun.
pub(crate) struct Handshake {
    stream: TcpStream,
    greeting: OwnedSemaphorePermit,
    greeter: Greeter,
    answering: TaskTracker,
    links: Arc<Mutex<Vec<Mux>>>,
}

/// A link that a peer has dialled.
pub(crate) struct Inbound {
    mux: Mux,
    opened: tokio::sync::Mutex<mpsc::UnboundedReceiver<Opened>>,
    answering: TaskTracker,
}

type Opened = (Number, mpsc::UnboundedReceiver<Event>);

/// Tells the dialling end something.
#[derive(Clone)]
pub(crate) struct Teller {
    mux: Mux,
}

impl Listener {
    pub(crate) async fn bind(address: SocketAddr, greeter: Greeter) -> Result<Listener, Error> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|e| Error::setup("bind the link address", e))?;
        Ok(Listener {
            listener,
            greeter,
            closed: CancellationToken::new(),
            answering: TaskTracker::new(),
            links: Arc::default(),
            greetings: Arc::new(Semaphore::new(MAX_GREETINGS)),
        })
    }

    pub(crate) fn address(&self) -> Result<SocketAddr, Error> {
        let address = self.listener.local_addr();
        address.map_err(|e| Error::setup("read the link address", e))
    }

    pub(crate) async fn accept(&self) -> Option<Handshake> {
        loop {
            let accepted = tokio::select! {
                accepted = self.accept_when_free() => accepted,
                () = self.closed.cancelled() => return None,
            };
            match accepted {
                Ok((stream, greeting)) => {
                    return Some(Handshake {
                        stream,
                        greeting,
                        greeter: self.greeter.clone(),
                        answering: self.answering.clone(),
                        links: self.links.clone(),
                    });
                }
                Err(error) => {
                    log::warn!("wire: no link accepted: {error}.");
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    async fn accept_when_free(&self) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
        let greeting = self.greetings.clone().acquire_owned().await;
        // The semaphore is never closed.
        let greeting = greeting.map_err(io::Error::other)?;
        let (stream, _) = self.listener.accept().await?;
        Ok((stream, greeting))
    }

    pub(crate) async fn close(&self) {
        self.closed.cancel();
        self.answering.close();
        let links = std::mem::take(&mut *self.links.lock());
        let delivered = async {
            self.answering.wait().await;
            for link in &links {
                link.flushed().await;
            }
        };
        if timeout(DELIVER_WITHIN, delivered).await.is_err() {
            let count = self.answering.len();
            log::warn!("wire: the links end with {count} answers on their way.");
        }
        for link in &links {
            link.end("closed here");
        }
    }
}

impl Handshake {
    pub(crate) async fn finish(mut self) -> Result<Inbound, Error> {
        let nodelay = self.stream.set_nodelay(true);
        nodelay.map_err(|e| Error::dial("a peer", e))?;
        let greeting = self.greeter.greet(&mut self.stream).await?;
        drop(self.greeting);
        let (to, opened) = mpsc::unbounded_channel();
        let told = self.greeter.told.clone();
        let from = greeting.instance.clone();
        let mux = Mux::start(
            self.stream,
            greeting.instance,
            move |arrival| match arrival {
                // Nobody takes streams of a link that is being closed.
                Arrival::Opened(number, events) => drop(to.send((number, events))),
                Arrival::Told(note) => told(&from, note),
            },
        );
        {
            let mut links = self.links.lock();
            links.retain(Mux::is_open);
            links.push(mux.clone());
        }
        tokio::spawn(watch(mux.clone()));
        Ok(Inbound {
            mux,
            opened: tokio::sync::Mutex::new(opened),
            answering: self.answering,
        })
    }
}

impl Inbound {
    pub(crate) fn peer(&self) -> &Instance {
        self.mux.peer()
    }

    pub(crate) async fn stream(&self) -> Result<(Sender, Receiver), Error> {
        let ended = || Error::broken("accept a stream", self.peer(), self.mux.cause());
        loop {
            let opened = async { self.opened.lock().await.recv().await };
            let opened = tokio::select! {
                opened = opened => opened,
                () = self.mux.shared().closed.cancelled() => return Err(ended()),
            };
            let (number, from) = opened.ok_or_else(ended)?;
            // One that is gone already ended with its link.
            let Some((credit, stop)) = self.mux.ends(number) else {
                continue;
            };
            let ends = Ends { from, credit, stop };
            let token = Some(self.answering.token());
            return Ok(stream::halves(&self.mux, number, ends, token));
        }
    }

    pub(crate) fn teller(&self) -> Teller {
        Teller {
            mux: self.mux.clone(),
        }
    }

    pub(crate) fn close(&self) {
        self.mux.end("closed here");
    }
}

impl Teller {
    pub(crate) fn tell(&self, note: Note) -> Result<(), Error> {
        self.mux.say(0, &Record::Frame(Frame::Note(note)))
    }
}

/// Ends a link whose dialling end has gone without a word.
async fn watch(mux: Mux) {
    let mut silence = Silence::new(mux.count().heard);
    while mux.is_open() {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = mux.shared().closed.cancelled() => return,
        }
        let heard = || mux.count().heard;
        let lasted = silence
            .add_polled(CHECK_INTERVAL, SILENT_AFTER, heard)
            .await;
        if lasted >= SILENT_AFTER {
            mux.end("silent");
        }
    }
}
