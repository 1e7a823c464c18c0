//! Requests that may not be repeated: each key is claimed before the run, and all requests with the
//! same key get the answer of that one run.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use http::Response;
use ledger::{Claim, Claimed, End, Moment, Record};
use timer::timeout_at;
use tokio::time::{Instant, sleep};
use unit::{Caller, Digest, Instance, Outcome, Service, Token};
use wire::{Ask, Frame, Known, Peer, Receiver, Reply};

use crate::answer::{self, Answer, ResponseGuard};
use crate::attempt::{ask_about_token, fresh_token};
use crate::attempts::Attempts;
use crate::job::Job;
use crate::request_body::RequestBody;
use crate::{Body, Entry, Reason, Refusal};

/// Delay before a key is claimed again; the first of the delays that double for an unconfirmed run.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Longest delay between two claims of a key whose run is unconfirmed; the delays double up to it.
const MAX_CLAIM_RETRY_DELAY: Duration = Duration::from_millis(160);

/// How long after its claim was first seen a run may remain unconfirmed before it counts as lost.
/// An entry that does not learn of its grant within 1.5 s gives up the claim.
const MAX_START_DELAY: Duration = Duration::from_millis(1_500);

/// Why a key could not be claimed. The request has not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoClaim {
    /// What failed, at which step, and at which peer.
    pub cause: String,
    /// How long to wait before another attempt is worthwhile.
    pub retry_after: Duration,
}

/// The ledger's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    /// The token under which the claim was finally made; each owner that is asked gets a fresh one.
    pub token: Token,
    /// The result of the claim.
    pub claimed: Claimed,
}

type ClaimKey = dyn Fn(Claim) -> BoxFuture<'static, Result<Granted, NoClaim>> + Send + Sync;
type ReportEnd = dyn Fn(End) + Send + Sync;

/// The functions by which an entry reaches the ledger.
pub struct Claims {
    /// Claims a key. After an error the request must not run.
    pub claim: Box<ClaimKey>,
    /// Reports the end of a run; the report is delivered in the background.
    pub end: Box<ReportEnd>,
}

impl Claims {
    /// Claims without a ledger: every claim fails.
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

/// The key under which a request of `caller` to `service` is claimed. Equal keys of different
/// callers or for different services are independent.
pub fn claim_key(caller: &Caller, service: &Service, key: &str) -> Digest {
    let parts = [
        caller.as_str().as_bytes(),
        service.as_str().as_bytes(),
        key.as_bytes(),
    ];
    Digest::of_parts(&parts)
}

/// A request that may not be repeated.
pub(crate) struct Once {
    pub(crate) job: Job,
    pub(crate) key: Digest,
    pub(crate) body: Bytes,
    pub(crate) rule: String,
    pub(crate) guard: ResponseGuard,
}

/// A claimed run that no instance could confirm at the last claim of its key.
struct Unconfirmed {
    token: Token,
    /// The run counts as lost if it is still unconfirmed at this time.
    until: Instant,
    /// The delay before the next claim.
    delay: Duration,
}

impl Unconfirmed {
    /// Returns the state of `token`, in place of that of another token. The time is counted from
    /// the first claim that found the run unconfirmed.
    fn of(token: Token, unconfirmed: &mut Option<Unconfirmed>) -> &Unconfirmed {
        if unconfirmed
            .as_ref()
            .is_some_and(|known| known.token != token)
        {
            *unconfirmed = None;
        }
        unconfirmed.get_or_insert_with(|| Unconfirmed {
            token,
            until: Instant::now() + MAX_START_DELAY,
            delay: CLAIM_RETRY_DELAY,
        })
    }

    /// The delay before the next claim. Each delay is twice as long as the previous one, up to
    /// [`MAX_CLAIM_RETRY_DELAY`].
    fn next_delay(&mut self) -> Duration {
        let delay = self.delay;
        self.delay = (delay * 2).min(MAX_CLAIM_RETRY_DELAY);
        delay
    }
}

/// The state of the first run of a key, as another request with that key finds it.
enum FirstRun {
    /// The run has ended with this answer.
    Answer(held::Answer),
    /// The run has not ended.
    Running,
    /// The run has ended, and its answer is no longer held.
    Discarded,
    /// The instance that holds the claim does not know the run.
    Unknown,
    /// The instance that holds the claim can't be asked.
    Unreachable,
}

impl Once {
    /// Claims the key, then runs the request or waits for the run that holds the key.
    ///
    /// The work is done in a separate task that continues when the caller disconnects, because the
    /// end of a claimed request must be recorded.
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
                refusal.detail_text(),
            ),
        }
        served
    }

    async fn run(self) -> Result<Response<Body>, Refusal> {
        let mut unconfirmed = None;
        loop {
            let Granted { token, claimed } = self.claim().await?;
            match claimed {
                Claimed::Granted => return self.run_claimed(token).await,
                Claimed::Mismatch => return Err(mismatch()),
                Claimed::Done(record) => return self.answer_done(&record).await,
                Claimed::Running(record) => {
                    if let Some(answered) = self.wait_for_running(&record, &mut unconfirmed).await {
                        return answered;
                    }
                }
            }
            let delay = unconfirmed
                .as_mut()
                .map_or(CLAIM_RETRY_DELAY, Unconfirmed::next_delay);
            sleep(delay).await;
        }
    }

    async fn claim(&self) -> Result<Granted, Refusal> {
        // An abandoned claim is released by its token, so each claim needs a fresh one.
        let token = fresh_token();
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

    /// Runs the request under its granted claim, reports the end, and answers.
    async fn run_claimed(mut self, token: Token) -> Result<Response<Body>, Refusal> {
        let running = self.entry().setting.held.begin(token);
        let mut body = match self.body.is_empty() {
            true => RequestBody::Empty,
            false => RequestBody::Complete(self.body.clone()),
        };
        let result = Attempts::new(&mut self.job).run(&mut body).await;
        let answer = match result {
            Ok(answer) => answer,
            Err(refusal) => {
                self.report_end(token, refusal.outcome(), None, 0);
                return Err(refusal);
            }
        };
        let Answer {
            reply,
            mut receiver,
            gate,
            mut transfer,
        } = answer;
        let status = reply.status;
        match collect(&mut receiver, self.guard.idle_timeout).await {
            Collected::Complete(body) => {
                transfer.add(body.len());
                transfer.complete();
                self.report_end(token, Outcome::Ran, Some(gate.clone()), status);
                let kept = held::Answer { reply, body };
                let response = answer::complete_response(kept.clone(), Outcome::Ran, Some(&gate));
                running.done(kept);
                Ok(response)
            }
            Collected::TooLarge(start) => {
                self.report_end(token, Outcome::Ran, Some(gate.clone()), status);
                Ok(Answer {
                    reply,
                    receiver,
                    gate,
                    transfer,
                }
                .response(start, self.guard))
            }
            Collected::Truncated(cause) => Err(self.truncated(token, gate, status, cause)),
            Collected::LinkLost(cause) => match self.fetch_held_answer(&reply, &gate).await {
                Some(kept) => {
                    self.report_end(token, Outcome::Ran, Some(gate.clone()), status);
                    let response =
                        answer::complete_response(kept.clone(), Outcome::Ran, Some(&gate));
                    running.done(kept);
                    Ok(response)
                }
                None => Err(self.truncated(token, gate, status, cause)),
            },
        }
    }

    fn truncated(&self, token: Token, gate: Instance, status: u16, cause: String) -> Refusal {
        self.report_end(token, Outcome::Unknown, Some(gate), status);
        Refusal::unknown(Reason::Lost).detail(cause)
    }

    /// Fetches an answer after its link broke partway. The gate reads the answer to its end and
    /// holds it, so it can be requested by the token of the attempt.
    async fn fetch_held_answer(&self, reply: &Reply, gate: &Instance) -> Option<held::Answer> {
        let until = self.job.deadline.max(Instant::now() + MIN_ASK_TIMEOUT);
        let peer = (self.entry().setting.peers)(gate)?;
        while Instant::now() < until {
            match timeout_at(until, self.ask(&peer, reply.token, until)).await {
                Ok(FirstRun::Answer(answer)) => return Some(answer),
                Ok(FirstRun::Running | FirstRun::Unreachable) => sleep(CLAIM_RETRY_DELAY).await,
                Ok(FirstRun::Discarded | FirstRun::Unknown) | Err(_) => return None,
            }
        }
        None
    }

    fn report_end(&self, token: Token, outcome: Outcome, target: Option<Instance>, status: u16) {
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

    /// Answers a request whose key has run: with the answer if it is still held, otherwise with a
    /// refusal that describes the record.
    async fn answer_done(&self, record: &Record) -> Result<Response<Body>, Refusal> {
        match self.first_run(record, Instant::now()).await {
            FirstRun::Answer(answer) => {
                Ok(answer::complete_response(answer, Outcome::AlreadyRun, None))
            }
            _ => Err(refusal_from_record(record)),
        }
    }

    /// Waits for the answer of the run that holds the key. `None` if the key may be free by now, so
    /// that it should be claimed again.
    ///
    /// If the entry of that run does not know it or can't be asked, this does not yet show that the
    /// run is lost. A claim is recorded shortly before its entry receives the grant, the claim of a
    /// request that was refused as not run stays recorded until its release is written, and links
    /// to daemons that have just started may fail. A request that is resent in that time would be
    /// answered as lost although the first one is running or the key is free. So the key is claimed
    /// again for up to [`MAX_START_DELAY`].
    async fn wait_for_running(
        &self,
        record: &Record,
        unconfirmed: &mut Option<Unconfirmed>,
    ) -> Option<Result<Response<Body>, Refusal>> {
        let deadline = self.job.deadline;
        let first_run = self.first_run(record, deadline).await;
        let is_unconfirmed = matches!(first_run, FirstRun::Unknown | FirstRun::Unreachable);
        if !is_unconfirmed {
            *unconfirmed = None;
        }
        match first_run {
            FirstRun::Answer(answer) => Some(Ok(answer::complete_response(
                answer,
                Outcome::AlreadyRun,
                None,
            ))),
            FirstRun::Discarded if Instant::now() + CLAIM_RETRY_DELAY < deadline => None,
            FirstRun::Discarded | FirstRun::Running => {
                let detail = "the first request with this key has not ended yet";
                Some(Err(Refusal::unknown(Reason::Deadline).detail(detail)))
            }
            FirstRun::Unknown | FirstRun::Unreachable => {
                let until = Unconfirmed::of(record.token, unconfirmed).until;
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

    /// Waits until `until` for the answer of the run that holds the key, and returns its state.
    async fn first_run(&self, record: &Record, until: Instant) -> FirstRun {
        let entry = self.entry();
        if record.entry == entry.setting.instance {
            return match entry.setting.held.wait(record.token, until).await {
                held::Found::Answer(answer) => FirstRun::Answer(answer),
                held::Found::Running => FirstRun::Running,
                held::Found::Ended => FirstRun::Discarded,
                // Nothing is kept of the runs of an earlier life of this instance.
                held::Found::Nothing => FirstRun::Unknown,
            };
        }
        let Some(peer) = (entry.setting.peers)(&record.entry) else {
            return FirstRun::Unreachable;
        };
        let asked = timeout_at(
            until.max(Instant::now() + MIN_ASK_TIMEOUT),
            self.ask(&peer, record.token, until),
        );
        asked.await.unwrap_or(FirstRun::Running)
    }

    /// Asks `peer` for the answer under `token`.
    async fn ask(&self, peer: &Peer, token: Token, until: Instant) -> FirstRun {
        let wait = until.saturating_duration_since(Instant::now());
        let ask = Ask {
            token,
            fence: false,
            wait,
            remaining: wait,
        };
        let Ok(mut receiver) = ask_about_token(self.entry(), peer, ask).await else {
            return FirstRun::Unreachable;
        };
        match receiver.recv().await {
            Ok(Some(Frame::Known(Known::Running))) => FirstRun::Running,
            Ok(Some(Frame::Known(Known::Done { held: false }))) => FirstRun::Discarded,
            Ok(Some(Frame::Known(Known::Unknown { .. }))) => FirstRun::Unknown,
            Ok(Some(Frame::Known(Known::Done { held: true }))) => {
                read_held_answer(&mut receiver, self.guard.idle_timeout).await
            }
            _ => FirstRun::Unreachable,
        }
    }
}

/// Shortest timeout of a question to another instance, even if the wait for the run is zero.
const MIN_ASK_TIMEOUT: Duration = Duration::from_millis(500);

async fn read_held_answer(receiver: &mut Receiver, idle_timeout: Duration) -> FirstRun {
    let Ok(Some(Frame::Reply(reply))) = receiver.recv().await else {
        return FirstRun::Unreachable;
    };
    match collect(receiver, idle_timeout).await {
        Collected::Complete(body) => FirstRun::Answer(held::Answer { reply, body }),
        Collected::TooLarge(_) | Collected::Truncated(_) | Collected::LinkLost(_) => {
            FirstRun::Unreachable
        }
    }
}

/// The result of reading the body of an answer into memory.
enum Collected {
    /// The complete body.
    Complete(Bytes),
    /// The bytes read so far of a body that is too large to be held.
    TooLarge(Bytes),
    /// The body ended early, for this reason.
    Truncated(String),
    /// The link to the gate broke, for this reason; the gate may still be receiving the answer.
    LinkLost(String),
}

async fn collect(receiver: &mut Receiver, idle_timeout: Duration) -> Collected {
    let mut body = BytesMut::new();
    loop {
        match timer::idle_timeout(idle_timeout, receiver.recv()).await {
            Ok(Ok(Some(Frame::Data(data)))) => body.extend_from_slice(&data),
            Ok(Ok(Some(Frame::End))) => return Collected::Complete(body.freeze()),
            Ok(Ok(Some(Frame::Abort(abort)))) => return Collected::Truncated(abort.cause),
            Ok(Ok(_)) => return Collected::Truncated("the answer was cut".to_string()),
            Ok(Err(error)) => return Collected::LinkLost(error.to_string()),
            Err(_) => return Collected::Truncated(format!("no byte for {idle_timeout:?}")),
        }
        if body.len() > held::MAX_BODY {
            return Collected::TooLarge(body.freeze());
        }
    }
}

fn mismatch() -> Refusal {
    Refusal::not_run(Reason::KeyMismatch).detail("this key was used with another body")
}

/// Builds the refusal for a key whose answer is no longer held, from its record. If the outcome is
/// unknown or no end is recorded, the refusal only says that the request may have run, so that the
/// caller does not take it as done.
fn refusal_from_record(record: &Record) -> Refusal {
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
