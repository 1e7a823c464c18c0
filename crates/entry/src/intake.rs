//! The body of a request on its way in.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::time::{Instant, timeout, timeout_at};
use unit::Size;
use wire::{Frame, Payload, Sender};

use crate::{Body, Reason, Refusal};

/// A body up to this size is read whole before the first try, so that it can be sent again.
pub(crate) const REPLAYABLE: usize = 64 << 10;

/// The bounds of one body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bound {
    /// Most bytes.
    pub(crate) size: Size,
    /// Longest pause between two pieces.
    pub(crate) pause: Duration,
    /// When the first part must be there. Without it a caller that sends a byte in each pause would
    /// be served for as long as it likes, and would hold up a planned stop.
    pub(crate) until: Instant,
}

/// A request's body, as far as it has been read.
pub(crate) enum Intake {
    /// There is none.
    Empty,
    /// All of it.
    Whole(Bytes),
    /// Its beginning, and the rest still to come.
    Streamed(Bytes, Rest),
    /// It has gone to a gate, and can't be sent again.
    Spent,
}

/// What is still to be read of a body.
pub(crate) struct Rest {
    body: Body,
    bound: Bound,
    seen: u64,
}

impl Intake {
    /// Reads the body up to `whole` bytes, and leaves the rest for later.
    ///
    /// # Errors
    ///
    /// A refusal if the body is too large, too slow or broken off.
    pub(crate) async fn read(body: Body, whole: usize, bound: Bound) -> Result<Intake, Refusal> {
        if body.is_end_stream() {
            return Ok(Intake::Empty);
        }
        let declared = body.size_hint().lower();
        if declared > bound.size.bytes() {
            return Err(too_large(bound.size));
        }
        let rest = Rest {
            body,
            bound,
            seen: 0,
        };
        let read = timeout_at(bound.until, Intake::start_of(rest, whole)).await;
        read.unwrap_or_else(|_| Err(late()))
    }

    async fn start_of(mut rest: Rest, whole: usize) -> Result<Intake, Refusal> {
        let mut start = BytesMut::new();
        while start.len() <= whole {
            match rest.next().await? {
                Some(data) => start.extend_from_slice(&data),
                None if start.is_empty() => return Ok(Intake::Empty),
                None => return Ok(Intake::Whole(start.freeze())),
            }
        }
        Ok(Intake::Streamed(start.freeze(), rest))
    }

    /// The body can be sent to another gate.
    pub(crate) fn replayable(&self) -> bool {
        matches!(self, Intake::Empty | Intake::Whole(_))
    }

    /// The body has not left yet, or could be sent once more.
    pub(crate) fn sendable(&self) -> bool {
        !matches!(self, Intake::Spent)
    }

    /// How it will follow the head.
    pub(crate) fn payload(&self) -> Payload {
        match self {
            Intake::Empty => Payload::Empty,
            Intake::Whole(_) => Payload::Whole,
            Intake::Streamed(..) | Intake::Spent => Payload::Streamed,
        }
    }

    /// The body, where all of it was read.
    pub(crate) fn whole(self) -> Bytes {
        match self {
            Intake::Whole(bytes) => bytes,
            Intake::Empty | Intake::Streamed(..) | Intake::Spent => Bytes::new(),
        }
    }

    /// The first bytes, for the fingerprint of the request.
    pub(crate) fn start(&self) -> &[u8] {
        match self {
            Intake::Whole(bytes) | Intake::Streamed(bytes, _) => bytes,
            Intake::Empty | Intake::Spent => &[],
        }
    }
}

impl Rest {
    /// The next piece, or `None` at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        let frame = match timeout(self.bound.pause, self.body.frame()).await {
            Err(_) => return Err(slow(self.bound.pause)),
            Ok(None) => return Ok(None),
            Ok(Some(Err(error))) => return Err(broken(&error)),
            Ok(Some(Ok(frame))) => frame,
        };
        let data = frame.into_data().unwrap_or_default();
        self.seen += data.len() as u64;
        if self.seen > self.bound.size.bytes() {
            return Err(too_large(self.bound.size));
        }
        Ok(Some(data))
    }

    /// Sends `start` and all that follows. Where it breaks off, the sender is dropped, and the
    /// gate sees a cut body and never a shorter one.
    pub(crate) async fn pump(mut self, start: Bytes, mut sender: Sender) {
        let sent = self.send(start, &mut sender).await;
        match sent {
            Ok(()) => drop(sender.finish().await),
            Err(Stop::Caller(refusal)) => {
                log::info!("entry: a body broke off on its way: {}.", refusal.reason());
            }
            Err(Stop::Gate) => {}
        }
    }

    async fn send(&mut self, start: Bytes, sender: &mut Sender) -> Result<(), Stop> {
        write(sender, start).await?;
        while let Some(data) = self.next().await.map_err(Stop::Caller)? {
            write(sender, data).await?;
        }
        sender.push(&Frame::End).map_err(|_| Stop::Gate)
    }
}

/// Why a body went no further.
enum Stop {
    Caller(Refusal),
    Gate,
}

async fn write(sender: &mut Sender, data: Bytes) -> Result<(), Stop> {
    sender.write(data).await.map_err(|_| Stop::Gate)?;
    // The next piece may be long in coming.
    sender.flush().await.map_err(|_| Stop::Gate)
}

fn too_large(bound: Size) -> Refusal {
    Refusal::not_run(Reason::TooLarge).detail(format!("the body is larger than {bound}"))
}

fn slow(pause: Duration) -> Refusal {
    let detail = format!("no byte of the body came for {pause:?}");
    Refusal::not_run(Reason::SlowBody).detail(detail)
}

fn late() -> Refusal {
    Refusal::not_run(Reason::SlowBody).detail("the body did not come before the deadline")
}

fn broken(error: &std::io::Error) -> Refusal {
    Refusal::not_run(Reason::Malformed).detail(format!("the body broke off: {error}"))
}
