//! The transfer of a request's body to its handler.

use std::io;
use std::sync::Arc;

use bytes::BytesMut;
use clients::Hold;
use http1::Piece;

use crate::upload;

/// Bytes of a body that are read after its handler has dropped it, so that the caller can read its answer
/// and use the connection again.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// Most bytes of a body that its handler keeps.
const MAX_KEPT_BYTES: usize = 1 << 20;

/// The transfer of a request's body to the handler.
pub(super) struct BodyUpload {
    body: http1::Body,
    /// `None` once the handler has dropped the body; the rest is read and discarded.
    to: Option<upload::Sender>,
    /// What the request holds.
    hold: Arc<Hold>,
    /// Bytes of the body that are counted in `hold`.
    kept: usize,
    /// Whether input waits until the handler takes more.
    blocked: bool,
    /// Bytes read of the body since the handler has dropped it.
    discarded: usize,
}

impl BodyUpload {
    /// A body of which nothing has been read.
    pub(super) fn new(body: http1::Body, to: upload::Sender, hold: Arc<Hold>) -> BodyUpload {
        BodyUpload {
            body,
            to: Some(to),
            hold,
            kept: 0,
            blocked: false,
            discarded: 0,
        }
    }

    /// Whether input waits until the handler takes more.
    pub(super) fn is_blocked(&self) -> bool {
        self.blocked
    }

    /// Resolves once the handler that blocks the body can take more, or has dropped it; `None` if nothing
    /// blocks it.
    pub(super) fn room(&self) -> Option<impl Future<Output = ()> + use<>> {
        let to = self.to.as_ref().filter(|_| self.blocked)?;
        Some(to.room())
    }

    /// Passes what has arrived to the handler; `None` until the body has ended.
    pub(super) fn forward(&mut self, input: &mut BytesMut) -> Option<io::Result<()>> {
        loop {
            if self.body.is_done() {
                return Some(Ok(()));
            }
            self.blocked = self.to.as_ref().is_some_and(upload::Sender::is_full);
            if self.blocked {
                return None;
            }
            let before = input.len();
            let piece = self.body.next(input);
            if self.to.is_none() {
                self.discarded += before - input.len();
            }
            match piece {
                _ if self.discarded > MAX_DISCARDED_BYTES => {
                    return Some(Err(io::Error::other("too much of a body to discard")));
                }
                Ok(Some(Piece::Data(data))) => {
                    self.keep(data.len());
                    self.to = self.to.take().filter(|to| to.try_send(data));
                }
                Ok(Some(Piece::End)) => return Some(Ok(())),
                Ok(None) => return None,
                Err(fault) => return Some(Err(io::Error::other(fault.to_string()))),
            }
        }
    }

    /// Tells the handler how the body has ended.
    pub(super) fn finish(self, end: io::Result<()>) {
        if let Some(to) = self.to {
            to.finish(end);
        }
    }

    fn keep(&mut self, bytes: usize) {
        let bytes = match self.to {
            Some(_) => bytes.min(MAX_KEPT_BYTES - self.kept),
            None => 0,
        };
        if bytes > 0 {
            self.kept += bytes;
            self.hold.grow(bytes);
        }
    }
}
