//! A target's answer on its way to the caller.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{FutureExt, stream};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame as Piece, SizeHint};
use tokio::time::timeout;
use unit::{Instance, Outcome};
use wire::{Frame, Header, Receiver, Reply};

use crate::Body;
use crate::refusal::put;
use crate::state::InFlight;

/// The header that says what became of a request: `ran`, `not-run`, `unknown` or `already-run`.
pub const OUTCOME: &str = "x-appleshore-outcome";

/// The header that names the instance whose target answered.
const TARGET: &str = "x-appleshore-target";

/// Bytes of a body that are taken together.
const GATHERED: usize = 256 << 10;

/// The head of a target's answer, with the stream that its body comes on.
pub(crate) struct Answer {
    pub(crate) reply: Reply,
    pub(crate) receiver: Receiver,
    pub(crate) gate: Instance,
}

/// What is held until an answer's body has gone to the caller.
pub(crate) struct Hold {
    /// Counts the request as under way, for a planned stop.
    pub(crate) _in_flight: InFlight,
    /// The caller's place, if the rule bounds its requests.
    pub(crate) _place: Option<pick::limit::Guard>,
    /// Longest pause inside the body.
    pub(crate) pause: Duration,
}

/// A body that is at hand, and what is held until the caller has it.
struct Whole {
    data: Option<Bytes>,
    _hold: Hold,
}

impl hyper::body::Body for Whole {
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

struct Source {
    /// What has been read of the body already.
    start: Bytes,
    receiver: Receiver,
    hold: Hold,
}

impl Answer {
    /// The HTTP answer; its body is `start` and what streams from the link behind it.
    ///
    /// A short answer comes in one piece, and is then given with its length.
    pub(crate) fn response(mut self, start: Bytes, hold: Hold) -> Response<Body> {
        let mut response = head(&self.reply, Outcome::Ran);
        put(response.headers_mut(), TARGET, self.gate.as_str());
        let (start, end) = gather(start, &mut self.receiver);
        if end {
            let body = Whole {
                data: Some(start).filter(|data| !data.is_empty()),
                _hold: hold,
            };
            *response.body_mut() = body.boxed_unsync();
            return response;
        }
        let source = Source {
            start,
            receiver: self.receiver,
            hold,
        };
        let pieces = stream::unfold(Some(source), |source| async move { next(source?).await });
        *response.body_mut() = StreamBody::new(pieces).boxed_unsync();
        response
    }
}

/// An answer that has come as a whole, of a request that may not be repeated.
pub(crate) fn whole(
    answer: held::Answer,
    outcome: Outcome,
    gate: Option<&Instance>,
) -> Response<Body> {
    let mut response = head(&answer.reply, outcome);
    if let Some(gate) = gate {
        put(response.headers_mut(), TARGET, gate.as_str());
    }
    let body = Full::from(answer.body).map_err(|never| match never {});
    *response.body_mut() = body.boxed_unsync();
    response
}

/// The outcome that an answer tells its caller.
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

fn head(reply: &Reply, outcome: Outcome) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = Header::map(&reply.headers);
    put(response.headers_mut(), OUTCOME, &outcome.to_string());
    response
}

/// Takes what has come of a body already; true if that is all of it.
fn gather(start: Bytes, receiver: &mut Receiver) -> (Bytes, bool) {
    let mut pieces = start;
    while pieces.len() <= GATHERED {
        match receiver.recv().now_or_never() {
            Some(Ok(Some(Frame::Data(data)))) if pieces.is_empty() => pieces = data,
            Some(Ok(Some(Frame::Data(data)))) => pieces = [pieces, data].concat().into(),
            Some(Ok(Some(Frame::End))) => return (pieces, true),
            _ => break,
        }
    }
    (pieces, false)
}

type Next = Option<(io::Result<Piece<Bytes>>, Option<Source>)>;

async fn next(mut source: Source) -> Next {
    if !source.start.is_empty() {
        let start = std::mem::take(&mut source.start);
        return Some((Ok(Piece::data(start)), Some(source)));
    }
    let frame = timeout(source.hold.pause, source.receiver.recv()).await;
    let cause = match frame {
        Ok(Ok(Some(Frame::Data(data)))) => return Some((Ok(Piece::data(data)), Some(source))),
        Ok(Ok(Some(Frame::End))) => return None,
        Ok(Ok(Some(Frame::Abort(abort)))) => abort.cause,
        Ok(Ok(_)) => "the answer was cut".to_string(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no byte for {:?}", source.hold.pause),
    };
    // An error in the body makes hyper break the connection off, so that the caller sees a cut
    // answer and can't take it for a shorter whole one.
    log::warn!("entry: an answer broke off: {cause}.");
    Some((Err(io::Error::other(cause)), None))
}
