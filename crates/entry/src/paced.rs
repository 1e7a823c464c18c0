//! Paces the bodies of long answers by the machine's link.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bandwidth::{Answer, IMMEDIATE_BYTES, Link};
use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, SizeHint};

use crate::Body;

/// Bytes of the status line and of each header besides its name and value.
const LINE_BYTES: usize = 20;
const HEADER_BYTES: usize = 4;

/// Marks the answers of a `bulk` route.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bulk;

/// A body whose pieces are written when the link has room for them.
struct Paced {
    body: Body,
    answer: Answer,
    /// What was read of the body and may not be written yet.
    rest: Bytes,
}

/// Counts an answer on the link. The body of a long one is replaced by one that is paced; a short
/// one is passed on as it is.
pub(crate) fn pace(link: &Link, response: Response<Body>) -> Response<Body> {
    let bulk = response.extensions().get::<Bulk>().is_some();
    let headers = response.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    let head = LINE_BYTES + headers.sum::<usize>();
    let size = response.body().size_hint().exact();
    if let Some(size) = size.filter(|size| *size <= IMMEDIATE_BYTES && !bulk) {
        link.record(head + size as usize);
        return response;
    }
    link.record(head);
    let mut answer = link.answer(bulk);
    answer.expect(size.unwrap_or_default() as usize);
    response.map(|body| {
        Paced {
            body,
            answer,
            rest: Bytes::new(),
        }
        .boxed_unsync()
    })
}

impl hyper::body::Body for Paced {
    type Data = Bytes;
    type Error = io::Error;

    /// Servers poll until a piece is ready or drop the body, which [`Answer::poll_acquire`] requires.
    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let paced = &mut *self;
        if paced.rest.is_empty() {
            match ready!(Pin::new(&mut paced.body).poll_frame(context)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => return Poll::Ready(Some(Ok(Frame::data(data)))),
                    Ok(data) => paced.rest = data,
                    Err(other) => return Poll::Ready(Some(Ok(other))),
                },
                end => return Poll::Ready(end),
            }
        }
        let bytes = ready!(paced.answer.poll_acquire(context, paced.rest.len()));
        Poll::Ready(Some(Ok(Frame::data(paced.rest.split_to(bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let inner = self.body.size_hint();
        let rest = self.rest.len() as u64;
        let mut hint = SizeHint::new();
        hint.set_lower(inner.lower() + rest);
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + rest);
        }
        hint
    }
}
