//! One call's stream: a sender and a receiver of frames.

use bytes::Bytes;
use unit::{Instance, Urgency};

use crate::{Error, Frame, codec, quic, tcp};

/// Both halves of a stream.
pub struct Stream {
    /// Frames to the peer.
    pub sender: Sender,
    /// Frames from the peer.
    pub receiver: Receiver,
}

/// Writes frames; dropped before [`Sender::finish`], it resets the stream, so that a cut answer
/// never looks complete.
pub struct Sender {
    half: SenderHalf,
}

/// Reads frames; dropped early, it tells the peer to stop sending.
pub struct Receiver {
    half: ReceiverHalf,
}

enum SenderHalf {
    Quic(quic::stream::Sender),
    Tcp(tcp::Sender),
}

enum ReceiverHalf {
    Quic(quic::stream::Receiver),
    Tcp(tcp::Receiver),
}

impl Stream {
    pub(crate) fn quic(
        (sender, receiver): (quic::stream::Sender, quic::stream::Receiver),
    ) -> Stream {
        Stream {
            sender: Sender {
                half: SenderHalf::Quic(sender),
            },
            receiver: Receiver {
                half: ReceiverHalf::Quic(receiver),
            },
        }
    }

    pub(crate) fn tcp((sender, receiver): (tcp::Sender, tcp::Receiver)) -> Stream {
        Stream {
            sender: Sender {
                half: SenderHalf::Tcp(sender),
            },
            receiver: Receiver {
                half: ReceiverHalf::Tcp(receiver),
            },
        }
    }
}

impl Sender {
    /// Sends this stream's bytes before those of less urgent streams of the link, where the link
    /// can tell them apart: QUIC can, TCP sends in the order of the writes.
    pub fn urgency(&mut self, urgency: Urgency) {
        if let SenderHalf::Quic(sender) = &mut self.half {
            sender.urgency(urgency);
        }
    }

    /// Puts a frame into the buffer, to leave with the next [`Sender::flush`].
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] if the frame is too large.
    pub fn push(&mut self, frame: &Frame) -> Result<(), Error> {
        match &mut self.half {
            SenderHalf::Quic(sender) => sender.push(frame),
            SenderHalf::Tcp(sender) => sender.push(frame),
        }
    }

    /// Writes what the buffer holds.
    ///
    /// # Errors
    ///
    /// [`Error::Reset`] if the peer wants no more of this stream, [`Error::Broken`] if the link
    /// is gone.
    pub async fn flush(&mut self) -> Result<(), Error> {
        match &mut self.half {
            SenderHalf::Quic(sender) => sender.flush().await,
            SenderHalf::Tcp(sender) => sender.flush().await,
        }
    }

    /// Writes one frame at once.
    ///
    /// # Errors
    ///
    /// As [`Sender::push`] and [`Sender::flush`].
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.push(frame)?;
        self.flush().await
    }

    /// Puts a piece of a body into the buffer, in frames of at most
    /// [`MAX_DATA`](codec::MAX_DATA) bytes, and writes the buffer out whenever it holds as much.
    ///
    /// What is left in the buffer leaves with the next [`Sender::flush`]. A short answer so leaves
    /// in one packet with its head and its end: each write costs a system call and wakes the peer.
    ///
    /// # Errors
    ///
    /// As [`Sender::flush`].
    pub async fn write(&mut self, mut data: Bytes) -> Result<(), Error> {
        while !data.is_empty() {
            let room = codec::MAX_DATA.saturating_sub(self.unpaid()).max(1);
            let piece = data.split_to(data.len().min(room));
            self.push(&Frame::Data(piece))?;
            if self.buffered() >= codec::MAX_DATA {
                self.flush().await?;
            }
        }
        Ok(())
    }

    /// Bytes of bodies in the buffer for which the peer must have room at once.
    fn unpaid(&self) -> usize {
        match &self.half {
            SenderHalf::Quic(_) => 0,
            SenderHalf::Tcp(sender) => sender.unpaid(),
        }
    }

    fn buffered(&self) -> usize {
        match &self.half {
            SenderHalf::Quic(sender) => sender.buffered(),
            SenderHalf::Tcp(sender) => sender.buffered(),
        }
    }

    /// Writes bytes that are no frame, for tests of the peer's defence.
    ///
    /// # Errors
    ///
    /// As [`Sender::flush`].
    #[doc(hidden)]
    pub async fn send_raw(&mut self, bytes: Bytes) -> Result<(), Error> {
        match &mut self.half {
            SenderHalf::Quic(sender) => sender.send_raw(bytes).await,
            SenderHalf::Tcp(sender) => sender.send_raw(bytes).await,
        }
    }

    /// Writes the rest and ends the stream in order.
    ///
    /// # Errors
    ///
    /// As [`Sender::flush`].
    pub async fn finish(self) -> Result<(), Error> {
        match self.half {
            SenderHalf::Quic(sender) => sender.finish().await,
            SenderHalf::Tcp(sender) => sender.finish().await,
        }
    }

    /// Resolves when the peer no longer wants this stream: its caller has gone, or the link has.
    pub async fn stopped(&mut self) {
        match &mut self.half {
            SenderHalf::Quic(sender) => sender.stopped().await,
            SenderHalf::Tcp(sender) => sender.stopped().await,
        }
    }
}

impl Receiver {
    /// The instance at the other end.
    pub fn peer(&self) -> &Instance {
        match &self.half {
            ReceiverHalf::Quic(receiver) => receiver.peer(),
            ReceiverHalf::Tcp(receiver) => receiver.peer(),
        }
    }

    /// Reads the next frame; `None` when the peer has ended the stream in order.
    ///
    /// Cancel safe: a read that is dropped loses no bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Reset`] if the peer dropped the stream, [`Error::Broken`] if the link is gone,
    /// [`Error::Garbled`] if the bytes are no frame; the link is then closed.
    pub async fn recv(&mut self) -> Result<Option<Frame>, Error> {
        match &mut self.half {
            ReceiverHalf::Quic(receiver) => receiver.recv().await,
            ReceiverHalf::Tcp(receiver) => receiver.recv().await,
        }
    }
}
