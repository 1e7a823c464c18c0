//! Requests that may not be repeated: claim before run, and one answer for all who ask.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use http::Response;
use ledger::{Claim, Claimed, End, Moment, Record};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use unit::{Caller, Digest, Instance, Outcome, Service, Token};
use wire::{Ask, Frame, Known, Peer, Receiver, Reply};

use crate::answer::{self, Answer, Hold};
use crate::attempt::{ask_after, token};
use crate::intake::Intake;
use crate::job::Job;
use crate::tries::Tries;
use crate::{Body, Entry, Reason, Refusal};

/// Pause before a key whose run has just ended is claimed again.
const CLAIM_AGAIN: Duration = Duration::from_millis(20);

/// Longest pause between two looks at a key whose holder can't tell of it; the pauses double up to it.
const LOOK_PAUSE: Duration = Duration::from_millis(160);

/// How long after its claim was seen a run may begin at its entry. An entry that has not heard of
/// its grant in 1.5 s gives the claim up.
const BEGINS_WITHIN: Duration = Duration::from_millis(1_500);

/// Why a claim was not had: the request has not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoClaim {
    /// What failed, at which step and peer.
    pub cause: String,
    /// When it is worth trying again.
    pub retry_after: Duration,
}

/// What the ledger says to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    /// The token that the claim was made under in the end; each owner asked gets a fresh one.
    pub token: Token,
    /// What became of it.
    pub claimed: Claimed,
}

type AskClaim = dyn Fn(Claim) -> BoxFuture<'static, Result<Granted, NoClaim>> + Send + Sync;
type Tell = dyn Fn(End) + Send + Sync;

/// The way to the ledger.
pub struct Claims {
    /// Claims a key; an error means that the request must not run.
    pub claim: Box<AskClaim>,
    /// Reports an end; it is delivered in the background.
    pub end: Box<Tell>,
}

impl Claims {
    /// No way to any ledger: every claim fails.
    pub(crate) fn none() -> Claims {
        let cause = "no ledger".to_string();
        let no = NoClaim {
            cause,
            retry_after: Duration::from_secs(60),
        };
        Claims {
            claim: Box::new(move |_| Box::pin(std::future::ready(Err(no.clone())))),
            end: Box::new(|_| {}),
        }
    }
}

/// The key under which a request of `caller` to `service` is claimed: keys count per caller.
pub fn claim_key(caller: &Caller, service: &Service, key: &str) -> Digest {
    let parts = [
        caller.as_str().as_bytes(),
        service.as_str().as_bytes(),
        key.as_bytes(),
    ];
    Digest::of_parts(&parts)
}

/// A request that may not be repeated, on its way.
pub(crate) struct Once {
    pub(crate) job: Job,
    pub(crate) key: Digest,
    pub(crate) body: Bytes,
    pub(crate) rule: String,
    pub(crate) hold: Hold,
}

/// A run that nobody could tell of when its key was looked at last.
struct Silence {
    token: Token,
    /// It counts as lost after this.
    until: Instant,
    /// The pause before the next look.
    pause: Duration,
}

impl Silence {
    /// The silence of `token`, which begins now unless it has begun before.
    fn of(token: Token, silence: &mut Option<Silence>) -> &Silence {
        if silence.as_ref().is_some_and(|known| known.token != token) {
            *silence = None;
        }
        silence.get_or_insert_with(|| Silence {
            token,
            until: Instant::now() + BEGINS_WITHIN,
            pause: CLAIM_AGAIN,
        })
    }

    /// The pause before the next look; each is twice as long as the one before.
    fn pause(&mut self) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(LOOK_PAUSE);
        pause
    }
}

/// What came of the first run of a key, for one who asks again.
enum Joined {
    /// The first run's answer.
    Answer(held::Answer),
    /// It still runs.
    Running,
    /// It has ended, and its answer is gone.
    Gone,
    /// The instance that it came by does not know of it.
    Unheard,
    /// Nobody can be asked.
    Unreachable,
}

impl Once {
    /// Claims, runs or joins, and answers.
    ///
    /// It runs in a task of its own to its end, whether its caller waits or not: the end of a
    /// claimed request must be recorded.
    pub(crate) async fn serve(self) -> Result<Response<Body>, Refusal> {
        let (id, key) = (self.job.id.clone(), self.key);
        let served = tokio::spawn(self.run()).await;
        let served = served.unwrap_or_else(|error| {
            Err(Refusal::unknown(Reason::Lost).detail(format!("the request's task ended: {error}")))
        });
        match &served {
            Ok(response) => {
                let status = response.status().as_u16();
                log::info!("entry: id={id} once={key} status={status} reason=answered.");
            }
            Err(refusal) => log::info!(
                "entry: id={id} once={key} status={} reason={} detail={:?}.",
                refusal.status_code(),
                refusal.reason(),
                refusal.words(),
            ),
        }
        served
    }

    async fn run(self) -> Result<Response<Body>, Refusal> {
        let mut silence = None;
        loop {
            let Granted { token, claimed } = self.claim().await?;
            match claimed {
                Claimed::Granted => return self.granted(token).await,
                Claimed::Mismatch => return Err(mismatch()),
                Claimed::Done(record) => return self.done(&record).await,
                Claimed::Running(record) => {
                    if let Some(answered) = self.running(&record, &mut silence).await {
                        return answered;
                    }
                }
            }
            let pause = silence.as_mut().map_or(CLAIM_AGAIN, Silence::pause);
            sleep(pause).await;
        }
    }

    async fn claim(&self) -> Result<Granted, Refusal> {
        // A claim that was given up is released by its token, so each gets a fresh one.
        let token = token();
        let claim = Claim {
            key: self.key,
            body: Digest::of(&self.body),
            caller: self.job.caller.clone(),
            token,
            entry: self.entry().setting.instance.clone(),
            deadline: self.job.deadline,
            rule: self.rule.clone(),
        };
        let granted = (self.entry().setting.claims.claim)(claim).await;
        granted.map_err(|no| {
            Refusal::not_run(Reason::NoClaim)
                .detail(no.cause)
                .retry_after(no.retry_after)
        })
    }

    fn entry(&self) -> &Arc<Entry> {
        &self.job.entry
    }

    /// The claim is ours: run, record the end, answer.
    async fn granted(mut self, token: Token) -> Result<Response<Body>, Refusal> {
        let running = self.entry().setting.held.begin(token);
        let mut intake = match self.body.is_empty() {
            true => Intake::Empty,
            false => Intake::Whole(self.body.clone()),
        };
        let tried = Tries::new(&mut self.job).run(&mut intake).await;
        let answer = match tried {
            Ok(answer) => answer,
            Err(refusal) => {
                self.end(token, refusal.outcome(), None, 0);
                return Err(refusal);
            }
        };
        let Answer {
            reply,
            mut receiver,
            gate,
        } = answer;
        let status = reply.status;
        match collect(&mut receiver, self.hold.pause).await {
            Collected::Whole(body) => {
                self.end(token, Outcome::Ran, Some(gate.clone()), status);
                let kept = held::Answer { reply, body };
                let response = answer::whole(kept.clone(), Outcome::Ran, Some(&gate));
                running.done(kept);
                Ok(response)
            }
            Collected::Large(start) => {
                self.end(token, Outcome::Ran, Some(gate.clone()), status);
                Ok(Answer {
                    reply,
                    receiver,
                    gate,
                }
                .response(start, self.hold))
            }
            Collected::Cut(cause) => Err(self.cut(token, gate, status, cause)),
            Collected::Lost(cause) => match self.rest(&reply, &gate).await {
                Some(kept) => {
                    self.end(token, Outcome::Ran, Some(gate.clone()), status);
                    let response = answer::whole(kept.clone(), Outcome::Ran, Some(&gate));
                    running.done(kept);
                    Ok(response)
                }
                None => Err(self.cut(token, gate, status, cause)),
            },
        }
    }

    fn cut(&self, token: Token, gate: Instance, status: u16, cause: String) -> Refusal {
        self.end(token, Outcome::Unknown, Some(gate), status);
        Refusal::unknown(Reason::Lost).detail(cause)
    }

    /// The answer whose link broke in its middle. The gate reads it to the end and keeps it, so we
    /// ask for it by the token of the try.
    async fn rest(&self, reply: &Reply, gate: &Instance) -> Option<held::Answer> {
        let until = self.job.deadline.max(Instant::now() + ASK_AT_LEAST);
        let peer = (self.entry().setting.peers)(gate)?;
        while Instant::now() < until {
            match timeout_at(until, self.ask(&peer, reply.token, until)).await {
                Ok(Joined::Answer(answer)) => return Some(answer),
                Ok(Joined::Running | Joined::Unreachable) => sleep(CLAIM_AGAIN).await,
                Ok(Joined::Gone | Joined::Unheard) | Err(_) => return None,
            }
        }
        None
    }

    fn end(&self, token: Token, outcome: Outcome, target: Option<Instance>, status: u16) {
        let at = Moment::now();
        let end = End {
            key: self.key,
            token,
            target,
            at,
            outcome,
            status,
        };
        (self.entry().setting.claims.end)(end);
    }

    /// The key has run: its answer if it is still held, else the record.
    async fn done(&self, record: &Record) -> Result<Response<Body>, Refusal> {
        match self.join(record, Instant::now()).await {
            Joined::Answer(answer) => Ok(answer::whole(answer, Outcome::AlreadyRun, None)),
            _ => Err(on_record(record)),
        }
    }

    /// The key runs: waits for the same answer. `None` if the key may be free by now, so that it is
    /// worth another claim.
    ///
    /// An entry that knows nothing of its run, or can't be asked, proves nothing at first: a claim is
    /// on record a moment before its entry hears so, and the claim of a request that was refused as
    /// not run stays on record until its release is written, while links of daemons that have just
    /// started still fail. A resend in that time would be told that the first request is lost,
    /// though it runs or the key is free. So the ledger is asked again for a while.
    async fn running(
        &self,
        record: &Record,
        silence: &mut Option<Silence>,
    ) -> Option<Result<Response<Body>, Refusal>> {
        let deadline = self.job.deadline;
        let joined = self.join(record, deadline).await;
        let is_silent = matches!(joined, Joined::Unheard | Joined::Unreachable);
        if !is_silent {
            *silence = None;
        }
        match joined {
            Joined::Answer(answer) => Some(Ok(answer::whole(answer, Outcome::AlreadyRun, None))),
            Joined::Gone if Instant::now() + CLAIM_AGAIN < deadline => None,
            Joined::Gone | Joined::Running => {
                let detail = "the first request with this key has not ended yet";
                Some(Err(Refusal::unknown(Reason::Deadline).detail(detail)))
            }
            Joined::Unheard | Joined::Unreachable => {
                let until = Silence::of(record.token, silence).until;
                let now = Instant::now();
                if now < until.min(deadline) {
                    return None;
                }
                let entry = &record.entry;
                let refusal = if now < until {
                    let detail = format!("{entry} can't be asked about the first request");
                    Refusal::unknown(Reason::Deadline).detail(detail)
                } else {
                    let detail = format!("the first request came by {entry}, which is gone");
                    Refusal::unknown(Reason::Lost).detail(detail)
                };
                Some(Err(refusal))
            }
        }
    }

    /// Waits until `until` for the answer of the run that holds the key.
    async fn join(&self, record: &Record, until: Instant) -> Joined {
        let entry = self.entry();
        if record.entry == entry.setting.instance {
            return match entry.setting.held.wait(record.token, until).await {
                held::Found::Answer(answer) => Joined::Answer(answer),
                held::Found::Running => Joined::Running,
                held::Found::Ended => Joined::Gone,
                // A run of an earlier life of this instance leaves nothing behind.
                held::Found::Nothing => Joined::Unheard,
            };
        }
        let Some(peer) = (entry.setting.peers)(&record.entry) else {
            return Joined::Unreachable;
        };
        let asked = timeout_at(
            until.max(Instant::now() + ASK_AT_LEAST),
            self.ask(&peer, record.token, until),
        );
        asked.await.unwrap_or(Joined::Running)
    }

    /// Asks `peer` for the answer under `token`.
    async fn ask(&self, peer: &Peer, token: Token, until: Instant) -> Joined {
        let wait = until.saturating_duration_since(Instant::now());
        let ask = Ask {
            token,
            fence: false,
            wait,
            remaining: wait,
        };
        let Ok(mut receiver) = ask_after(self.entry(), peer, ask).await else {
            return Joined::Unreachable;
        };
        match receiver.recv().await {
            Ok(Some(Frame::Known(Known::Running))) => Joined::Running,
            Ok(Some(Frame::Known(Known::Done { held: false }))) => Joined::Gone,
            Ok(Some(Frame::Known(Known::Unknown { .. }))) => Joined::Unheard,
            Ok(Some(Frame::Known(Known::Done { held: true }))) => {
                kept(&mut receiver, self.hold.pause).await
            }
            _ => Joined::Unreachable,
        }
    }
}

/// A question to another entry gets at least this long, also when nothing is waited for.
const ASK_AT_LEAST: Duration = Duration::from_millis(500);

async fn kept(receiver: &mut Receiver, pause: Duration) -> Joined {
    let Ok(Some(Frame::Reply(reply))) = receiver.recv().await else {
        return Joined::Unreachable;
    };
    match collect(receiver, pause).await {
        Collected::Whole(body) => Joined::Answer(held::Answer { reply, body }),
        Collected::Large(_) | Collected::Cut(_) | Collected::Lost(_) => Joined::Unreachable,
    }
}

/// A body read into memory.
enum Collected {
    /// All of it.
    Whole(Bytes),
    /// Its beginning; it is too large to be kept.
    Large(Bytes),
    /// It broke off, for this reason.
    Cut(String),
    /// The link to the gate broke, for this reason; the answer itself may go on.
    Lost(String),
}

async fn collect(receiver: &mut Receiver, pause: Duration) -> Collected {
    let mut body = BytesMut::new();
    loop {
        match timeout(pause, receiver.recv()).await {
            Ok(Ok(Some(Frame::Data(data)))) => body.extend_from_slice(&data),
            Ok(Ok(Some(Frame::End))) => return Collected::Whole(body.freeze()),
            Ok(Ok(Some(Frame::Abort(abort)))) => return Collected::Cut(abort.cause),
            Ok(Ok(_)) => return Collected::Cut("the answer was cut".to_string()),
            Ok(Err(error)) => return Collected::Lost(error.to_string()),
            Err(_) => return Collected::Cut(format!("no byte for {pause:?}")),
        }
        if body.len() > held::MAX_BODY {
            return Collected::Large(body.freeze());
        }
    }
}

fn mismatch() -> Refusal {
    Refusal::not_run(Reason::KeyMismatch).detail("this key was used with another body")
}

/// What the record of a key says, when its answer is gone. One that ended open, or has no end, says
/// only that the key may have run: a caller must not read it as done.
fn on_record(record: &Record) -> Refusal {
    let ended = record.end.as_ref();
    let outcome = ended.map_or("not recorded".to_string(), |end| end.outcome.to_string());
    let status = ended.map_or(0, |end| end.status);
    let detail = format!(
        "this key was claimed by {} at {} by way of {}; outcome {outcome}, status {status}",
        record.caller, record.at, record.entry,
    );
    let refusal = match ended.map(|end| end.outcome) {
        Some(Outcome::Ran | Outcome::AlreadyRun) => Refusal::already_run(),
        Some(Outcome::Unknown | Outcome::NotRun) | None => Refusal::unknown(Reason::Lost),
    };
    refusal.detail(detail)
}
