//! The requests of one connection that are served, and their answers in the order of the requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use clients::Hold;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use http::{Method, Response};
use hyper::body::Body as _;

use crate::Body;

/// What is counted of an answer whose length is not known: what may arrive of it before any is read.
const STREAMED_BYTES: u64 = 128 << 10;

/// The place of a request on its connection.
type Place = u64;

/// An answer, and the request method, which its framing depends on.
pub(super) struct Answered {
    place: Place,
    /// What the answer holds.
    bytes: usize,
    pub(super) response: Response<Body>,
    pub(super) method: Method,
    /// Counts what it holds, if it was served.
    pub(super) hold: Option<Arc<Hold>>,
}

/// The requests in flight and the answers that wait for earlier ones to be written.
#[derive(Default)]
pub(super) struct Answers {
    running: FuturesUnordered<BoxFuture<'static, Answered>>,
    ready: BTreeMap<Place, Answered>,
    unread_bytes: usize,
    /// The place of the next request.
    next: Place,
    /// The place of the next answer to be written.
    first: Place,
}

impl Answers {
    /// Serves a request. Once it is answered, `hold` counts the answer in its place.
    pub(super) fn serve(
        &mut self,
        served: BoxFuture<'static, Response<Body>>,
        method: Method,
        hold: Arc<Hold>,
    ) {
        let place = self.next;
        self.next += 1;
        let answered = async move {
            let response = served.await;
            let size = response.body().size_hint().exact();
            let bytes = size.unwrap_or(STREAMED_BYTES) as usize;
            hold.set(bytes);
            Answered {
                place,
                bytes,
                response,
                method,
                hold: Some(hold),
            }
        };
        self.running.push(answered.boxed());
    }

    /// Answers the next request with `response`, without serving it.
    pub(super) fn refuse(&mut self, response: Response<Body>) {
        let answered = Answered {
            place: self.next,
            bytes: 0,
            response,
            method: Method::GET,
            hold: None,
        };
        self.push(answered);
        self.next += 1;
    }

    /// Waits for an answer to any of the requests; `None` if there are none.
    ///
    /// Cancel safe: no answer is lost.
    pub(super) async fn next(&mut self) -> Option<Answered> {
        self.running.next().await
    }

    /// Keeps an answer until it is due.
    pub(super) fn push(&mut self, answered: Answered) {
        self.unread_bytes += answered.bytes;
        self.ready.insert(answered.place, answered);
    }

    /// Takes the answer that is due, if it is there.
    pub(super) fn pop(&mut self) -> Option<Answered> {
        let answered = self.ready.remove(&self.first)?;
        self.first += 1;
        self.unread_bytes -= answered.bytes;
        Some(answered)
    }

    /// Number of requests whose answers have not begun to be written.
    pub(super) fn len(&self) -> usize {
        self.running.len() + self.ready.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a request is being served.
    pub(super) fn is_running(&self) -> bool {
        !self.running.is_empty()
    }

    /// What the answers hold that are there and not yet due.
    pub(super) fn unread_bytes(&self) -> usize {
        self.unread_bytes
    }
}
