//! One QUIC connection to one peer, with a count of its open streams.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::Notify;
use unit::Instance;

use crate::stream::{Side, not_admitted};
use crate::watchdog;
use crate::{Error, Frame, Note, Peer, Stream, Topic};

/// A connection to a peer that this daemon has dialled.
#[derive(Clone)]
pub struct Link {
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
    pub fn peer(&self) -> &Peer {
        &self.inner.peer
    }

    /// How many streams are open on it.
    pub fn open_streams(&self) -> usize {
        self.inner.open.load(Ordering::Relaxed)
    }

    /// The time of a round trip, as QUIC measures it.
    pub fn rtt(&self) -> std::time::Duration {
        self.inner.connection.rtt()
    }

    /// Bytes sent and received on this link so far, as UDP payload.
    pub fn bytes(&self) -> u64 {
        let stats = self.inner.connection.stats();
        stats.udp_tx.bytes + stats.udp_rx.bytes
    }

    /// Datagrams sent and received on this link so far.
    pub fn datagrams(&self) -> u64 {
        let stats = self.inner.connection.stats();
        stats.udp_tx.datagrams + stats.udp_rx.datagrams
    }

    /// Opens a stream for one call.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the link is gone; nothing has been sent then.
    pub async fn open(&self) -> Result<Stream, Error> {
        let open = Open::new(self.inner.clone());
        let halves = self.inner.connection.open_bi().await;
        let halves = halves.map_err(|e| match not_admitted(&e) {
            true => Error::dial(self.name(), e),
            false => Error::broken("open a stream", self.name(), e),
        })?;
        let connection = self.inner.connection.clone();
        Ok(Stream::new(
            connection,
            halves,
            self.name().clone(),
            Side::Asking(open),
        ))
    }

    /// Sends one frame on a stream of its own and reads the one that answers it.
    ///
    /// # Errors
    ///
    /// As [`Link::open`], [`Sender::send`](crate::Sender::send) and
    /// [`Receiver::recv`](crate::Receiver::recv).
    pub async fn ask(&self, frame: &Frame) -> Result<Frame, Error> {
        let Stream {
            mut sender,
            mut receiver,
        } = self.open().await?;
        sender.push(frame)?;
        sender.finish().await?;
        let answer = receiver.recv().await?;
        answer.ok_or_else(|| Error::broken("ask", self.name(), "the peer ended without an answer"))
    }

    /// Sends one message of a control role and reads the payload of the one that answers it.
    ///
    /// # Errors
    ///
    /// As [`Link::ask`], and [`Error::Garbled`] if the answer is no note of the same role.
    pub async fn note(&self, topic: Topic, payload: Bytes) -> Result<Bytes, Error> {
        match self.ask(&Frame::Note(Note { topic, payload })).await? {
            Frame::Note(note) if note.topic == topic => Ok(note.payload),
            _ => Err(Error::garbled(self.name(), "an answer of another kind")),
        }
    }

    /// Ends the link; its open streams fail.
    pub fn close(&self) {
        self.inner
            .connection
            .close(quinn::VarInt::from_u32(0), b"closed");
    }

    fn name(&self) -> &Instance {
        &self.inner.peer.instance
    }

    /// The link can still carry calls.
    pub fn alive(&self) -> bool {
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
