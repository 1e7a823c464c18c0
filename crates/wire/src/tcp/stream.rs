//! The halves of a stream on a TCP link.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::task_tracker::TaskTrackerToken;
use unit::Instance;

use super::mux::{Ends, Event, Mux, WINDOW};
use super::record::{self, Number, Record};
use crate::{Error, Frame, codec};

/// Bytes of bodies that a receiver takes before it lets as many follow. It may have taken one byte less
/// than that without a grant, so a sender that waits for more than the rest of the window might wait for
/// ever.
const GRANT: usize = WINDOW / 2;

const _: () = assert!(
    codec::MAX_DATA <= WINDOW - (GRANT - 1),
    "what a sender writes at once fits into what its peer is certain to grant"
);

/// Writes frames of one stream.
pub(crate) struct Sender {
    mux: Mux,
    number: Number,
    buffer: BytesMut,
    /// Bytes of bodies in the buffer, for which there must be credit.
    bodies: usize,
    credit: Arc<Semaphore>,
    stop: CancellationToken,
    finished: bool,
    /// Held by the answering end until its answer is written, so that a planned stop waits for it.
    _answering: Option<TaskTrackerToken>,
}

/// Reads frames of one stream.
pub(crate) struct Receiver {
    mux: Mux,
    number: Number,
    from: mpsc::UnboundedReceiver<Event>,
    taken: usize,
    done: bool,
}

/// The halves of the stream `number`.
pub(crate) fn halves(
    mux: &Mux,
    number: Number,
    ends: Ends,
    answering: Option<TaskTrackerToken>,
) -> (Sender, Receiver) {
    let Ends { from, credit, stop } = ends;
    let sender = Sender {
        mux: mux.clone(),
        number,
        buffer: BytesMut::new(),
        bodies: 0,
        credit,
        stop,
        finished: false,
        _answering: answering,
    };
    let receiver = Receiver {
        mux: mux.clone(),
        number,
        from,
        taken: 0,
        done: false,
    };
    (sender, receiver)
}

impl Sender {
    pub(crate) fn push(&mut self, frame: &Frame) -> Result<(), Error> {
        if let Frame::Data(data) = frame {
            self.bodies += data.len();
        }
        // A frame is cloned by its handles; no bytes of a body are copied but into the buffer.
        record::write(self.number, &Record::Frame(frame.clone()), &mut self.buffer)
    }

    pub(crate) fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Bytes of bodies in the buffer.
    pub(crate) fn unpaid(&self) -> usize {
        self.bodies
    }

    pub(crate) async fn flush(&mut self) -> Result<(), Error> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        self.pay().await?;
        let bytes = self.buffer.split();
        self.mux.write(&bytes)
    }

    /// Waits until the receiver has room for the bodies in the buffer.
    async fn pay(&mut self) -> Result<(), Error> {
        let bytes = std::mem::take(&mut self.bodies).min(WINDOW);
        if bytes == 0 {
            return Ok(());
        }
        let paid = self.credit.acquire_many(bytes as u32).await;
        match paid {
            Ok(permits) => {
                permits.forget();
                Ok(())
            }
            Err(_) => Err(self.stopped_error()),
        }
    }

    fn stopped_error(&self) -> Error {
        match self.mux.is_open() {
            true => Error::Reset("write", self.mux.peer().to_string()),
            false => Error::broken("write", self.mux.peer(), self.mux.cause()),
        }
    }

    pub(crate) async fn send_raw(&mut self, bytes: Bytes) -> Result<(), Error> {
        self.mux.write(&bytes)
    }

    pub(crate) async fn finish(mut self) -> Result<(), Error> {
        self.pay().await?;
        record::write(self.number, &Record::Fin, &mut self.buffer)?;
        self.finished = true;
        let bytes = self.buffer.split();
        self.mux.write(&bytes)
    }

    pub(crate) async fn stopped(&mut self) {
        self.stop.cancelled().await;
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if !self.finished && self.mux.is_open() {
            // It fails only if the link has ended, and its streams with it.
            drop(self.mux.say(self.number, &Record::Reset));
        }
        self.mux.sent(self.number);
    }
}

impl Receiver {
    pub(crate) fn peer(&self) -> &Instance {
        self.mux.peer()
    }

    pub(crate) async fn recv(&mut self) -> Result<Option<Frame>, Error> {
        if self.done {
            return Ok(None);
        }
        match self.from.recv().await {
            Some(Event::Frame(frame)) => {
                self.grant(&frame)?;
                Ok(Some(frame))
            }
            Some(Event::Fin) => {
                self.done = true;
                Ok(None)
            }
            Some(Event::Reset) => {
                self.done = true;
                Err(Error::Reset("read", self.peer().to_string()))
            }
            None => {
                self.done = true;
                Err(Error::broken("read", self.peer(), self.mux.cause()))
            }
        }
    }

    /// Lets as much follow as was taken.
    fn grant(&mut self, frame: &Frame) -> Result<(), Error> {
        let Frame::Data(data) = frame else {
            return Ok(());
        };
        self.taken += data.len();
        if self.taken < GRANT {
            return Ok(());
        }
        let bytes = std::mem::take(&mut self.taken) as u32;
        self.mux.say(self.number, &Record::Credit(bytes))
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        // Most streams are dropped with their end at hand and not yet read.
        while let Ok(event) = self.from.try_recv() {
            self.done |= matches!(event, Event::Fin | Event::Reset);
        }
        if !self.done && self.mux.is_open() {
            // It fails only if the link has ended, and its streams with it.
            drop(self.mux.say(self.number, &Record::Stop));
        }
        self.mux.received(self.number);
    }
}
