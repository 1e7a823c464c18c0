//! A target's answer on its way to the link.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
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

/// Streams `body` into `sender`. With `keep`, it reads on to the end although the entry is gone.
pub(crate) async fn relay(
    mut body: Incoming,
    sender: &mut Sender,
    idle: Duration,
    keep: bool,
) -> Result<Ended, Error> {
    let mut copy = keep.then(BytesMut::new);
    let mut taken = true;
    loop {
        let frame = tokio::select! {
            biased;
            frame = timeout(idle, body.frame()) => frame,
            // A target that pauses would else keep its slot until `idle`, though nobody waits.
            () = sender.stopped(), if !keep => return Ok(Ended::Unwanted),
        };
        let data = match frame {
            Err(_) => return Ok(Ended::Cut(format!("no byte for {idle:?}"))),
            Ok(Some(Err(error))) => return Ok(Ended::Cut(error.to_string())),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) => break,
        };
        copy = copy.and_then(|copy| grow(copy, &data));
        if !taken {
            continue;
        }
        match timeout(idle, sender.write(data)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) if keep => taken = false,
            Ok(Err(error)) => return Err(error),
            // Callers that read nothing would else keep all slots of the target.
            Err(_) => return Ok(Ended::Unwanted),
        }
    }
    if taken {
        taken = end(sender, keep).await?;
    }
    Ok(Ended::Whole {
        copy: copy.map(BytesMut::freeze),
        taken,
    })
}

async fn end(sender: &mut Sender, keep: bool) -> Result<bool, Error> {
    match sender.send(&Frame::End).await {
        Ok(()) => Ok(true),
        Err(_) if keep => Ok(false),
        Err(error) => Err(error),
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
pub(crate) fn shed(parts: &Parts) -> Option<Duration> {
    if parts.status != http::StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let after = parts.headers.get(http::header::RETRY_AFTER)?;
    let seconds: u64 = after.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}
