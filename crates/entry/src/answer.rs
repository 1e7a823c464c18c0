//! Relays the answer of a target to the caller.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{FutureExt, stream};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame as Piece, SizeHint};
use pick::Transfer;
use unit::{Instance, Outcome};
use wire::{Frame, Header, Receiver, Reply};

use crate::Body;
use crate::refusal::set_header;
use crate::state::InFlight;

/// The header that gives the outcome of a request: `ran`, `not-run`, `unknown` or `already-run`.
pub const OUTCOME: &str = "x-appleshore-outcome";

/// The header that names the instance whose target answered.
const TARGET: &str = "x-appleshore-target";

/// Once more than this many bytes of a body are gathered, the rest is streamed.
const MAX_GATHERED_BYTES: usize = 256 << 10;

/// The head of a target's answer, and the stream that its body arrives on.
pub(crate) struct Answer {
    pub(crate) reply: Reply,
    pub(crate) receiver: Receiver,
    pub(crate) gate: Instance,
    /// Counts the bytes of the call.
    pub(crate) transfer: Transfer,
}

/// What is kept until the body of an answer has been sent to the caller.
pub(crate) struct ResponseGuard {
    /// Counts the request as in flight, for a planned stop.
    pub(crate) _in_flight: InFlight,
    /// The caller's slot, if the rule limits its concurrent requests.
    pub(crate) _caller_limit: Option<pick::limit::Guard>,
    /// Longest wait for the next chunk of the body.
    pub(crate) idle_timeout: Duration,
}

/// A body that is in memory in full, and the guards that are released with it.
struct CompleteBody {
    data: Option<Bytes>,
    _guard: ResponseGuard,
}

impl hyper::body::Body for CompleteBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Piece<Bytes>>>> {
        Poll::Ready(self.data.take().map(|data| Ok(Piece::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.len() as u64))
    }
}

struct StreamedBody {
    /// The part of the body that was read already.
    start: Bytes,
    receiver: Receiver,
    guard: ResponseGuard,
    transfer: Transfer,
}

impl Answer {
    /// Builds the HTTP response; its body is `start`, followed by what arrives on the stream.
    ///
    /// A short body that has arrived in full is sent in one piece and with its length.
    pub(crate) fn response(mut self, start: Bytes, guard: ResponseGuard) -> Response<Body> {
        let mut response = response_head(&self.reply, Outcome::Ran);
        set_header(response.headers_mut(), TARGET, self.gate.as_str());
        let (start, end) = gather(start, &mut self.receiver);
        self.transfer.add(start.len());
        if end {
            self.transfer.complete();
            let body = CompleteBody {
                data: Some(start).filter(|data| !data.is_empty()),
                _guard: guard,
            };
            *response.body_mut() = body.boxed_unsync();
            return response;
        }
        let streamed = StreamedBody {
            start,
            receiver: self.receiver,
            guard,
            transfer: self.transfer,
        };
        let pieces = stream::unfold(Some(streamed), |streamed| async move {
            next_chunk(streamed?).await
        });
        *response.body_mut() = StreamBody::new(pieces).boxed_unsync();
        response
    }
}

/// Builds the HTTP response from the complete answer to a request that may not be repeated.
pub(crate) fn complete_response(
    answer: held::Answer,
    outcome: Outcome,
    gate: Option<&Instance>,
) -> Response<Body> {
    let mut response = response_head(&answer.reply, outcome);
    if let Some(gate) = gate {
        set_header(response.headers_mut(), TARGET, gate.as_str());
    }
    let body = Full::from(answer.body).map_err(|never| match never {});
    *response.body_mut() = body.boxed_unsync();
    response
}

/// The outcome that the headers of a response give; unknown if there is none.
pub(crate) fn outcome(response: &Response<Body>) -> Outcome {
    let text = response
        .headers()
        .get(OUTCOME)
        .and_then(|value| value.to_str().ok());
    let found = Outcome::ALL
        .into_iter()
        .find(|outcome| Some(outcome.to_string().as_str()) == text);
    found.unwrap_or(Outcome::Unknown)
}

fn response_head(reply: &Reply, outcome: Outcome) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = Header::map(&reply.headers);
    set_header(response.headers_mut(), OUTCOME, &outcome.to_string());
    response
}

/// Reads what has already arrived of a body, without waiting; true if that completes it.
fn gather(start: Bytes, receiver: &mut Receiver) -> (Bytes, bool) {
    let mut pieces = start;
    while pieces.len() <= MAX_GATHERED_BYTES {
        match receiver.recv().now_or_never() {
            Some(Ok(Some(Frame::Data(data)))) if pieces.is_empty() => pieces = data,
            Some(Ok(Some(Frame::Data(data)))) => pieces = [pieces, data].concat().into(),
            Some(Ok(Some(Frame::End))) => return (pieces, true),
            _ => break,
        }
    }
    (pieces, false)
}

type NextChunk = Option<(io::Result<Piece<Bytes>>, Option<StreamedBody>)>;

async fn next_chunk(mut streamed: StreamedBody) -> NextChunk {
    if !streamed.start.is_empty() {
        let start = std::mem::take(&mut streamed.start);
        return Some((Ok(Piece::data(start)), Some(streamed)));
    }
    let received = streamed.receiver.recv();
    let frame = timer::idle_timeout(streamed.guard.idle_timeout, received).await;
    let cause = match frame {
        Ok(Ok(Some(Frame::Data(data)))) => {
            streamed.transfer.add(data.len());
            return Some((Ok(Piece::data(data)), Some(streamed)));
        }
        Ok(Ok(Some(Frame::End))) => {
            streamed.transfer.complete();
            return None;
        }
        Ok(Ok(Some(Frame::Abort(abort)))) => abort.cause,
        Ok(Ok(_)) => "the answer was cut".to_string(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no byte for {:?}", streamed.guard.idle_timeout),
    };
    // An error in the body ends the connection, so that the caller sees a truncated answer and
    // can't take it for a shorter complete one.
    log::warn!("entry: answer truncated: {cause}.");
    Some((Err(io::Error::other(cause)), None))
}
