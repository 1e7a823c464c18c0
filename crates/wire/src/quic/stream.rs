//! One call's stream: a sender and a receiver of frames.

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use tokio_util::task::task_tracker::TaskTrackerToken;
use unit::{Instance, Urgency};

use crate::codec::{self, LENGTH, MAX_FRAME};
use crate::quic::link::Open;
use crate::{Error, Frame};

/// Told to the peer when we drop a stream before its end.
const CANCELLED: quinn::VarInt = quinn::VarInt::from_u32(1);

/// Told to the peer whose frame we can't read.
const GARBLED: quinn::VarInt = quinn::VarInt::from_u32(2);

/// Writes frames; dropped before [`Sender::finish`], it resets the stream, so that a cut answer
/// never looks complete.
pub(crate) struct Sender {
    inner: quinn::SendStream,
    peer: Instance,
    buffer: BytesMut,
    finished: bool,
    /// Held by the answering end until its peer has all, so that a planned stop waits for it.
    answering: Option<TaskTrackerToken>,
}

/// Reads frames; dropped early, it tells the peer to stop sending.
pub(crate) struct Receiver {
    inner: quinn::RecvStream,
    connection: quinn::Connection,
    peer: Instance,
    buffer: BytesMut,
    done: bool,
    _open: Option<Open>,
}

/// Which end of a stream this is.
pub(crate) enum Side {
    /// It opened the stream.
    Asking(Open),
    /// It answers.
    Answering(TaskTrackerToken),
}

/// Both halves of a stream.
pub(crate) fn halves(
    connection: quinn::Connection,
    halves: (quinn::SendStream, quinn::RecvStream),
    peer: Instance,
    side: Side,
) -> (Sender, Receiver) {
    let (send, recv) = halves;
    let (open, answering) = match side {
        Side::Asking(open) => (Some(open), None),
        Side::Answering(token) => (None, Some(token)),
    };
    let sender = Sender {
        inner: send,
        peer: peer.clone(),
        buffer: BytesMut::new(),
        finished: false,
        answering,
    };
    let receiver = Receiver {
        inner: recv,
        connection,
        peer,
        buffer: BytesMut::new(),
        done: false,
        _open: open,
    };
    (sender, receiver)
}

impl Sender {
    /// Sends this stream's bytes before those of less urgent streams of the link.
    pub(crate) fn urgency(&mut self, urgency: Urgency) {
        let priority = -(urgency.rank() as i32);
        // The stream may have been closed by the peer; then its priority no longer matters.
        let _ = self.inner.set_priority(priority);
    }

    /// Puts a frame into the buffer, to leave with the next [`Sender::flush`].
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] if the frame is too large.
    pub(crate) fn push(&mut self, frame: &Frame) -> Result<(), Error> {
        codec::encode_into(frame, &mut self.buffer)
    }

    /// Writes what the buffer holds.
    ///
    /// # Errors
    ///
    /// [`Error::Reset`] if the peer wants no more of this stream, [`Error::Broken`] if the link
    /// is gone.
    pub(crate) async fn flush(&mut self) -> Result<(), Error> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let bytes = self.buffer.split().freeze();
        let written = self.inner.write_chunk(bytes).await;
        written.map_err(|e| write_error(&self.peer, e))
    }

    /// Writes bytes that are no frame, for tests of the peer's defence.
    ///
    /// # Errors
    ///
    /// As [`Sender::flush`].
    pub(crate) async fn send_raw(&mut self, bytes: Bytes) -> Result<(), Error> {
        self.buffer.extend_from_slice(&bytes);
        self.flush().await
    }

    /// Writes the rest and ends the stream in order.
    ///
    /// The answering end waits until its peer has all of it or wants no more. A planned stop ends
    /// the links once all answers are given; without the wait, the tail of an answer whose last
    /// packet was lost would go with its link, and the caller would see a cut answer.
    ///
    /// # Errors
    ///
    /// As [`Sender::flush`].
    pub(crate) async fn finish(mut self) -> Result<(), Error> {
        self.flush().await?;
        self.finished = true;
        // It fails only if the peer has reset the stream, and then nobody waits for the end.
        let _ = self.inner.finish();
        if self.answering.is_some() {
            self.stopped().await;
        }
        Ok(())
    }

    /// Bytes that wait for the next flush.
    pub(crate) fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Resolves when the peer no longer wants this stream: its caller has gone, or the link has; of a
    /// finished stream also when the peer has all of it.
    pub(crate) async fn stopped(&mut self) {
        // Either result means that nobody reads on.
        let _ = self.inner.stopped().await;
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if !self.finished {
            // It fails only if the stream is already closed.
            let _ = self.inner.reset(CANCELLED);
        }
    }
}

impl Receiver {
    /// The instance at the other end.
    pub(crate) fn peer(&self) -> &Instance {
        &self.peer
    }

    /// Reads the next frame; `None` when the peer has ended the stream in order.
    ///
    /// Cancel safe: a read that is dropped loses no bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Reset`] if the peer dropped the stream, [`Error::Broken`] if the link is gone,
    /// [`Error::Garbled`] if the bytes are no frame; the link is then closed.
    pub(crate) async fn recv(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = self.parse()? {
                return Ok(Some(frame));
            }
            let chunk = self.inner.read_chunk(MAX_FRAME, true).await;
            match chunk.map_err(|e| read_error(&self.peer, e))? {
                Some(chunk) => self.buffer.extend_from_slice(&chunk.bytes),
                None => return self.ended(),
            }
        }
    }

    fn ended(&mut self) -> Result<Option<Frame>, Error> {
        self.done = true;
        if self.buffer.is_empty() {
            return Ok(None);
        }
        Err(self.garbled("the stream ends inside a frame"))
    }

    fn parse(&mut self) -> Result<Option<Frame>, Error> {
        let Some(head) = self.buffer.first_chunk::<LENGTH>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > MAX_FRAME {
            return Err(self.garbled(&format!("a frame of {length} bytes")));
        }
        if self.buffer.len() < LENGTH + length {
            return Ok(None);
        }
        let mut bytes = self.buffer.split_to(LENGTH + length);
        let body: Bytes = bytes.split_off(LENGTH).freeze();
        match codec::decode_body(body) {
            Ok(frame) => Ok(Some(frame)),
            Err(error) => Err(self.garbled(&error.to_string())),
        }
    }

    /// Ends this link only: the peer speaks something else, and no later frame can be trusted.
    fn garbled(&mut self, cause: &str) -> Error {
        log::warn!("wire: {} sent a bad frame: {cause}.", self.peer);
        self.connection.close(GARBLED, b"garbled frame");
        Error::garbled(&self.peer, cause)
    }
}

impl Receiver {
    /// The peer has ended the stream behind the last frame, and we have its end at hand.
    fn at_end(&mut self) -> bool {
        let rest = self.inner.read_chunk(1, true).now_or_never();
        matches!(rest, Some(Ok(None)))
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        // Most streams are dropped with their end received and not yet read. Telling the peer to
        // stop would then cost a packet each way for every call, half of all packets.
        if !self.done && !self.at_end() {
            // It fails only if the stream has ended by itself.
            let _ = self.inner.stop(CANCELLED);
        }
    }
}

fn write_error(peer: &Instance, error: quinn::WriteError) -> Error {
    match error {
        quinn::WriteError::Stopped(_) => Error::Reset("write", peer.to_string()),
        quinn::WriteError::ConnectionLost(lost) if not_admitted(&lost) => Error::dial(peer, lost),
        other => Error::broken("write", peer, other),
    }
}

fn read_error(peer: &Instance, error: quinn::ReadError) -> Error {
    match error {
        quinn::ReadError::Reset(_) => Error::Reset("read", peer.to_string()),
        quinn::ReadError::ConnectionLost(lost) if not_admitted(&lost) => Error::dial(peer, lost),
        other => Error::broken("read", peer, other),
    }
}

/// The peer has turned down our certificate. Our end of the handshake is done before it looks at
/// it, so a stream may be open by then; but the peer reads no frame before, so none has taken effect.
pub(crate) fn not_admitted(error: &quinn::ConnectionError) -> bool {
    /// QUIC carries TLS alerts as these codes; 42 to 49 are those about certificates and access.
    const TURNED_DOWN: std::ops::RangeInclusive<u64> = 0x100 + 42..=0x100 + 49;
    match error {
        quinn::ConnectionError::ConnectionClosed(close) => {
            TURNED_DOWN.contains(&u64::from(close.error_code))
        }
        _ => false,
    }
}
