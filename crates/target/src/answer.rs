//! Relays a target's answer to the link.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use held::MAX_BODY;
use http::{HeaderMap, StatusCode};
use timer::{idle_timeout, timeout_at};
use tokio::time::Instant;
use unit::Decimal;
use wire::{Error, Frame, Reply, Sender};

use crate::connection::{self, Connection};

/// Bodies up to about this size are buffered; see [`Relay::buffer_first`].
const BUFFER_SIZE: usize = 128 << 10;

/// The same for an answer that is paced by the link. Its target need not wait for the link, and the
/// longest answers that are expected have 540 kB.
const PACED_BUFFER_SIZE: usize = 1 << 20;

/// A body that takes longer than this to read is streamed.
const BUFFER_TIMEOUT: Duration = Duration::from_millis(100);

/// How the relay of an answer ended.
pub(crate) enum Ended {
    /// The target sent the complete answer.
    Complete {
        /// A copy of the body, if one was requested and the body is at most [`MAX_BODY`] long.
        copy: Option<Bytes>,
        /// Whether the entry received the complete answer.
        delivered: bool,
    },
    /// The target's answer ended early or was malformed, or no byte arrived within the idle timeout.
    Truncated(String),
    /// The entry disconnected, or its caller does not read the answer.
    Abandoned,
}

/// Relays one answer to one entry.
pub(crate) struct Relay<'a> {
    pub(crate) sender: &'a mut Sender,
    /// Maximum pause of the target in the body, and of the entry in reading it.
    pub(crate) idle_timeout: Duration,
    /// Whether to read on even if the entry disconnects, and to return a copy.
    pub(crate) keep: bool,
    /// When reading ends if the entry has disconnected.
    pub(crate) deadline: Instant,
    /// Whether to read a short body to its end before any of the answer is sent. If the target truncates
    /// the answer, another target's can then replace it, provided that the request may be repeated.
    pub(crate) buffer_first: bool,
    /// Paces the body if it is long.
    pub(crate) paced: Option<bandwidth::Answer>,
}

/// The result of reading one piece of the body.
enum Read {
    Data(Bytes),
    End,
    Stop(Ended),
}

/// What of a body was read before any of the answer is sent.
pub(crate) struct Start {
    pub(crate) data: Bytes,
    /// Whether that is the complete body.
    pub(crate) complete: bool,
}

impl Relay<'_> {
    /// Reads the start of the body, if it is to be buffered.
    pub(crate) async fn buffer(&mut self, connection: &mut Connection) -> Result<Start, Ended> {
        let size = match self.paced {
            Some(_) => PACED_BUFFER_SIZE,
            None => BUFFER_SIZE,
        };
        let mut start = BytesMut::new();
        let until = Instant::now() + BUFFER_TIMEOUT;
        let complete = loop {
            if !self.buffer_first || start.len() > size {
                break false;
            }
            match timeout_at(until, self.read(connection)).await {
                Ok(Read::Data(data)) => start.extend_from_slice(&data),
                Ok(Read::End) => break true,
                Ok(Read::Stop(ended)) => return Err(ended),
                Err(_) => break false,
            }
        };
        let data = start.freeze();
        Ok(Start { data, complete })
    }

    /// Sends `reply`, the start of the body and, unless that is all, what follows on `connection`.
    pub(crate) async fn run(
        mut self,
        reply: &Reply,
        start: Start,
        connection: &mut Connection,
    ) -> Result<Ended, Error> {
        let Start { data, complete } = start;
        let mut delivered = true;
        if let Some(ended) = self.send_start(reply, data.clone(), &mut delivered).await? {
            return Ok(ended);
        }
        let copy = match complete {
            true => self.keep.then_some(data),
            false => {
                let mut copy = self.keep.then(|| BytesMut::from(&data[..]));
                if let Some(ended) = self.stream(connection, &mut copy, &mut delivered).await? {
                    return Ok(ended);
                }
                copy.map(BytesMut::freeze)
            }
        };
        if delivered {
            // It is sent when the sender is finished.
            self.sender.push(&Frame::End)?;
        }
        Ok(Ended::Complete { copy, delivered })
    }

    /// Sends `reply` and its complete body; returns whether the entry received them.
    pub(crate) async fn send_complete(mut self, reply: &Reply, body: Bytes) -> Result<bool, Error> {
        let mut delivered = true;
        let ended = self.send_start(reply, body, &mut delivered).await?;
        if ended.is_some() || !delivered {
            return Ok(false);
        }
        self.sender.push(&Frame::End)?;
        Ok(true)
    }

    async fn send_start(
        &mut self,
        reply: &Reply,
        data: Bytes,
        delivered: &mut bool,
    ) -> Result<Option<Ended>, Error> {
        self.sender.push(&Frame::Reply(reply.clone()))?;
        if let Some(paced) = &mut self.paced {
            paced.expect(data.len());
        }
        match data.is_empty() {
            true => Ok(None),
            false => self.write(data, delivered).await,
        }
    }

    /// Streams the rest of a body that was too large or too slow to be buffered. The sender's buffer is
    /// flushed whenever no data of the target is ready.
    async fn stream(
        &mut self,
        connection: &mut Connection,
        copy: &mut Option<BytesMut>,
        delivered: &mut bool,
    ) -> Result<Option<Ended>, Error> {
        loop {
            // A target that never pauses would otherwise be read on for ever.
            if !*delivered && Instant::now() >= self.deadline {
                return Ok(Some(Ended::Abandoned));
            }
            let ready = connection.piece().now_or_never();
            let read = match ready {
                Some(piece) => read_of(piece),
                None => {
                    if *delivered && let Some(ended) = self.write(Bytes::new(), delivered).await? {
                        return Ok(Some(ended));
                    }
                    self.read(connection).await
                }
            };
            let data = match read {
                Read::Data(data) => data,
                Read::End => return Ok(None),
                Read::Stop(ended) => return Ok(Some(ended)),
            };
            *copy = copy.take().and_then(|copy| grow(copy, &data));
            if *delivered && let Some(ended) = self.write(data, delivered).await? {
                return Ok(Some(ended));
            }
        }
    }

    async fn read(&mut self, connection: &mut Connection) -> Read {
        let piece = tokio::select! {
            biased;
            piece = idle_timeout(self.idle_timeout, connection.piece()) => piece,
            // Otherwise a target that pauses would hold its slot until the idle timeout, although no
            // entry waits for the answer.
            () = self.abandoned() => return Read::Stop(Ended::Abandoned),
        };
        match piece {
            Ok(piece) => read_of(piece),
            Err(_) => Read::Stop(Ended::Truncated(format!(
                "no byte for {:?}",
                self.idle_timeout
            ))),
        }
    }

    /// Waits until the entry has disconnected and the answer need not be read on.
    async fn abandoned(&mut self) {
        self.sender.stopped().await;
        if self.keep {
            timer::passed(self.deadline).await;
        }
    }

    /// Writes `data`, piece by piece if the answer is paced. Empty `data` flushes the sender's buffer.
    async fn write(
        &mut self,
        mut data: Bytes,
        delivered: &mut bool,
    ) -> Result<Option<Ended>, Error> {
        while !data.is_empty()
            && let Some(mut paced) = self.paced.take()
        {
            let waits = paced.is_paced();
            // What has been counted must not stay in the buffer while this answer waits.
            if waits && let Some(ended) = self.write_now(Bytes::new(), delivered).await? {
                return Ok(Some(ended));
            }
            let bytes = tokio::select! {
                biased;
                bytes = paced.acquire(data.len()) => bytes,
                () = self.abandoned() => return Ok(Some(Ended::Abandoned)),
            };
            self.paced = Some(paced);
            let piece = data.split_to(bytes);
            if let Some(ended) = self.write_now(piece, delivered).await? {
                return Ok(Some(ended));
            }
            if !*delivered {
                return Ok(None);
            }
            if data.is_empty() {
                return match waits {
                    true => self.write_now(Bytes::new(), delivered).await,
                    false => Ok(None),
                };
            }
        }
        self.write_now(data, delivered).await
    }

    /// Adds `data` to the sender's buffer, which is flushed when it is full. Empty `data` flushes it at
    /// once.
    async fn write_now(
        &mut self,
        data: Bytes,
        delivered: &mut bool,
    ) -> Result<Option<Ended>, Error> {
        let written = match data.is_empty() {
            true => idle_timeout(self.idle_timeout, self.sender.flush()).await,
            false => idle_timeout(self.idle_timeout, self.sender.write(data)).await,
        };
        match written {
            Ok(Ok(())) => Ok(None),
            Ok(Err(_)) | Err(_) if self.keep => {
                *delivered = false;
                Ok(None)
            }
            Ok(Err(error)) => Err(error),
            // Otherwise callers that don't read could hold all slots of the target.
            Err(_) => Ok(Some(Ended::Abandoned)),
        }
    }
}

fn read_of(piece: Result<Option<Bytes>, connection::Error>) -> Read {
    match piece {
        Ok(Some(data)) => Read::Data(data),
        Ok(None) => Read::End,
        Err(error) => Read::Stop(Ended::Truncated(error.to_string())),
    }
}

/// Appends `data` to a copy of the body; `None` if it would exceed [`MAX_BODY`].
fn grow(mut copy: BytesMut, data: &Bytes) -> Option<BytesMut> {
    if copy.len() + data.len() > MAX_BODY {
        return None;
    }
    copy.extend_from_slice(data);
    Some(copy)
}

/// The delay that the target asks for in a 503 with `Retry-After`.
pub(crate) fn shed(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let after = headers.get(http::header::RETRY_AFTER)?;
    let seconds: Decimal = after.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds.get()).ok()
}

/// Statuses that promise a caller that its request has not run.
const NOT_RUN: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Whether an answer with this status promises that the request has not run.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    NOT_RUN.contains(&status)
}
