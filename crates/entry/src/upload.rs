//! Hands the body of a request from its connection to the handler.
//!
//! The body ends only when the connection says that it has read the end. A sender that is dropped
//! before, as when the caller disconnects, leaves an error at the end of the body, so that a truncated
//! body can't be taken for a shorter complete one.

use std::io;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{mpsc, oneshot};

use crate::Body;

/// Chunks that are queued for the handler.
const CAPACITY: usize = 4;

/// The connection's end.
pub(crate) struct Sender {
    chunks: mpsc::Sender<Bytes>,
    end: oneshot::Sender<io::Result<()>>,
}

/// The handler's end.
struct Receiver {
    chunks: mpsc::Receiver<Bytes>,
    end: oneshot::Receiver<io::Result<()>>,
}

/// A body, and the sender of its chunks.
pub(crate) fn channel() -> (Sender, Body) {
    let (to, chunks) = mpsc::channel(CAPACITY);
    let (end, ended) = oneshot::channel();
    let receiver = Receiver { chunks, end: ended };
    let frames = stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.next().await {
            Ok(Some(chunk)) => Some((Ok(Frame::data(chunk)), Some(receiver))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    let sender = Sender { chunks: to, end };
    (sender, StreamBody::new(frames).boxed_unsync())
}

impl Sender {
    /// Whether the queue is full.
    pub(crate) fn is_full(&self) -> bool {
        self.chunks.capacity() == 0 && !self.chunks.is_closed()
    }

    /// Queues a chunk for the handler, unless the queue is full; false once the handler has dropped
    /// the body.
    pub(crate) fn try_send(&self, chunk: Bytes) -> bool {
        self.chunks.try_send(chunk).is_ok()
    }

    /// Ends the body, or reports why the rest of it can't be read.
    pub(crate) fn finish(self, end: io::Result<()>) {
        // It fails only if the handler has dropped the body.
        drop(self.end.send(end));
    }

    /// Resolves once the queue has room or the handler has dropped the body.
    pub(crate) fn room(&self) -> impl Future<Output = ()> + use<> {
        let chunks = self.chunks.clone();
        async move { drop(chunks.reserve().await) }
    }
}

impl Receiver {
    /// The next chunk; `None` at the end of the body.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        if let Some(chunk) = self.chunks.recv().await {
            return Ok(Some(chunk));
        }
        let cut = || {
            Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "the caller left",
            ))
        };
        (&mut self.end)
            .await
            .unwrap_or_else(|_| cut())
            .map(|()| None)
    }
}
