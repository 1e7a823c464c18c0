//! The tries of one request: the first, and what the budgets allow behind it.

mod copy;

use std::time::Duration;

use pick::retry::Cause;
use pick::{Guard, Kind, Need};
use tokio::time::Instant;
use unit::{Instance, Outcome};

use crate::answer::Answer;
use crate::attempt::{Attempt, Tried, kind, token};
use crate::intake::Intake;
use crate::job::Job;
use crate::{Reason, Refusal};

/// Statuses by which a target says that it has failed or could not serve now; another one may.
const UNAVAILABLE: [u16; 4] = [500, 502, 503, 504];

/// What to do behind a try.
enum Next {
    /// Give this to the caller.
    Answer(Answer),
    /// Tell the caller this.
    Refuse(Refusal),
    /// Try another target.
    Again,
    /// Ask another gate; the request has reached no target, and no budget pays.
    Elsewhere,
}

/// The tries of one request.
pub(crate) struct Tries<'a> {
    job: &'a mut Job,
    tried: Vec<Instance>,
    left: u32,
    /// Some try may have run, so that the end can't be "not run".
    may_have_run: bool,
    /// A link broke under a try, so that its instance may be asked again if no other is left.
    broken: bool,
    /// The last gate that refused, for the answer when no other is left.
    refused: Option<Refusal>,
    /// Gates that have refused.
    handed: u32,
    /// Targets that were sent the request.
    sent: u32,
}

impl<'a> Tries<'a> {
    pub(crate) fn new(job: &'a mut Job) -> Tries<'a> {
        let left = job.route.retries;
        Tries {
            job,
            tried: Vec::new(),
            left,
            may_have_run: false,
            broken: false,
            refused: None,
            handed: 0,
            sent: 0,
        }
    }

    /// Tries until there is an answer, or nothing more may be tried.
    ///
    /// # Errors
    ///
    /// The refusal for the caller. It comes at once when the request is given up, and never later
    /// for the sake of a caller that might ask again.
    pub(crate) async fn run(mut self, intake: &mut Intake) -> Result<Answer, Refusal> {
        let began = Instant::now();
        let ended = self.try_on(intake).await;
        let stats = self.job.entry.stats();
        stats.ended(began.elapsed(), self.handed, self.sent);
        if ended.is_err() && self.sent == 0 {
            stats.refused(began.elapsed());
        }
        let (status, reason) = match &ended {
            Ok(answer) => (answer.reply.status, "answered".to_string()),
            Err(refusal) => (refusal.status_code(), refusal.reason().to_string()),
        };
        let job = &self.job;
        let last = self.tried.last().map_or("none", Instance::as_str);
        log::info!(
            "entry: id={} service={} class={} status={status} reason={reason} sent={} refused={} \
             again={} last={last} took_ms={} left_ms={}.",
            job.id,
            job.service,
            job.class,
            self.sent,
            self.handed,
            job.again,
            began.elapsed().as_millis(),
            job.deadline
                .saturating_duration_since(Instant::now())
                .as_millis(),
        );
        ended
    }

    async fn try_on(&mut self, intake: &mut Intake) -> Result<Answer, Refusal> {
        self.job.upstream.first(Instant::now());
        loop {
            let Some(guard) = self.choose() else {
                return Err(self.no_target());
            };
            let tried = self.attempt(guard, intake).await;
            self.sent += u32::from(tried.reached());
            match self.next(tried, intake) {
                Next::Answer(answer) => return Ok(answer),
                Next::Refuse(refusal) => return Err(refusal),
                Next::Again => self.left = self.left.saturating_sub(1),
                Next::Elsewhere => self.handed += 1,
            }
        }
    }

    fn choose(&mut self) -> Option<Guard> {
        let guard = self.take(&self.tried);
        let guard = guard.or_else(|| self.broken.then(|| self.take(&[])).flatten())?;
        self.tried.push(guard.instance().clone());
        self.job.entry.stats().chose(guard.basis());
        Some(guard)
    }

    fn take(&self, exclude: &[Instance]) -> Option<Guard> {
        let need = self.need(exclude);
        self.job.upstream.pick.take(Instant::now(), &need)
    }

    fn need<'e>(&self, exclude: &'e [Instance]) -> Need<'e> {
        Need {
            urgency: self.job.urgency,
            zone: self.job.zone(),
            exclude,
        }
    }

    fn make(&mut self, intake: &Intake) -> Attempt {
        let elsewhere = self.may_go_elsewhere(intake);
        let call = self.job.call(token(), intake.payload(), elsewhere);
        Attempt {
            entry: self.job.entry.clone(),
            upstream: self.job.upstream.clone(),
            call,
            deadline: self.job.deadline,
        }
    }

    /// Whether the gate that is asked now may hand the request back for the sake of a quick target.
    fn may_go_elsewhere(&self, intake: &Intake) -> bool {
        let most = self.job.entry.setting.max_handovers.unwrap_or(0);
        let need = self.need(&self.tried);
        let pick = &self.job.upstream.pick;
        self.handed + 1 < most && intake.sendable() && pick.has_quick(Instant::now(), &need)
    }

    fn next(&mut self, tried: Tried, intake: &Intake) -> Next {
        match tried {
            Tried::Answer(answer) => self.answered(answer, intake),
            Tried::Refused(refusal) => self.refused(&refusal, intake),
            Tried::NotSent(cause) => {
                let refusal = Refusal::not_run(Reason::NoTarget).detail(cause);
                if self.may_hand_over(wire::Cause::Down, intake) {
                    self.refused = Some(refusal);
                    return Next::Elsewhere;
                }
                self.again_or(Cause::NotRun, refusal, intake.sendable())
            }
            Tried::Lost(cause) => self.lost(cause, intake),
            Tried::Broken(cause) => {
                self.broken = true;
                self.lost(cause, intake)
            }
            Tried::Late => {
                let detail = "the deadline came while the request may be running";
                Next::Refuse(Refusal::unknown(Reason::Deadline).detail(detail))
            }
        }
    }

    fn lost(&mut self, cause: String, intake: &Intake) -> Next {
        self.may_have_run = true;
        let refusal = Refusal::unknown(Reason::Lost).detail(cause);
        let again = self.job.repeatable() && intake.replayable();
        self.again_or(Cause::Failed, refusal, again)
    }

    fn answered(&mut self, answer: Answer, intake: &Intake) -> Next {
        let reply = &answer.reply;
        self.job
            .budget
            .settle(kind(reply.status), Some(reply.allowance));
        let again = UNAVAILABLE.contains(&reply.status)
            && self.job.repeatable()
            && intake.replayable()
            && self.may_try_again(Cause::Failed);
        if again {
            self.may_have_run = true;
            return Next::Again;
        }
        Next::Answer(answer)
    }

    fn refused(&mut self, refusal: &wire::Refusal, intake: &Intake) -> Next {
        self.job.budget.settle(Kind::Refused, None);
        let mut answer = Refusal::not_run(reason(refusal.cause))
            .detail(format!("the gate refused: {}", refusal.cause));
        if !refusal.retry_after.is_zero() {
            answer = answer.retry_after(refusal.retry_after);
        }
        if self.may_hand_over(refusal.cause, intake) {
            self.refused = Some(answer);
            return Next::Elsewhere;
        }
        // No other target may have a request that crashes targets.
        let again = intake.sendable()
            && refusal.cause != wire::Cause::Suspect
            && self.room_elsewhere(refusal.cause);
        // One that has reached a target counts there as a repeat, though it has not run.
        let cause = match refusal.cause {
            wire::Cause::Declined => Cause::Failed,
            _ => Cause::NotRun,
        };
        self.again_or(cause, answer, again)
    }

    /// Whether another gate may be asked for nothing.
    fn may_hand_over(&self, cause: wire::Cause, intake: &Intake) -> bool {
        let reached = matches!(cause, wire::Cause::Declined | wire::Cause::Suspect);
        let most = self.job.entry.setting.max_handovers.unwrap_or(0);
        let time = Instant::now() < self.job.deadline;
        !reached && time && self.handed < most && intake.sendable()
    }

    fn again_or(&mut self, cause: Cause, refusal: Refusal, again: bool) -> Next {
        if again && self.may_try_again(cause) {
            self.refused = Some(refusal);
            return Next::Again;
        }
        Next::Refuse(self.honest(refusal))
    }

    fn may_try_again(&mut self, cause: Cause) -> bool {
        let time = Instant::now() < self.job.deadline;
        let attempts = self.job.route.attempts;
        let left = match attempts {
            Some(attempts) => self.sent < attempts,
            None => self.left > 0,
        };
        time && left && self.job.budget.ask(&self.job.upstream, cause)
    }

    /// Whether a refusal for want of room is worth a hand-over. When all others are hot it would be
    /// one more refusal, and more load just where there is too much.
    fn room_elsewhere(&self, cause: wire::Cause) -> bool {
        let crowded = matches!(
            cause,
            wire::Cause::Full | wire::Cause::Deadline | wire::Cause::Shed
        );
        let need = self.need(&self.tried);
        !crowded || self.job.upstream.pick.has_room(Instant::now(), &need)
    }

    fn no_target(&mut self) -> Refusal {
        let service = &self.job.service;
        let none = || {
            Refusal::not_run(Reason::NoTarget)
                .detail(format!("no target of {service} may be chosen"))
                .retry_after(Duration::from_secs(1))
        };
        let refusal = self.refused.take().unwrap_or_else(none);
        self.honest(refusal)
    }

    /// "Not run" is said only when no try may have run.
    fn honest(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run || refusal.outcome() == Outcome::Unknown {
            return refusal;
        }
        let reason = refusal.reason();
        Refusal::unknown(reason).detail("an earlier try may have run")
    }
}

impl Tried {
    /// Whether the request has reached a target, or may have.
    fn reached(&self) -> bool {
        match self {
            Tried::Refused(refusal) => refusal.cause == wire::Cause::Declined,
            Tried::NotSent(_) => false,
            Tried::Answer(_) | Tried::Lost(_) | Tried::Broken(_) | Tried::Late => true,
        }
    }
}

fn reason(cause: wire::Cause) -> Reason {
    match cause {
        wire::Cause::Deadline => Reason::Deadline,
        wire::Cause::Suspect => Reason::Suspect,
        wire::Cause::Down | wire::Cause::Leaving | wire::Cause::Misdirected => Reason::NoTarget,
        wire::Cause::Full
        | wire::Cause::Fenced
        | wire::Cause::Duplicate
        | wire::Cause::Declined
        | wire::Cause::Shed => Reason::Full,
    }
}
