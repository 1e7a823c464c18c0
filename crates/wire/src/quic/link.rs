//! One QUIC connection to one peer, with a count of its open streams.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;
use unit::Instance;

use crate::quic::stream::{self, Receiver, Sender, Side, not_admitted};
use crate::quic::watchdog;
use crate::{Error, Peer};

/// A connection to a peer that this daemon has dialled.
#[derive(Clone)]
pub(crate) struct Link {
    inner: Arc<Inner>,
}

pub(crate) struct Inner {
    pub(crate) connection: quinn::Connection,
    pub(crate) peer: Peer,
    /// Which of the dialer's sockets this link uses.
    pub(crate) generation: u64,
    pub(crate) open: AtomicUsize,
    /// Wakes the watchdog when the first stream opens.
    pub(crate) busy: Notify,
    /// The watchdog has closed the link because nothing came back on it.
    pub(crate) silent: AtomicBool,
}

/// Counts one open stream of a link until it is dropped.
pub(crate) struct Open {
    inner: Arc<Inner>,
}

impl Link {
    pub(crate) fn new(connection: quinn::Connection, peer: Peer, generation: u64) -> Link {
        let inner = Arc::new(Inner {
            connection,
            peer,
            generation,
            open: AtomicUsize::new(0),
            busy: Notify::new(),
            silent: AtomicBool::new(false),
        });
        tokio::spawn(watchdog::run(
            Arc::downgrade(&inner),
            inner.connection.clone(),
        ));
        Link { inner }
    }

    /// The peer that this link leads to.
    pub(crate) fn peer(&self) -> &Peer {
        &self.inner.peer
    }

    /// How many streams are open on it.
    pub(crate) fn open_streams(&self) -> usize {
        self.inner.open.load(Ordering::Relaxed)
    }

    /// The time of a round trip, as QUIC measures it.
    pub(crate) fn rtt(&self) -> std::time::Duration {
        self.inner.connection.rtt()
    }

    /// Bytes sent and received on this link so far, as UDP payload.
    pub(crate) fn bytes(&self) -> u64 {
        let stats = self.inner.connection.stats();
        stats.udp_tx.bytes + stats.udp_rx.bytes
    }

    /// Datagrams sent and received on this link so far.
    pub(crate) fn datagrams(&self) -> u64 {
        let stats = self.inner.connection.stats();
        stats.udp_tx.datagrams + stats.udp_rx.datagrams
    }

    /// Opens a stream for one call.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the link is gone; nothing has been sent then.
    pub(crate) async fn open(&self) -> Result<(Sender, Receiver), Error> {
        let open = Open::new(self.inner.clone());
        let halves = self.inner.connection.open_bi().await;
        let halves = halves.map_err(|e| match not_admitted(&e) {
            true => Error::dial(self.name(), e),
            false => Error::broken("open a stream", self.name(), e),
        })?;
        let connection = self.inner.connection.clone();
        Ok(stream::halves(
            connection,
            halves,
            self.name().clone(),
            Side::Asking(open),
        ))
    }

    /// Ends the link; its open streams fail.
    pub(crate) fn close(&self) {
        self.inner
            .connection
            .close(quinn::VarInt::from_u32(0), b"closed");
    }

    fn name(&self) -> &Instance {
        &self.inner.peer.instance
    }

    /// Resolves when the link has ended.
    pub(crate) async fn closed(&self) {
        // Whatever the reason, the link is of no more use.
        drop(self.inner.connection.closed().await);
    }

    /// The link can still carry calls.
    pub(crate) fn alive(&self) -> bool {
        self.inner.connection.close_reason().is_none()
    }

    pub(crate) fn generation(&self) -> u64 {
        self.inner.generation
    }

    /// The link ended because nothing came back on it.
    pub(crate) fn went_silent(&self) -> bool {
        match self.inner.connection.close_reason() {
            Some(quinn::ConnectionError::TimedOut) => true,
            Some(quinn::ConnectionError::LocallyClosed) => {
                self.inner.silent.load(Ordering::Acquire)
            }
            _ => false,
        }
    }
}

impl Open {
    fn new(inner: Arc<Inner>) -> Open {
        if inner.open.fetch_add(1, Ordering::AcqRel) == 0 {
            inner.busy.notify_one();
        }
        Open { inner }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.inner.open.fetch_sub(1, Ordering::AcqRel);
    }
}
