//! The dialling end of a TCP link.

use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::greet::Greeter;
use super::mux::{Arrival, Mux};
use super::stream::{self, Receiver, Sender};
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

/// A link that this end has dialled.
#[derive(Clone)]
pub(crate) struct Link {
    mux: Mux,
    peer: Peer,
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
    let link = Link { mux, peer };
    tokio::spawn(watch(link.clone()));
    Ok(link)
}

impl Link {
    pub(crate) fn peer(&self) -> &Peer {
        &self.peer
    }

    pub(crate) fn open(&self) -> Result<(Sender, Receiver), Error> {
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

    pub(crate) async fn closed(&self) {
        self.mux.shared().closed.cancelled().await;
    }

    pub(crate) fn alive(&self) -> bool {
        self.mux.is_open()
    }
}

/// Pings while nothing comes, and ends a link that has gone silent.
async fn watch(link: Link) {
    while link.alive() {
        let look = match link.open_streams() {
            0 => IDLE_LOOK,
            _ => BUSY_LOOK,
        };
        tokio::select! {
            () = sleep(look) => {}
            () = link.closed() => return,
        }
        let heard = link.mux.count().heard;
        if heard.elapsed() < look {
            continue;
        }
        let silent = link.mux.ping().filter(|pinged| *pinged > heard);
        if silent.is_some_and(|pinged| Instant::now() - pinged >= SILENT_AFTER) {
            log::warn!("wire: the link to {} has gone silent.", link.peer.instance);
            link.mux.end("silent");
        }
    }
}
