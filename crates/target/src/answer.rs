//! A target's answer on its way to the link.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use held::MAX_BODY;
use http::{HeaderMap, StatusCode};
use tokio::time::{Instant, timeout, timeout_at};
use unit::Decimal;
use wire::{Error, Frame, Reply, Sender};

use crate::connection::{self, Connection};

/// A body is read first up to this size; see [`Relay::whole_first`].
const READ_FIRST: usize = 128 << 10;

/// A body that takes longer than this is passed on as it comes.
const READ_FIRST_FOR: Duration = Duration::from_millis(100);

/// How an answer's way to the entry ended.
pub(crate) enum Ended {
    /// All of it came from the target; a copy is there if it was asked for and small enough.
    Whole {
        /// The body.
        copy: Option<Bytes>,
        /// The entry took all of it.
        taken: bool,
    },
    /// The target broke off, or paused for too long.
    Cut(String),
    /// The entry went away, or its caller takes nothing.
    Unwanted,
}

/// One answer on its way to one entry.
pub(crate) struct Relay<'a> {
    pub(crate) sender: &'a mut Sender,
    /// Longest pause of the target inside the body, and of the entry in taking it.
    pub(crate) idle: Duration,
    /// Read on to the end although the entry is gone, and keep a copy.
    pub(crate) keep: bool,
    /// Read a short body to its end before anything of the answer leaves. An answer that the target
    /// cuts can then be replaced by another target's, where the request may be repeated.
    pub(crate) whole_first: bool,
}

/// What reading one piece of the body came to.
enum Read {
    Data(Bytes),
    End,
    Stop(Ended),
}

impl Relay<'_> {
    /// Sends `reply` and the body that follows on `connection`.
    pub(crate) async fn run(
        mut self,
        reply: &Reply,
        connection: &mut Connection,
    ) -> Result<Ended, Error> {
        let mut start = BytesMut::new();
        let until = Instant::now() + READ_FIRST_FOR;
        let whole = loop {
            if !self.whole_first || start.len() > READ_FIRST {
                break false;
            }
            match timeout_at(until, self.read(connection)).await {
                Ok(Read::Data(data)) => start.extend_from_slice(&data),
                Ok(Read::End) => break true,
                Ok(Read::Stop(ended)) => return Ok(ended),
                Err(_) => break false,
            }
        };
        let start = start.freeze();
        self.sender.push(&Frame::Reply(reply.clone()))?;
        let mut taken = true;
        if !start.is_empty()
            && let Some(ended) = self.write(start.clone(), &mut taken).await?
        {
            return Ok(ended);
        }
        let copy = match whole {
            true => self.keep.then_some(start),
            false => {
                let mut copy = self.keep.then(|| BytesMut::from(&start[..]));
                if let Some(ended) = self.stream(connection, &mut copy, &mut taken).await? {
                    return Ok(ended);
                }
                copy.map(BytesMut::freeze)
            }
        };
        if taken {
            // It leaves when the sender is finished.
            self.sender.push(&Frame::End)?;
        }
        Ok(Ended::Whole { copy, taken })
    }

    /// Streams the rest of a body that was too large or too slow to be read first. What the sender's
    /// buffer holds leaves as soon as the target has nothing ready.
    async fn stream(
        &mut self,
        connection: &mut Connection,
        copy: &mut Option<BytesMut>,
        taken: &mut bool,
    ) -> Result<Option<Ended>, Error> {
        loop {
            let ready = connection.piece().now_or_never();
            let read = match ready {
                Some(piece) => read_of(piece),
                None => {
                    if *taken && let Some(ended) = self.write(Bytes::new(), taken).await? {
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
            if *taken && let Some(ended) = self.write(data, taken).await? {
                return Ok(Some(ended));
            }
        }
    }

    async fn read(&mut self, connection: &mut Connection) -> Read {
        let piece = tokio::select! {
            biased;
            piece = timeout(self.idle, connection.piece()) => piece,
            // A target that pauses would else keep its slot until `idle`, though nobody waits.
            () = self.sender.stopped(), if !self.keep => {
                return Read::Stop(Ended::Unwanted);
            }
        };
        match piece {
            Ok(piece) => read_of(piece),
            Err(_) => Read::Stop(Ended::Cut(format!("no byte for {:?}", self.idle))),
        }
    }

    /// Puts `data` into the buffer, which is written out when it is full; without any, at once.
    async fn write(&mut self, data: Bytes, taken: &mut bool) -> Result<Option<Ended>, Error> {
        let written = match data.is_empty() {
            true => timeout(self.idle, self.sender.flush()).await,
            false => timeout(self.idle, self.sender.write(data)).await,
        };
        match written {
            Ok(Ok(())) => Ok(None),
            Ok(Err(_)) | Err(_) if self.keep => {
                *taken = false;
                Ok(None)
            }
            Ok(Err(error)) => Err(error),
            // Callers that read nothing would else keep all slots of the target.
            Err(_) => Ok(Some(Ended::Unwanted)),
        }
    }
}

fn read_of(piece: Result<Option<Bytes>, connection::Error>) -> Read {
    match piece {
        Ok(Some(data)) => Read::Data(data),
        Ok(None) => Read::End,
        Err(error) => Read::Stop(Ended::Cut(error.to_string())),
    }
}

fn grow(mut copy: BytesMut, data: &Bytes) -> Option<BytesMut> {
    if copy.len() + data.len() > MAX_BODY {
        return None;
    }
    copy.extend_from_slice(data);
    Some(copy)
}

/// When the target asks to be left alone: a 503 that says when to come back.
pub(crate) fn shed(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let after = headers.get(http::header::RETRY_AFTER)?;
    let seconds: Decimal = after.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds.get()).ok()
}

/// Statuses by which a caller is promised that its request has not run.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Whether an answer of this status promises that the request has not run.
pub(crate) fn promises(status: StatusCode) -> bool {
    PROMISES.contains(&status)
}
