//! One attempt at one target: from the chosen instance to the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pick::{Guard, Kind, Transfer};
use timer::timeout_at;
use tokio::time::Instant;
use unit::Token;
use wire::{Ask, Call, Error, Frame, Header, Known, Link, Peer, Receiver, Refusal, Sender, Stream};

use crate::answer::Answer;
use crate::credit::Sent;
use crate::grant::Grant;
use crate::request_body::RequestBody;
use crate::{Entry, Upstream};

/// The outcome of one attempt.
pub(crate) enum AttemptOutcome {
    /// The head of the target's answer has arrived.
    Answer(Answer),
    /// The gate refused the request; it has not run and never will.
    Refused(Refusal),
    /// Nothing was sent, or the gate has fenced the token: the request has not run and never will.
    NotSent(String),
    /// The key of the request gives no access any more, or the instance is shutting down; the request has
    /// not run and never will.
    Withdrawn(crate::Refusal),
    /// The answer was lost; the request may have run.
    Lost(String),
    /// The link broke; the request may have run, and the instance itself may be healthy.
    LinkBroken(String),
    /// The deadline passed while the request may be running.
    TimedOut,
}

/// What one attempt needs to know about its request.
pub(crate) struct Attempt {
    pub(crate) entry: Arc<Entry>,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) call: Call,
    pub(crate) deadline: Instant,
    /// Checked just before the request is sent.
    pub(crate) grant: Option<Arc<Grant>>,
    /// Marked just before the request is sent.
    pub(crate) sent: Sent,
}

/// Delay between two questions about a token while its gate can't be reached or has no answer.
const ASK_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time that the gate may hold one question open until a running call ends.
const MAX_ASK_WAIT: Duration = Duration::from_secs(5);

impl Attempt {
    /// Sends the request to the instance of `guard` and waits for the head of the answer.
    pub(crate) async fn run(mut self, guard: Guard, body: &mut RequestBody) -> AttemptOutcome {
        let instance = guard.instance().clone();
        self.call.notice = self.entry.notices.get(&instance).map(Box::new);
        let peer = (self.entry.setting.peers)(&instance);
        let Some(peer) = peer else {
            guard.end(Kind::Lost, None);
            return AttemptOutcome::NotSent(format!("{instance} is not announced"));
        };
        let opened = tokio::select! {
            opened = timeout_at(self.link_deadline(), self.open(&peer)) => opened,
            () = self.entry.withdrawing.cancelled() => {
                guard.end(Kind::Refused, None);
                return AttemptOutcome::Withdrawn(crate::Refusal::leaving());
            }
        };
        let (link, stream) = match opened {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => {
                guard.end(Kind::Lost, None);
                return AttemptOutcome::NotSent(error.to_string());
            }
            Err(_) => {
                guard.end(Kind::Lost, None);
                return AttemptOutcome::NotSent(format!("dial {instance}: no link in time"));
            }
        };
        let checked = self
            .grant
            .as_deref()
            .map(|grant| self.entry.check_grant(grant));
        if let Some(Err(refusal)) = checked {
            return AttemptOutcome::Withdrawn(refusal);
        }
        self.upstream.pick.measure_round_trip(&instance, link.rtt());
        let mut transfer = self.upstream.pick.transfer(&instance, self.call.class);
        transfer.add(head_bytes(&self.call) + body.bytes());
        let exchanged = self.exchange(stream, body, transfer);
        let outcome = tokio::select! {
            outcome = timeout_at(self.deadline, exchanged) => outcome,
            outcome = self.withdraw(&peer) => Ok(Ok(outcome)),
        };
        let outcome = match outcome {
            Ok(Ok(outcome)) => outcome,
            // The peer does not know this instance yet, so it has read nothing of the call.
            Ok(Err(error @ Error::Dial(..))) => AttemptOutcome::NotSent(error.to_string()),
            Ok(Err(error)) => self.recover(&link, error).await,
            Err(_) => AttemptOutcome::TimedOut,
        };
        self.settle(guard, &outcome);
        outcome
    }

    /// Takes the call back from its gate once requests are to be withdrawn. Does not resolve unless the gate
    /// has confirmed that the call has not run and never will.
    async fn withdraw(&self, peer: &Peer) -> AttemptOutcome {
        self.entry.withdrawing.cancelled().await;
        let asked = self.ask_once(peer, Duration::ZERO).await;
        match asked {
            Ok(Some(AttemptOutcome::NotSent(_))) => {
                AttemptOutcome::Withdrawn(crate::Refusal::leaving())
            }
            Ok(_) => std::future::pending().await,
            Err(error) => {
                log::warn!("entry: call not withdrawn: {error}.");
                std::future::pending().await
            }
        }
    }

    /// When the attempt stops waiting for a link.
    fn link_deadline(&self) -> Instant {
        let timeout = self.entry.setting.link_timeout;
        timeout.map_or(self.deadline, |timeout| {
            self.deadline.min(Instant::now() + timeout)
        })
    }

    async fn open(&self, peer: &Peer) -> Result<(Link, Stream), Error> {
        let link = self.entry.setting.dialer.link(peer).await?;
        let stream = link.open().await?;
        Ok((link, stream))
    }

    /// Sends the call and reads the head of the answer.
    async fn exchange(
        &self,
        stream: Stream,
        body: &mut RequestBody,
        transfer: Transfer,
    ) -> Result<AttemptOutcome, Error> {
        let Stream {
            mut sender,
            mut receiver,
        } = stream;
        sender.urgency(self.call.urgency);
        self.sent.mark();
        sender.push(&Frame::Call(self.call.clone()))?;
        match body {
            RequestBody::Complete(bytes) => match send_complete(sender, bytes.clone()).await {
                // A gate that refuses the call stops reading the body and sends its refusal on the
                // other direction of the stream.
                Ok(()) | Err(Error::Reset(..)) => {}
                Err(error) => return Err(error),
            },
            RequestBody::Empty | RequestBody::Consumed => sender.finish().await?,
            RequestBody::Streamed(..) => {
                sender.flush().await?;
                match self.first_frame(&mut receiver).await? {
                    FirstFrame::Accepted => {
                        if let RequestBody::Streamed(start, rest) =
                            std::mem::replace(body, RequestBody::Consumed)
                        {
                            tokio::spawn(rest.pump(start, sender));
                        }
                    }
                    FirstFrame::Other(frame) => return self.read_head(frame, receiver, transfer),
                }
            }
        }
        let frame = receiver.recv().await?;
        self.read_head(frame, receiver, transfer)
    }

    async fn first_frame(&self, receiver: &mut Receiver) -> Result<FirstFrame, Error> {
        match receiver.recv().await? {
            Some(Frame::Accepted(accepted)) if accepted.token == self.call.token => {
                Ok(FirstFrame::Accepted)
            }
            frame => Ok(FirstFrame::Other(frame)),
        }
    }

    /// Interprets `frame` as the head of the answer, and checks that it carries the token of this
    /// call.
    fn read_head(
        &self,
        frame: Option<Frame>,
        receiver: Receiver,
        mut transfer: Transfer,
    ) -> Result<AttemptOutcome, Error> {
        let gate = receiver.peer().clone();
        match frame {
            Some(Frame::Reply(reply)) if reply.token == self.call.token => {
                transfer.add(header_bytes(&reply.headers));
                Ok(AttemptOutcome::Answer(Answer {
                    transfer,
                    reply,
                    receiver,
                    gate,
                }))
            }
            Some(Frame::Refusal(refusal)) if refusal.token == self.call.token => {
                Ok(self.outcome_of_refusal(refusal))
            }
            Some(Frame::Abort(abort)) if abort.late => Ok(AttemptOutcome::TimedOut),
            Some(Frame::Abort(abort)) => Ok(AttemptOutcome::Lost(abort.cause)),
            // An answer to another token belongs to another caller. It ends the link, since nothing
            // else that arrives on it can be trusted.
            Some(_) => Err(Error::Garbled(
                gate.to_string(),
                "an answer to another call".into(),
            )),
            None => Err(Error::Reset("read an answer", gate.to_string())),
        }
    }

    /// The outcome that a refusal stands for. A duplicate does not tell whether the first call with
    /// this token ran, so it counts as lost.
    fn outcome_of_refusal(&self, refusal: Refusal) -> AttemptOutcome {
        match refusal.cause {
            wire::Cause::Duplicate => {
                AttemptOutcome::Lost("the gate has seen this token".to_string())
            }
            _ => AttemptOutcome::Refused(refusal),
        }
    }

    /// Determines the outcome after the link broke during the call. If the call may be repeated,
    /// the retry budget decides; otherwise the gate is asked about the token over a new link.
    async fn recover(&self, link: &Link, error: Error) -> AttemptOutcome {
        // Only the life that received the call knows its outcome. A new life at the same address
        // has never seen the token and would report it as unknown although the call may have run.
        let peer = link.peer();
        if matches!(error, Error::Garbled(..)) {
            link.close();
        }
        if !self.call.once {
            return AttemptOutcome::LinkBroken(error.to_string());
        }
        log::info!(
            "entry: asking {} about the outcome of a call: {error}.",
            peer.instance
        );
        timeout_at(self.deadline, self.ask_until_known(peer))
            .await
            .unwrap_or(AttemptOutcome::TimedOut)
    }

    /// Asks the gate until it reports how the call ended, or has fenced the token.
    async fn ask_until_known(&self, peer: &Peer) -> AttemptOutcome {
        loop {
            match self.ask_once(peer, MAX_ASK_WAIT).await {
                Ok(Some(outcome)) => return outcome,
                Ok(None) => {}
                Err(error) if self.is_replaced(peer) => {
                    return AttemptOutcome::Lost(error.to_string());
                }
                Err(error) => log::debug!("entry: {error}."),
            }
            tokio::time::sleep(ASK_RETRY_DELAY).await;
        }
    }

    /// Whether the instance has started a new life or is gone, so that the life that knew the token
    /// never comes back.
    fn is_replaced(&self, peer: &Peer) -> bool {
        (self.entry.setting.peers)(&peer.instance).as_ref() != Some(peer)
    }

    /// Asks the gate for the outcome of the call, which it may hold open for `wait` while the call runs.
    /// If the call has not run the gate is told never to run it.
    async fn ask_once(&self, peer: &Peer, wait: Duration) -> Result<Option<AttemptOutcome>, Error> {
        let life = self
            .entry
            .setting
            .dialer
            .link(peer)
            .await?
            .peer()
            .fingerprint;
        if life != peer.fingerprint {
            let cause = format!("{} has begun a new life", peer.instance);
            return Ok(Some(AttemptOutcome::Lost(cause)));
        }
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let token = self.call.token;
        let ask = Ask {
            token,
            fence: true,
            wait: remaining.min(wait),
            remaining,
        };
        let mut receiver = ask_about_token(&self.entry, peer, ask).await?;
        Ok(match receiver.recv().await? {
            Some(Frame::Known(Known::Unknown { fenced: true })) => Some(AttemptOutcome::NotSent(
                format!("{} has fenced the call", peer.instance),
            )),
            Some(Frame::Known(Known::Done { held: true })) => {
                let frame = receiver.recv().await?;
                // The bytes of the call were counted when it was sent.
                let transfer = self.upstream.pick.transfer(&peer.instance, 0);
                Some(self.read_head(frame, receiver, transfer)?)
            }
            Some(Frame::Known(Known::Done { held: false })) => Some(AttemptOutcome::Lost(
                "it ran, and its answer is gone".to_string(),
            )),
            // The call is running, or the gate has no room for a fence: ask again.
            _ => None,
        })
    }

    fn settle(&self, guard: Guard, outcome: &AttemptOutcome) {
        let began = guard.began();
        match outcome {
            AttemptOutcome::Answer(answer) => {
                self.upstream.observe(began.elapsed());
                let notices = &self.entry.notices;
                notices.record(guard.instance(), answer.reply.notice.as_deref(), began);
                guard.end(kind_of_status(answer.reply.status), answer.reply.report);
            }
            AttemptOutcome::Refused(refusal) => {
                guard.end(kind_of_refusal(refusal.cause), refusal.report)
            }
            AttemptOutcome::NotSent(_)
            | AttemptOutcome::Withdrawn(_)
            | AttemptOutcome::Lost(_)
            | AttemptOutcome::LinkBroken(_)
            | AttemptOutcome::TimedOut => guard.end(Kind::Lost, None),
        }
    }
}

/// The bytes of the head of a call, without the framing.
fn head_bytes(call: &Call) -> usize {
    call.method.len() + call.uri.len() + header_bytes(&call.headers)
}

fn header_bytes(headers: &[Header]) -> usize {
    let bytes = |header: &Header| header.name.len() + header.value.len();
    headers.iter().map(bytes).sum()
}

/// How a refusal counts for the choice among targets.
fn kind_of_refusal(cause: wire::Cause) -> Kind {
    match cause {
        wire::Cause::Down
        | wire::Cause::Leaving
        | wire::Cause::Evacuated
        | wire::Cause::Misdirected => Kind::Closed,
        // The target declined a request that its gate had admitted, which counts as a failure.
        wire::Cause::Declined => Kind::Error,
        _ => Kind::Refused,
    }
}

async fn send_complete(mut sender: Sender, body: Bytes) -> Result<(), Error> {
    sender.write(body).await?;
    sender.push(&Frame::End)?;
    sender.finish().await
}

/// Sends `peer` a question about a token; the answer arrives on the receiver.
pub(crate) async fn ask_about_token(
    entry: &Entry,
    peer: &Peer,
    ask: Ask,
) -> Result<Receiver, Error> {
    let link = entry.setting.dialer.link(peer).await?;
    let Stream {
        mut sender,
        receiver,
    } = link.open().await?;
    sender.push(&Frame::Ask(ask))?;
    sender.finish().await?;
    Ok(receiver)
}

/// The first frame of the gate after a call whose body is streamed.
#[expect(
    clippy::large_enum_variant,
    reason = "It is moved once, and a box would cost an allocation each."
)]
enum FirstFrame {
    Accepted,
    Other(Option<Frame>),
}

/// How the status of an answer counts for the choice among targets.
pub(crate) fn kind_of_status(status: u16) -> Kind {
    if (500..600).contains(&status) {
        Kind::Error
    } else {
        Kind::Ok
    }
}

/// Draws a fresh token. Tokens must be unique across the fleet; 128 random bits make a collision
/// negligible.
pub(crate) fn fresh_token() -> Token {
    Token(rand::random())
}
