//! One try at one target: from the chosen instance to the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pick::{Guard, Kind};
use tokio::time::{Instant, timeout_at};
use unit::Token;
use wire::{Ask, Call, Error, Frame, Known, Link, Peer, Receiver, Refusal, Sender, Stream};

use crate::answer::Answer;
use crate::intake::Intake;
use crate::{Entry, Upstream};

/// What came of one try.
pub(crate) enum Tried {
    /// The target answers.
    Answer(Answer),
    /// The gate did not run it, and never will.
    Refused(Refusal),
    /// Nothing was sent, or the gate has fenced the token: it has not run, and never will.
    NotSent(String),
    /// It may have run.
    Lost(String),
    /// It may have run, and nothing speaks against its instance but the link.
    Broken(String),
    /// The deadline came while it may be running.
    Late,
}

/// What one try needs of the request that it is for.
pub(crate) struct Attempt {
    pub(crate) entry: Arc<Entry>,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) call: Call,
    pub(crate) deadline: Instant,
}

/// Pause between questions after a token whose gate can't be reached.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// Longest time that one question lets the gate wait for the end of a running call.
const ASK_WAIT: Duration = Duration::from_secs(5);

impl Attempt {
    /// Makes the try at the instance of `guard`.
    pub(crate) async fn run(self, guard: Guard, intake: &mut Intake) -> Tried {
        let instance = guard.instance().clone();
        let peer = (self.entry.setting.peers)(&instance);
        let Some(peer) = peer else {
            guard.end(Kind::Lost, None);
            return Tried::NotSent(format!("{instance} is not announced"));
        };
        let opened = timeout_at(self.link_by(), self.open(&peer)).await;
        let (link, stream) = match opened {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => {
                guard.end(Kind::Lost, None);
                return Tried::NotSent(error.to_string());
            }
            Err(_) => {
                guard.end(Kind::Lost, None);
                return Tried::NotSent(format!("dial {instance}: no link in time"));
            }
        };
        let tried = timeout_at(self.deadline, self.exchange(stream, intake)).await;
        let tried = match tried {
            Ok(Ok(tried)) => tried,
            // The peer does not know us yet, so it has read nothing.
            Ok(Err(error @ Error::Dial(..))) => Tried::NotSent(error.to_string()),
            Ok(Err(error)) => self.recover(&link, error).await,
            Err(_) => Tried::Late,
        };
        self.settle(guard, &tried);
        tried
    }

    /// Until when the try waits for a link.
    fn link_by(&self) -> Instant {
        let bound = self.entry.setting.link_timeout;
        bound.map_or(self.deadline, |bound| {
            self.deadline.min(Instant::now() + bound)
        })
    }

    async fn open(&self, peer: &Peer) -> Result<(Link, Stream), Error> {
        let link = self.entry.setting.dialer.link(peer).await?;
        let stream = link.open().await?;
        Ok((link, stream))
    }

    /// Sends the call and reads the head of the answer.
    async fn exchange(&self, stream: Stream, intake: &mut Intake) -> Result<Tried, Error> {
        let Stream {
            mut sender,
            mut receiver,
        } = stream;
        sender.urgency(self.call.urgency);
        sender.push(&Frame::Call(self.call.clone()))?;
        match intake {
            Intake::Whole(bytes) => match send_whole(sender, bytes.clone()).await {
                // A gate that refuses reads no more of the body, and says why on its own half.
                Ok(()) | Err(Error::Reset(..)) => {}
                Err(error) => return Err(error),
            },
            Intake::Empty | Intake::Spent => sender.finish().await?,
            Intake::Streamed(..) => {
                sender.flush().await?;
                match self.first(&mut receiver).await? {
                    First::Accepted => {
                        if let Intake::Streamed(start, rest) =
                            std::mem::replace(intake, Intake::Spent)
                        {
                            tokio::spawn(rest.pump(start, sender));
                        }
                    }
                    First::Other(frame) => return self.head(frame, receiver),
                }
            }
        }
        let frame = receiver.recv().await?;
        self.head(frame, receiver)
    }

    async fn first(&self, receiver: &mut Receiver) -> Result<First, Error> {
        match receiver.recv().await? {
            Some(Frame::Accepted(accepted)) if accepted.token == self.call.token => {
                Ok(First::Accepted)
            }
            frame => Ok(First::Other(frame)),
        }
    }

    /// Reads the head of the answer, and checks that it is the answer to this very call.
    fn head(&self, frame: Option<Frame>, receiver: Receiver) -> Result<Tried, Error> {
        let gate = receiver.peer().clone();
        match frame {
            Some(Frame::Reply(reply)) if reply.token == self.call.token => {
                Ok(Tried::Answer(Answer {
                    reply,
                    receiver,
                    gate,
                }))
            }
            Some(Frame::Refusal(refusal)) if refusal.token == self.call.token => {
                Ok(self.refused(refusal))
            }
            Some(Frame::Abort(abort)) if abort.late => Ok(Tried::Late),
            Some(Frame::Abort(abort)) => Ok(Tried::Lost(abort.cause)),
            // An answer to another token would be another caller's: we end the link, since nothing
            // on it can be believed any more.
            Some(_) => Err(Error::Garbled(
                gate.to_string(),
                "an answer to another call".into(),
            )),
            None => Err(Error::Reset("read an answer", gate.to_string())),
        }
    }

    /// A duplicate says nothing of what became of the first frame with this token.
    fn refused(&self, refusal: Refusal) -> Tried {
        match refusal.cause {
            wire::Cause::Duplicate => Tried::Lost("the gate has seen this token".to_string()),
            _ => Tried::Refused(refusal),
        }
    }

    /// The link broke under the call. One that may be repeated is left to the retry budget; for
    /// one that may not, the gate is asked after the token over a new link.
    async fn recover(&self, link: &Link, error: Error) -> Tried {
        // Only the very life that was sent the call knows what became of it. A new life at the same
        // address has never seen its token, and would call it unknown though it ran.
        let peer = link.peer();
        if matches!(error, Error::Garbled(..)) {
            link.close();
        }
        if !self.call.once {
            return Tried::Broken(error.to_string());
        }
        log::info!("entry: asking {} after a call: {error}.", peer.instance);
        timeout_at(self.deadline, self.ask(peer))
            .await
            .unwrap_or(Tried::Late)
    }

    /// Asks until the gate knows the end of the call, or has fenced it.
    async fn ask(&self, peer: &Peer) -> Tried {
        loop {
            match self.ask_once(peer).await {
                Ok(Some(tried)) => return tried,
                Ok(None) => {}
                Err(error) if self.replaced(peer) => return Tried::Lost(error.to_string()),
                Err(error) => log::debug!("entry: {error}."),
            }
            tokio::time::sleep(ASK_AGAIN).await;
        }
    }

    /// The instance has begun a new life, or is gone: the one that knew the token never comes back.
    fn replaced(&self, peer: &Peer) -> bool {
        (self.entry.setting.peers)(&peer.instance).as_ref() != Some(peer)
    }

    async fn ask_once(&self, peer: &Peer) -> Result<Option<Tried>, Error> {
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
            return Ok(Some(Tried::Lost(cause)));
        }
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let token = self.call.token;
        let ask = Ask {
            token,
            fence: true,
            wait: remaining.min(ASK_WAIT),
            remaining,
        };
        let mut receiver = ask_after(&self.entry, peer, ask).await?;
        Ok(match receiver.recv().await? {
            Some(Frame::Known(Known::Unknown { fenced: true })) => Some(Tried::NotSent(format!(
                "{} has fenced the call",
                peer.instance
            ))),
            Some(Frame::Known(Known::Done { held: true })) => {
                let frame = receiver.recv().await?;
                Some(self.head(frame, receiver)?)
            }
            Some(Frame::Known(Known::Done { held: false })) => {
                Some(Tried::Lost("it ran, and its answer is gone".to_string()))
            }
            // It runs, or the gate has no room for a fence: ask again.
            _ => None,
        })
    }

    fn settle(&self, guard: Guard, tried: &Tried) {
        let began = guard.began();
        match tried {
            Tried::Answer(answer) => {
                self.upstream.observe(began.elapsed());
                guard.end(kind(answer.reply.status), answer.reply.report);
            }
            Tried::Refused(refusal) => guard.end(kind_of(refusal.cause), refusal.report),
            Tried::NotSent(_) | Tried::Lost(_) | Tried::Broken(_) | Tried::Late => {
                guard.end(Kind::Lost, None)
            }
        }
    }
}

/// What a refusal says of the target.
fn kind_of(cause: wire::Cause) -> Kind {
    match cause {
        wire::Cause::Down | wire::Cause::Leaving | wire::Cause::Misdirected => Kind::Closed,
        // A target that turns away what its gate has let through is in trouble.
        wire::Cause::Declined => Kind::Error,
        _ => Kind::Refused,
    }
}

async fn send_whole(mut sender: Sender, body: Bytes) -> Result<(), Error> {
    sender.write(body).await?;
    sender.push(&Frame::End)?;
    sender.finish().await
}

/// Opens a question after a token at `peer`; the answer comes on the receiver.
pub(crate) async fn ask_after(entry: &Entry, peer: &Peer, ask: Ask) -> Result<Receiver, Error> {
    let link = entry.setting.dialer.link(peer).await?;
    let Stream {
        mut sender,
        receiver,
    } = link.open().await?;
    sender.push(&Frame::Ask(ask))?;
    sender.finish().await?;
    Ok(receiver)
}

/// The first frame behind a call whose body is streamed.
#[expect(
    clippy::large_enum_variant,
    reason = "It is moved once, and a box would cost an allocation each."
)]
enum First {
    Accepted,
    Other(Option<Frame>),
}

/// What an answer's status says of its target.
pub(crate) fn kind(status: u16) -> Kind {
    if (500..600).contains(&status) {
        Kind::Error
    } else {
        Kind::Ok
    }
}

/// A fresh token. Tokens must not collide over the whole fleet; 128 random bits don't.
pub(crate) fn token() -> Token {
    Token(rand::random())
}
