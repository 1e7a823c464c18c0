//! The attempts of one request: the first one, and the retries that its budgets allow.

mod hedge;

use std::time::Duration;

use pick::retry::Cause;
use pick::{Guard, Kind, Need};
use tokio::time::Instant;
use unit::{Instance, Outcome};

use crate::answer::Answer;
use crate::attempt::{Attempt, AttemptOutcome, fresh_token, kind_of_status};
use crate::job::Job;
use crate::request_body::RequestBody;
use crate::{Reason, Refusal};

/// Statuses that report a failed or unavailable target; another target may serve the request.
const RETRYABLE_STATUSES: [u16; 4] = [500, 502, 503, 504];

/// Retry time of a request that its target has turned away without naming one: another target may
/// take it at once.
const DECLINED_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Retry time of a request for which no target is left.
pub(crate) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What to do after an attempt.
enum Next {
    /// Relay this answer to the caller.
    Answer(Answer),
    /// Answer the caller with this refusal.
    Refuse(Refusal),
    /// Retry on another target, which the retry budget has paid for.
    Retry,
    /// Hand the request over to another gate. It has reached no target, so no budget is charged.
    HandOver,
}

/// The attempts of one request.
pub(crate) struct Attempts<'a> {
    job: &'a mut Job,
    tried: Vec<Instance>,
    retries_left: u32,
    /// An attempt may have run, so the outcome of the request can't be "not run".
    may_have_run: bool,
    /// A link broke during an attempt, so its instance may be chosen again if no other is left.
    link_broke: bool,
    /// The last refusal, for the answer when no other target is left.
    last_refusal: Option<Refusal>,
    /// Handovers to another gate so far.
    handovers: u32,
    /// Attempts that have reached a target, or may have.
    sent: u32,
}

impl<'a> Attempts<'a> {
    pub(crate) fn new(job: &'a mut Job) -> Attempts<'a> {
        let retries_left = job.route.retries;
        Attempts {
            job,
            tried: Vec::new(),
            retries_left,
            may_have_run: false,
            link_broke: false,
            last_refusal: None,
            handovers: 0,
            sent: 0,
        }
    }

    /// Makes attempts until one is answered or no further attempt is allowed.
    ///
    /// # Errors
    ///
    /// The refusal for the caller. It is returned as soon as the request is given up, and never
    /// delayed to slow down a caller that might ask again.
    pub(crate) async fn run(mut self, body: &mut RequestBody) -> Result<Answer, Refusal> {
        let began = Instant::now();
        let ended = self.run_attempts(body).await;
        let stats = self.job.entry.stats();
        stats.record_end(began.elapsed(), self.handovers, self.sent);
        if ended.is_err() && self.sent == 0 {
            stats.record_refusal(began.elapsed());
        }
        let (status, reason) = match &ended {
            Ok(answer) => (answer.reply.status, "answered".to_string()),
            Err(refusal) => (refusal.status_code(), refusal.reason().to_string()),
        };
        let job = &self.job;
        let last = self.tried.last().map_or("none", Instance::as_str);
        let workspace = job.workspace.as_ref();
        let workspace = workspace.map_or(String::new(), |name| format!(" workspace={name}"));
        log::info!(
            "entry: id={}{workspace} service={} class={} status={status} reason={reason} sent={} refused={} \
             again={} last={last} took_ms={} left_ms={}.",
            job.id,
            job.service,
            job.class,
            self.sent,
            self.handovers,
            job.is_retry,
            began.elapsed().as_millis(),
            job.deadline
                .saturating_duration_since(Instant::now())
                .as_millis(),
        );
        ended
    }

    async fn run_attempts(&mut self, body: &mut RequestBody) -> Result<Answer, Refusal> {
        self.job.upstream.count_request(Instant::now());
        loop {
            if self.job.entry.withdrawing.is_cancelled() {
                return Err(self.with_earlier_attempts(Refusal::leaving()));
            }
            let Some(guard) = self.choose() else {
                return Err(self.no_target_left());
            };
            let outcome = self.attempt(guard, body).await;
            self.sent += u32::from(outcome.reached());
            self.job
                .credit
                .settle(self.may_have_run || outcome.may_have_run());
            match self.next(outcome, body) {
                Next::Answer(answer) => return Ok(answer),
                Next::Refuse(refusal) => return Err(refusal),
                Next::Retry => self.retries_left = self.retries_left.saturating_sub(1),
                Next::HandOver => self.handovers += 1,
            }
        }
    }

    fn choose(&mut self) -> Option<Guard> {
        let guard = self.pick(&self.tried);
        let guard = guard.or_else(|| self.link_broke.then(|| self.pick(&[])).flatten())?;
        self.tried.push(guard.instance().clone());
        self.job.entry.stats().record_choice(guard.basis());
        Some(guard)
    }

    fn pick(&self, exclude: &[Instance]) -> Option<Guard> {
        let need = self.need(exclude);
        self.job.upstream.pick.acquire(Instant::now(), &need)
    }

    fn need<'e>(&'e self, exclude: &'e [Instance]) -> Need<'e> {
        Need {
            urgency: self.job.urgency,
            zone: self.job.zone(),
            exclude,
            bulk: self.job.route.bulk,
            class: self.job.class,
            nested: self.job.depth.0 > 0,
            regions: self.job.regions.as_deref(),
        }
    }

    fn build_attempt(&mut self, body: &RequestBody) -> Attempt {
        let elsewhere = self.may_return_for_other_target(body);
        let call = self.job.call(fresh_token(), body.payload(), elsewhere);
        Attempt {
            entry: self.job.entry.clone(),
            upstream: self.job.upstream.clone(),
            call,
            deadline: self.job.deadline,
            grant: self.job.grant.clone(),
            sent: self.job.credit.sent(),
        }
    }

    /// Whether the gate of the next attempt may return the request so that it goes to a target that
    /// is not slow.
    fn may_return_for_other_target(&self, body: &RequestBody) -> bool {
        let max_handovers = self.job.entry.setting.max_handovers.unwrap_or(0);
        let need = self.need(&self.tried);
        let pick = &self.job.upstream.pick;
        self.handovers + 1 < max_handovers
            && body.sendable()
            && pick.has_fast_target(Instant::now(), &need)
    }

    fn next(&mut self, outcome: AttemptOutcome, body: &RequestBody) -> Next {
        match outcome {
            AttemptOutcome::Answer(answer) => self.answered(answer, body),
            AttemptOutcome::Refused(refusal) => self.refused(&refusal, body),
            AttemptOutcome::NotSent(cause) => {
                let refusal = Refusal::not_run(Reason::NoTarget).detail(cause);
                if self.may_hand_over(wire::Cause::Down, body) {
                    self.last_refusal = Some(refusal);
                    return Next::HandOver;
                }
                self.retry_or_refuse(Cause::NotRun, refusal, body.sendable())
            }
            AttemptOutcome::Withdrawn(refusal) => Next::Refuse(self.with_earlier_attempts(refusal)),
            AttemptOutcome::Lost(cause) => self.lost(cause, body),
            AttemptOutcome::LinkBroken(cause) => {
                self.link_broke = true;
                self.lost(cause, body)
            }
            AttemptOutcome::TimedOut => {
                let detail = "the deadline came while the request may be running";
                Next::Refuse(Refusal::unknown(Reason::Deadline).detail(detail))
            }
        }
    }

    fn lost(&mut self, cause: String, body: &RequestBody) -> Next {
        self.may_have_run = true;
        let refusal = Refusal::unknown(Reason::Lost).detail(cause);
        let again = self.job.repeatable() && body.replayable();
        self.retry_or_refuse(Cause::Failed, refusal, again)
    }

    fn answered(&mut self, answer: Answer, body: &RequestBody) -> Next {
        let reply = &answer.reply;
        self.job
            .budget
            .settle(kind_of_status(reply.status), Some(reply.allowance));
        let again = RETRYABLE_STATUSES.contains(&reply.status)
            && self.job.repeatable()
            && body.replayable()
            && self.may_retry(Cause::Failed);
        if again {
            self.may_have_run = true;
            return Next::Retry;
        }
        Next::Answer(answer)
    }

    fn refused(&mut self, refusal: &wire::Refusal, body: &RequestBody) -> Next {
        self.job.budget.settle(Kind::Refused, None);
        let mut answer = Refusal::not_run(reason_of(refusal.cause))
            .detail(format!("the gate refused: {}", refusal.cause));
        let retry_after = match refusal.cause {
            _ if !refusal.retry_after.is_zero() => Some(refusal.retry_after),
            wire::Cause::Declined => Some(DECLINED_RETRY_AFTER),
            wire::Cause::Evacuated => Some(NO_TARGET_RETRY_AFTER),
            _ => None,
        };
        if let Some(retry_after) = retry_after {
            answer = answer.retry_after(retry_after);
        }
        if self.may_hand_over(refusal.cause, body) {
            self.last_refusal = Some(answer);
            return Next::HandOver;
        }
        // A request that is suspected of crashing targets must not reach another one.
        let again = body.sendable()
            && refusal.cause != wire::Cause::Suspect
            && self.has_room_elsewhere(refusal.cause);
        // A declined request has reached a target, so another attempt is charged as a full retry
        // although the request has not run.
        let cause = match refusal.cause {
            wire::Cause::Declined => Cause::Failed,
            _ => Cause::NotRun,
        };
        self.retry_or_refuse(cause, answer, again)
    }

    /// Whether the request may be handed over to another gate without charging the retry budget.
    fn may_hand_over(&self, cause: wire::Cause, body: &RequestBody) -> bool {
        let reached = matches!(cause, wire::Cause::Declined | wire::Cause::Suspect);
        let max_handovers = self.job.entry.setting.max_handovers.unwrap_or(0);
        let time = Instant::now() < self.job.deadline;
        !reached && time && self.handovers < max_handovers && body.sendable()
    }

    fn retry_or_refuse(&mut self, cause: Cause, refusal: Refusal, again: bool) -> Next {
        if again && self.may_retry(cause) {
            self.last_refusal = Some(refusal);
            return Next::Retry;
        }
        Next::Refuse(self.with_earlier_attempts(refusal))
    }

    fn may_retry(&mut self, cause: Cause) -> bool {
        let time = Instant::now() < self.job.deadline;
        let attempts = self.job.route.attempts;
        let left = match attempts {
            Some(attempts) => self.sent < attempts,
            None => self.retries_left > 0,
        };
        time && left && self.job.budget.ask(&self.job.upstream, cause)
    }

    /// Whether another target may have room, if `cause` is a lack of capacity. If all others are
    /// hot, a retry would most likely be refused too and would add load where there is too much
    /// already.
    fn has_room_elsewhere(&self, cause: wire::Cause) -> bool {
        let crowded = matches!(
            cause,
            wire::Cause::Full | wire::Cause::Deadline | wire::Cause::Shed | wire::Cause::Throttled
        );
        let need = self.need(&self.tried);
        !crowded
            || self
                .job
                .upstream
                .pick
                .has_available_target(Instant::now(), &need)
    }

    fn no_target_left(&mut self) -> Refusal {
        let service = &self.job.service;
        let (reason, cause) = match self.job.upstream.pick.is_evacuated() {
            true => (Reason::Evacuated, "every zone with a target is evacuated"),
            false => (Reason::NoTarget, "no target may be chosen"),
        };
        let none = || {
            Refusal::not_run(reason)
                .detail(format!("{service}: {cause}"))
                .retry_after(NO_TARGET_RETRY_AFTER)
        };
        let refusal = self.last_refusal.take().unwrap_or_else(none);
        self.with_earlier_attempts(refusal)
    }

    /// Changes the outcome of `refusal` to unknown if an earlier attempt may have run.
    fn with_earlier_attempts(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run || refusal.outcome() == Outcome::Unknown {
            return refusal;
        }
        let reason = refusal.reason();
        Refusal::unknown(reason).detail("an earlier try may have run")
    }
}

impl AttemptOutcome {
    /// Whether the request has run, or may have.
    fn may_have_run(&self) -> bool {
        !matches!(
            self,
            AttemptOutcome::Refused(_) | AttemptOutcome::NotSent(_) | AttemptOutcome::Withdrawn(_)
        )
    }

    /// Whether the request has reached a target, or may have.
    fn reached(&self) -> bool {
        match self {
            AttemptOutcome::Refused(refusal) => refusal.cause == wire::Cause::Declined,
            AttemptOutcome::NotSent(_) | AttemptOutcome::Withdrawn(_) => false,
            AttemptOutcome::Answer(_)
            | AttemptOutcome::Lost(_)
            | AttemptOutcome::LinkBroken(_)
            | AttemptOutcome::TimedOut => true,
        }
    }
}

fn reason_of(cause: wire::Cause) -> Reason {
    match cause {
        wire::Cause::Deadline => Reason::Deadline,
        wire::Cause::Suspect => Reason::Suspect,
        wire::Cause::Evacuated => Reason::Evacuated,
        wire::Cause::Down | wire::Cause::Leaving | wire::Cause::Misdirected => Reason::NoTarget,
        wire::Cause::Full
        | wire::Cause::Fenced
        | wire::Cause::Duplicate
        | wire::Cause::Declined
        | wire::Cause::Shed
        | wire::Cause::Throttled => Reason::Full,
    }
}
