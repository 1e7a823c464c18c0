//! A request's body on its way from the link to the target.

use std::io;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body;
use wire::{Frame, Receiver};

use crate::pool::Body;

/// The body that the frames of `receiver` carry, up to the one that ends it.
pub(crate) fn read(receiver: Receiver) -> Body {
    let frames = stream::unfold(
        Some(receiver),
        |receiver| async move { next(receiver?).await },
    );
    StreamBody::new(frames).boxed_unsync()
}

/// A body without a byte.
pub(crate) fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

type Piece = io::Result<body::Frame<Bytes>>;

async fn next(mut receiver: Receiver) -> Option<(Piece, Option<Receiver>)> {
    match receiver.recv().await {
        Ok(Some(Frame::Data(data))) => Some((Ok(body::Frame::data(data)), Some(receiver))),
        Ok(Some(Frame::End)) => None,
        // A body that is cut must never look complete to the target, so we give it an error and
        // hyper breaks the connection off.
        Ok(_) => Some((Err(io::ErrorKind::UnexpectedEof.into()), None)),
        Err(error) => Some((Err(io::Error::other(error)), None)),
    }
}
