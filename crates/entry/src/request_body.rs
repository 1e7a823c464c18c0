//! Reads the body of a request and forwards it to a gate.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use timer::timeout_at;
use tokio::time::Instant;
use unit::Size;
use wire::{Frame, Payload, Sender};

use crate::{Body, Reason, Refusal};

/// A body of up to this size is buffered before the first attempt, so that it can be sent again.
pub(crate) const REPLAYABLE_BYTES: usize = 64 << 10;

/// The limits on one body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Largest size of the body.
    pub(crate) size: Size,
    /// Longest wait for the next chunk.
    pub(crate) idle_timeout: Duration,
    /// When the part that is read ahead must have arrived. Without this limit, a caller that sends
    /// one byte per idle timeout could keep its request open indefinitely and delay a planned stop.
    pub(crate) deadline: Instant,
}

/// The body of a request, to the extent that it has been read.
pub(crate) enum RequestBody {
    /// The request has no body.
    Empty,
    /// The complete body, in memory.
    Complete(Bytes),
    /// The bytes read so far, and the reader for the rest.
    Streamed(Bytes, Rest),
    /// The body was forwarded to a gate and can't be sent again.
    Consumed,
}

/// The part of a body that has not been read yet.
pub(crate) struct Rest {
    body: Body,
    limits: Limits,
    bytes_read: u64,
}

impl RequestBody {
    /// Reads the body until more than `buffer` bytes are in memory; the rest is streamed later.
    ///
    /// # Errors
    ///
    /// A refusal if the body is too large, arrives too slowly, or ends early.
    pub(crate) async fn read(
        body: Body,
        buffer: usize,
        limits: Limits,
    ) -> Result<RequestBody, Refusal> {
        if body.is_end_stream() {
            return Ok(RequestBody::Empty);
        }
        let declared = body.size_hint().lower();
        if declared > limits.size.bytes() {
            return Err(too_large(limits.size));
        }
        let rest = Rest {
            body,
            limits,
            bytes_read: 0,
        };
        let read = timeout_at(limits.deadline, RequestBody::read_start(rest, buffer)).await;
        read.unwrap_or_else(|_| Err(past_deadline()))
    }

    async fn read_start(mut rest: Rest, buffer: usize) -> Result<RequestBody, Refusal> {
        let mut start = BytesMut::new();
        while start.len() <= buffer {
            match rest.next().await? {
                Some(data) => start.extend_from_slice(&data),
                None if start.is_empty() => return Ok(RequestBody::Empty),
                None => return Ok(RequestBody::Complete(start.freeze())),
            }
        }
        Ok(RequestBody::Streamed(start.freeze(), rest))
    }

    /// Whether the body can be sent again after it was sent to a gate.
    pub(crate) fn replayable(&self) -> bool {
        matches!(self, RequestBody::Empty | RequestBody::Complete(_))
    }

    /// Whether the body can still be sent: it was not streamed to a gate yet, or is in memory.
    pub(crate) fn sendable(&self) -> bool {
        !matches!(self, RequestBody::Consumed)
    }

    /// The bytes of the body that are sent: those in memory, and of the rest as many as the caller
    /// has declared.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            RequestBody::Complete(bytes) => bytes.len(),
            RequestBody::Streamed(bytes, rest) => {
                bytes.len()
                    + usize::try_from(rest.body.size_hint().lower()).unwrap_or(usize::MAX / 2)
            }
            RequestBody::Empty | RequestBody::Consumed => 0,
        }
    }

    /// How the body is sent after the frame of the call.
    pub(crate) fn payload(&self) -> Payload {
        match self {
            RequestBody::Empty => Payload::Empty,
            RequestBody::Complete(_) => Payload::Whole,
            RequestBody::Streamed(..) | RequestBody::Consumed => Payload::Streamed,
        }
    }

    /// The body if it is in memory in full, otherwise no bytes.
    pub(crate) fn into_bytes(self) -> Bytes {
        match self {
            RequestBody::Complete(bytes) => bytes,
            RequestBody::Empty | RequestBody::Streamed(..) | RequestBody::Consumed => Bytes::new(),
        }
    }

    /// The bytes read so far, for the fingerprint of the request.
    pub(crate) fn start(&self) -> &[u8] {
        match self {
            RequestBody::Complete(bytes) | RequestBody::Streamed(bytes, _) => bytes,
            RequestBody::Empty | RequestBody::Consumed => &[],
        }
    }
}

impl Rest {
    /// Reads the next chunk; `None` at the end of the body.
    async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        let frame = match timer::idle_timeout(self.limits.idle_timeout, self.body.frame()).await {
            Err(_) => return Err(too_slow(self.limits.idle_timeout)),
            Ok(None) => return Ok(None),
            Ok(Some(Err(error))) => return Err(read_failed(&error)),
            Ok(Some(Ok(frame))) => frame,
        };
        let data = frame.into_data().unwrap_or_default();
        self.bytes_read += data.len() as u64;
        if self.bytes_read > self.limits.size.bytes() {
            return Err(too_large(self.limits.size));
        }
        Ok(Some(data))
    }

    /// Sends `start` and the rest of the body. On an error the sender is dropped without an end
    /// frame, so that the gate sees a truncated body and can't take it for a shorter complete one.
    pub(crate) async fn pump(mut self, start: Bytes, mut sender: Sender) {
        let sent = self.send(start, &mut sender).await;
        match sent {
            Ok(()) => drop(sender.finish().await),
            Err(SendError::Caller(refusal)) => {
                log::info!("entry: request body ended early: {}.", refusal.reason());
            }
            Err(SendError::Gate) => {}
        }
    }

    async fn send(&mut self, start: Bytes, sender: &mut Sender) -> Result<(), SendError> {
        write(sender, start).await?;
        while let Some(data) = self.next().await.map_err(SendError::Caller)? {
            write(sender, data).await?;
        }
        sender.push(&Frame::End).map_err(|_| SendError::Gate)
    }
}

/// Which side stopped the transfer of a body.
enum SendError {
    Caller(Refusal),
    Gate,
}

async fn write(sender: &mut Sender, data: Bytes) -> Result<(), SendError> {
    sender.write(data).await.map_err(|_| SendError::Gate)?;
    // The next chunk may take long to arrive, so this one must not stay in the buffer.
    sender.flush().await.map_err(|_| SendError::Gate)
}

fn too_large(limit: Size) -> Refusal {
    Refusal::not_run(Reason::TooLarge).detail(format!("the body is larger than {limit}"))
}

fn too_slow(pause: Duration) -> Refusal {
    let detail = format!("no byte of the body came for {pause:?}");
    Refusal::not_run(Reason::SlowBody).detail(detail)
}

fn past_deadline() -> Refusal {
    Refusal::not_run(Reason::SlowBody).detail("the body did not come before the deadline")
}

fn read_failed(error: &std::io::Error) -> Refusal {
    Refusal::not_run(Reason::Malformed).detail(format!("the body broke off: {error}"))
}
