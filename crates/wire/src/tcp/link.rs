//! The dialling end of a TCP link.

use std::sync::Arc;
use std::time::Duration;

use timer::timeout;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

use super::greet::Greeter;
use super::mux::{Arrival, Mux};
use super::stream::{self, Receiver, Sender};
use crate::silence::Silence;
use crate::{Error, Peer};

/// How long a connection may take to come about. The way between regions takes 35 ms; a machine
/// without power never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a link is looked at while calls are open on it, and while none is.
const BUSY_LOOK: Duration = Duration::from_millis(200);
const IDLE_LOOK: Duration = Duration::from_secs(1);

/// Something between two ends can lose track of a connection, which then is silent for good.
/// After so long without an answer to a ping the link is taken for silent. Its calls are asked
/// after by token, so that a false alarm costs time and never a second run.
const SILENT_AFTER: Duration = Duration::from_millis(800);

/// A ping that is unanswered for so long makes a link quiet: requests are sent elsewhere, and those
/// under way may be copied. A round trip between regions takes 70 ms, and a daemon whose processor is
/// a quota answers within a tenth of a second. A false alarm costs a choice and not the link, so this
/// need not be as sure as [`SILENT_AFTER`].
const QUIET_AFTER: Duration = Duration::from_millis(150);

/// A link that this end has dialled.
#[derive(Clone)]
pub(crate) struct Link {
    mux: Mux,
    peer: Peer,
    quiet: watch::Receiver<bool>,
    /// Told when a call is opened on a link that had none.
    woken: Arc<Notify>,
}

/// Dials `peer` and greets it.
///
/// # Errors
///
/// [`Error::Dial`] if it can't be reached, or is another instance.
pub(crate) async fn dial(peer: &Peer, greeter: &Greeter) -> Result<Link, Error> {
    let error = |cause: String| Error::dial(&peer.instance, cause);
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.address));
    let connected = connecting.await.map_err(|_| error("no answer".into()))?;
    let mut stream = connected.map_err(|e| error(e.to_string()))?;
    stream.set_nodelay(true).map_err(|e| error(e.to_string()))?;
    let greeting = greeter.greet(&mut stream).await?;
    if greeting.instance != peer.instance {
        // The address has been given to another instance, which the roster has just heard of.
        return Err(error(format!("{} answers there", greeting.instance)));
    }
    let told = greeter.told.clone();
    let from = peer.instance.clone();
    let mux = Mux::start(stream, from.clone(), move |arrival| match arrival {
        Arrival::Told(note) => told(&from, note),
        // A stream that nobody serves is dropped, which resets it.
        Arrival::Opened(..) => log::warn!("wire: {from} opens a stream on a link that it took."),
    });
    let peer = Peer {
        fingerprint: greeting.fingerprint,
        ..peer.clone()
    };
    let (tells, quiet) = watch::channel(false);
    let woken = Arc::new(Notify::new());
    let link = Link {
        mux,
        peer,
        quiet,
        woken,
    };
    tokio::spawn(look_after(link.clone(), tells));
    Ok(link)
}

impl Link {
    pub(crate) fn peer(&self) -> &Peer {
        &self.peer
    }

    pub(crate) fn open(&self) -> Result<(Sender, Receiver), Error> {
        if self.mux.streams() == 0 {
            self.woken.notify_one();
        }
        let (number, ends) = self.mux.open()?;
        Ok(stream::halves(&self.mux, number, ends, None))
    }

    pub(crate) fn open_streams(&self) -> usize {
        self.mux.streams()
    }

    pub(crate) fn rtt(&self) -> Duration {
        self.mux.count().rtt
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.mux.count().bytes
    }

    pub(crate) fn writes(&self) -> u64 {
        self.mux.count().writes
    }

    pub(crate) fn close(&self) {
        self.mux.end("closed here");
    }

    /// Tells each change between quiet (true) and heard.
    pub(crate) fn quiet(&self) -> watch::Receiver<bool> {
        self.quiet.clone()
    }

    /// How long until the link is looked at again.
    fn next_look(&self) -> Duration {
        let count = self.mux.count();
        match (count.pinged.is_some(), self.open_streams()) {
            (true, _) => QUIET_AFTER,
            (false, 0) => IDLE_LOOK,
            (false, _) => BUSY_LOOK,
        }
    }

    pub(crate) async fn closed(&self) {
        self.mux.shared().closed.cancelled().await;
    }

    pub(crate) fn alive(&self) -> bool {
        self.mux.is_open()
    }
}

/// Pings while nothing comes, tells when a link turns quiet, and ends one that has gone silent.
async fn look_after(link: Link, quiet: watch::Sender<bool>) {
    let mut silence = Silence::new(link.mux.count().heard);
    while link.alive() {
        let look = link.next_look();
        let began = Instant::now();
        tokio::select! {
            () = sleep(look) => {}
            // The calls on a link are looked after from the first one on.
            () = link.woken.notified() => {}
            () = link.closed() => return,
        }
        let waited = began.elapsed();
        if link.mux.count().is_unanswered() {
            timer::polled().await;
        }
        let count = link.mux.count();
        let lasted = match silence.add(look, count.heard) {
            lasted if count.is_unanswered() => lasted,
            _ => Duration::ZERO,
        };
        // After a wait that lasted too long this end was held up itself, perhaps with its peer.
        if waited <= look + QUIET_AFTER {
            let is_quiet = lasted >= QUIET_AFTER;
            quiet.send_if_modified(|was| std::mem::replace(was, is_quiet) != is_quiet);
        }
        if lasted >= SILENT_AFTER {
            log::warn!("wire: the link to {} has gone silent.", link.peer.instance);
            link.mux.end("silent");
        } else if count.pinged.is_none() && count.heard.elapsed() >= BUSY_LOOK {
            link.mux.ping();
            silence = Silence::new(count.heard);
        }
    }
}
