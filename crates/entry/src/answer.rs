//! A target's answer on its way to the caller.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame as Piece;
use tokio::time::timeout;
use unit::{Instance, Outcome};
use wire::{Frame, Header, Receiver, Reply};

use crate::Body;
use crate::refusal::put;
use crate::state::Relay;

/// The header that says what became of a request: `ran`, `not-run`, `unknown` or `already-run`.
pub const OUTCOME: &str = "x-appleshore-outcome";

/// The header that names the instance whose target answered.
const TARGET: &str = "x-appleshore-target";

/// The head of a target's answer, with the stream that its body comes on.
pub(crate) struct Answer {
    pub(crate) reply: Reply,
    pub(crate) receiver: Receiver,
    pub(crate) gate: Instance,
}

/// What is held until an answer's body has gone to the caller.
pub(crate) struct Hold {
    /// Counts the request as under way, for a planned stop.
    pub(crate) relay: Relay,
    /// The caller's place, if the rule bounds its requests.
    pub(crate) place: Option<pick::limit::Guard>,
    /// Longest pause inside the body.
    pub(crate) pause: Duration,
    /// Where a copy goes, for a request that may not be repeated.
    pub(crate) keep: Option<held::Running>,
}

struct Source {
    receiver: Receiver,
    reply: Reply,
    hold: Hold,
    copy: BytesMut,
}

impl Answer {
    /// The HTTP answer; its body streams from the link.
    pub(crate) fn response(self, hold: Hold) -> Response<Body> {
        let mut response = head(&self.reply, Outcome::Ran);
        put(response.headers_mut(), TARGET, self.gate.as_str());
        let source = Source {
            receiver: self.receiver,
            reply: self.reply,
            hold,
            copy: BytesMut::new(),
        };
        let pieces = stream::unfold(Some(source), |source| async move { next(source?).await });
        *response.body_mut() = StreamBody::new(pieces).boxed_unsync();
        response
    }
}

fn head(reply: &Reply, outcome: Outcome) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = Header::map(&reply.headers);
    put(response.headers_mut(), OUTCOME, &outcome.to_string());
    response
}

type Next = Option<(io::Result<Piece<Bytes>>, Option<Source>)>;

async fn next(mut source: Source) -> Next {
    let frame = timeout(source.hold.pause, source.receiver.recv()).await;
    let cause = match frame {
        Ok(Ok(Some(Frame::Data(data)))) => {
            source.keep(&data);
            return Some((Ok(Piece::data(data)), Some(source)));
        }
        Ok(Ok(Some(Frame::End))) => {
            source.whole();
            return None;
        }
        Ok(Ok(Some(Frame::Abort(cause)))) => cause,
        Ok(Ok(_)) => "the answer was cut".to_string(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no byte for {:?}", source.hold.pause),
    };
    // An error in the body makes hyper break the connection off, so that the caller sees a cut
    // answer and can't take it for a shorter whole one.
    log::warn!("entry: an answer broke off: {cause}.");
    Some((Err(io::Error::other(cause)), None))
}

impl Source {
    fn keep(&mut self, data: &Bytes) {
        if self.hold.keep.is_none() {
            return;
        }
        if self.copy.len() + data.len() > held::MAX_BODY {
            self.hold.keep = None;
            return;
        }
        self.copy.extend_from_slice(data);
    }

    fn whole(self) {
        if let Some(keep) = self.hold.keep {
            keep.done(held::Answer {
                reply: self.reply,
                body: self.copy.freeze(),
            });
        }
        drop(self.hold.place);
        drop(self.hold.relay);
    }
}
