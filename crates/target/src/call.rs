//! One call, from its head on the link to the end of its answer.

use std::time::Duration;

use gate::{End, Permit, Running};
use held::Answer;
use http::{HeaderName, HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use nest::Context;
use tokio::time::{Instant, timeout_at};
use unit::{Depth, Instance, Urgency};
use wire::{
    Accepted, Call, Cause, Error, Frame, Header, Payload, Receiver, Refusal, Reply, Sender, Stream,
};

use crate::answer::{self, Ended, Relay};
use crate::body;
use crate::pool::Body;
use crate::server::Server;

/// A deadline beyond this is cut, so that an entry with a wrong clock or setting can't make the
/// gate remember a token for ever.
const MAX_REMAINING: Duration = Duration::from_secs(3_600);

/// One call at one gate.
pub(crate) struct Work<'a> {
    server: &'a Server,
    call: Call,
    /// The instance that asks.
    entry: Instance,
    deadline: Instant,
}

/// All that a request needs to start.
struct Dispatch {
    permit: Permit,
    head: Request<()>,
    connection: SendRequest<Body>,
}

/// What came of the request at the target.
enum Sent {
    /// The target answers.
    Answer(Response<Incoming>, SendRequest<Body>),
    /// The connection died while the request may have run.
    Crashed(String),
    /// The deadline came first.
    Late,
    /// The entry went away.
    Cancelled,
}

impl<'a> Work<'a> {
    pub(crate) fn new(server: &'a Server, call: Call, entry: Instance) -> Work<'a> {
        let deadline = Instant::now() + call.remaining.min(MAX_REMAINING);
        Work {
            server,
            call,
            entry,
            deadline,
        }
    }

    /// Serves the call.
    ///
    /// # Errors
    ///
    /// The link's error if the entry went away.
    pub(crate) async fn run(self, stream: Stream) -> Result<(), Error> {
        let Stream {
            mut sender,
            receiver,
        } = stream;
        sender.urgency(self.call.urgency);
        let head = match self.http() {
            Ok(head) if !self.misdirected() => head,
            _ => {
                return self
                    .refuse(sender, Cause::Misdirected, Duration::ZERO)
                    .await;
            }
        };
        let permit = tokio::select! {
            permit = self.server.gate.admit(self.request()) => permit,
            // Nobody waits for the answer any more: the request leaves the queue unsent.
            () = sender.stopped() => return Ok(()),
        };
        match permit {
            Ok(permit) => self.connect(permit, head, sender, receiver).await,
            Err(refusal) => self.refused(sender, &refusal).await,
        }
    }

    fn misdirected(&self) -> bool {
        self.call.service != self.server.service || self.call.depth > self.server.max_depth
    }

    fn request(&self) -> gate::Request {
        gate::Request {
            token: self.call.token,
            urgency: self.call.urgency,
            caller: self.call.caller.clone(),
            weight: self.call.weight,
            deadline: self.deadline,
            kind: self.call.kind,
            nested: self.call.depth > Depth(0),
        }
    }

    /// Gets a connection while the permit is still unused, so that a target that can't be reached
    /// makes a refusal and not a doubt.
    async fn connect(
        self,
        permit: Permit,
        head: Request<()>,
        sender: Sender,
        receiver: Receiver,
    ) -> Result<(), Error> {
        // A request that may not be repeated gets a connection of its own: on a kept one the
        // target's close may cross with the request, and nobody could tell whether it ran.
        match self.server.pool.take(self.call.once).await {
            Ok(connection) => {
                let head = Dispatch {
                    permit,
                    head,
                    connection,
                };
                self.dispatch(head, sender, receiver).await
            }
            Err(error) => {
                log::warn!("target: {error}.");
                self.server.gate.target_down();
                let refusal = permit.refuse(gate::Cause::Down);
                self.refused(sender, &refusal).await
            }
        }
    }

    async fn dispatch(
        self,
        dispatch: Dispatch,
        mut sender: Sender,
        receiver: Receiver,
    ) -> Result<(), Error> {
        if self.call.body == Payload::Streamed {
            let accepted = Accepted {
                token: self.call.token,
            };
            sender.send(&Frame::Accepted(accepted)).await?;
        }
        let Dispatch {
            permit,
            head,
            connection,
        } = dispatch;
        let running = permit.dispatch();
        let nest = self.server.nests.enter(self.call.token, self.context());
        let hold = self
            .call
            .once
            .then(|| self.server.held.begin(self.call.token));
        let began = Instant::now();
        let sent = self.send(head, connection, &mut sender, receiver).await;
        let (response, connection) = match sent {
            Sent::Answer(response, connection) => (response, connection),
            failed => return self.fail(failed, running, sender, began).await,
        };
        let (parts, incoming) = response.into_parts();
        let shed = answer::shed(&parts);
        let reply = self.reply(&parts, nest.left());
        let latency = began.elapsed();
        // For a request that may not be repeated we go on although the entry is gone: its answer
        // is kept for whoever asks after the token.
        sender.push(&Frame::Reply(reply.clone()))?;
        let relay = Relay {
            sender: &mut sender,
            idle: self.server.body_idle,
            keep: self.call.once,
        };
        let ended = match relay.run(incoming).await {
            Ok(ended) => ended,
            Err(error) => {
                running.finish(End::Cancelled);
                return Err(error);
            }
        };
        match ended {
            Ended::Whole { copy, taken } => {
                if let (Some(hold), Some(body)) = (hold, copy) {
                    hold.done(Answer { reply, body });
                }
                self.server.pool.give(connection);
                running.finish(end(shed, parts.status, latency));
                if taken { sender.finish().await } else { Ok(()) }
            }
            Ended::Unwanted => {
                running.finish(End::Cancelled);
                Ok(())
            }
            Ended::Cut(cause) => {
                running.finish(End::Failed {
                    latency: began.elapsed(),
                });
                abort(sender, cause).await
            }
        }
    }

    async fn send(
        &self,
        head: Request<()>,
        mut connection: SendRequest<Body>,
        sender: &mut Sender,
        receiver: Receiver,
    ) -> Sent {
        let body = match self.call.body {
            Payload::Empty => body::empty(),
            Payload::Whole | Payload::Streamed => body::read(receiver),
        };
        let request = head.map(|()| body);
        let response = timeout_at(self.deadline, connection.send_request(request));
        tokio::select! {
            response = response => match response {
                Ok(Ok(response)) => Sent::Answer(response, connection),
                Ok(Err(error)) => Sent::Crashed(error.to_string()),
                Err(_) => Sent::Late,
            },
            () = sender.stopped(), if !self.call.once => Sent::Cancelled,
        }
    }

    fn http(&self) -> Result<Request<()>, http::Error> {
        let method = self.call.method.as_str();
        let mut request = Request::builder()
            .method(method)
            .uri(&self.call.uri)
            .body(())?;
        let headers = request.headers_mut();
        *headers = Header::map(&self.call.headers);
        let token = HeaderValue::from_str(&self.call.token.to_string())?;
        headers.insert(HeaderName::from_static(nest::HEADER), token);
        if self.call.body != Payload::Empty && !headers.contains_key(header::CONTENT_LENGTH) {
            // Without it hyper would drop the body of a GET, and the target would see another
            // request than the caller sent.
            headers.insert(
                header::TRANSFER_ENCODING,
                HeaderValue::from_static("chunked"),
            );
        }
        if !headers.contains_key(header::HOST) {
            let host = HeaderValue::from_str(&self.server.pool.target().to_string())?;
            headers.insert(header::HOST, host);
        }
        Ok(request)
    }

    fn context(&self) -> Context {
        Context {
            urgency: self.call.urgency,
            caller: self.call.caller.clone(),
            deadline: self.deadline,
            depth: self.call.depth,
            allowance: self.call.allowance,
        }
    }

    fn reply(&self, parts: &http::response::Parts, allowance: u8) -> Reply {
        Reply {
            token: self.call.token,
            status: parts.status.as_u16(),
            headers: Header::forward(&parts.headers),
            allowance,
            report: self.server.report(&self.entry, self.call.urgency),
        }
    }

    /// Ends a dispatched call that has no answer. It may have run, so this is never a refusal.
    async fn fail(
        &self,
        sent: Sent,
        running: Running,
        sender: Sender,
        began: Instant,
    ) -> Result<(), Error> {
        match sent {
            Sent::Answer(..) | Sent::Cancelled => {
                running.finish(End::Cancelled);
                Ok(())
            }
            Sent::Late => {
                running.finish(End::Failed {
                    latency: began.elapsed(),
                });
                abort(sender, "the target did not answer in time".to_string()).await
            }
            Sent::Crashed(cause) => {
                log::warn!(
                    "target: {} died under a call: {cause}.",
                    self.server.pool.target()
                );
                running.finish(End::Crashed);
                abort(sender, cause).await
            }
        }
    }

    async fn refused(&self, sender: Sender, refusal: &gate::Refusal) -> Result<(), Error> {
        self.refuse(sender, refusal.cause(), refusal.retry_after())
            .await
    }

    async fn refuse(
        &self,
        mut sender: Sender,
        cause: Cause,
        retry_after: Duration,
    ) -> Result<(), Error> {
        // A refusal is the news that an entry needs most.
        let report = self.server.report(&self.entry, Urgency::Urgent);
        let token = self.call.token;
        sender.push(&Frame::Refusal(Refusal {
            token,
            cause,
            retry_after,
            report,
        }))?;
        sender.finish().await
    }
}

fn end(shed: Option<Duration>, status: http::StatusCode, latency: Duration) -> End {
    match shed {
        Some(after) => End::Shed {
            retry_after: Some(after),
        },
        None if status.is_server_error() => End::Failed { latency },
        None => End::Answered { latency },
    }
}

async fn abort(mut sender: Sender, cause: String) -> Result<(), Error> {
    sender.push(&Frame::Abort(cause))?;
    sender.finish().await
}
