//! A target's answer on its way to the link.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use held::MAX_BODY;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;
use wire::{Error, Frame, Sender};

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
}

/// What reading one piece of the body came to.
enum Read {
    Data(Bytes),
    End,
    Stop(Ended),
}

impl Relay<'_> {
    /// Streams `body` to its end. What the sender's buffer holds, such as the answer's head, leaves
    /// with the first piece, or as soon as the target has none ready.
    pub(crate) async fn run(mut self, mut body: Incoming) -> Result<Ended, Error> {
        let mut copy = self.keep.then(BytesMut::new);
        let mut taken = true;
        loop {
            let data = match self.read(&mut body, &mut taken).await? {
                Read::Data(data) => data,
                Read::End => break,
                Read::Stop(ended) => return Ok(ended),
            };
            copy = copy.and_then(|copy| grow(copy, &data));
            if taken && let Some(ended) = self.write(data, &mut taken).await? {
                return Ok(ended);
            }
        }
        if taken {
            // It leaves when the sender is finished.
            self.sender.push(&Frame::End)?;
        }
        let copy = copy.map(BytesMut::freeze);
        Ok(Ended::Whole { copy, taken })
    }

    async fn read(&mut self, body: &mut Incoming, taken: &mut bool) -> Result<Read, Error> {
        let frame = match body.frame().now_or_never() {
            Some(frame) => frame,
            None => {
                if *taken && let Some(ended) = self.write(Bytes::new(), taken).await? {
                    return Ok(Read::Stop(ended));
                }
                let waited = tokio::select! {
                    biased;
                    frame = timeout(self.idle, body.frame()) => frame,
                    // A target that pauses would else keep its slot until `idle`, though nobody
                    // waits.
                    () = self.sender.stopped(), if !self.keep => {
                        return Ok(Read::Stop(Ended::Unwanted));
                    }
                };
                match waited {
                    Ok(frame) => frame,
                    Err(_) => return Ok(cut(format!("no byte for {:?}", self.idle))),
                }
            }
        };
        Ok(match frame {
            Some(Ok(frame)) => Read::Data(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => cut(error.to_string()),
            None => Read::End,
        })
    }

    /// Writes `data`; without any, what the buffer holds.
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

fn cut(cause: String) -> Read {
    Read::Stop(Ended::Cut(cause))
}

fn grow(mut copy: BytesMut, data: &Bytes) -> Option<BytesMut> {
    if copy.len() + data.len() > MAX_BODY {
        return None;
    }
    copy.extend_from_slice(data);
    Some(copy)
}

/// When the target asks to be left alone: a 503 that says when to come back.
pub(crate) fn shed(parts: &Parts) -> Option<Duration> {
    if parts.status != http::StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let after = parts.headers.get(http::header::RETRY_AFTER)?;
    let seconds: u64 = after.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}
