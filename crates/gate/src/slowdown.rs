//! Temporary slowdowns of the target, and which requests are worth starting during one.
//!
//! Targets share machines with other processes and report their present pace. A run takes its speed
//! from the moment at which it starts: during a slowdown of factor five it holds its slot five
//! times as long, while the slowdown itself lasts about 150 ms. Requests therefore wait for the end
//! of the slowdown or go to another target, unless they are short enough to finish before it ends.

use std::time::Duration;

use tokio::time::Instant;
use unit::Cause;

use crate::core::Core;
use crate::request::{Id, Request};
use crate::shell::Condition;
use crate::verdict::Verdict;

/// Upper bound of the cost of a handover to another gate: a round trip and the wake-up of two
/// daemons with a fifth of a core each. Four handovers in a row took 5 ms at the median of 7,850
/// refusals.
const HANDOVER_COST: Duration = Duration::from_millis(5);

/// Expected loss from which the target is probed for its pace before a start. A probe costs the
/// request 0.3 ms at the median of 1,756 and 1.4 ms at p99, and costs the target a health check, so
/// this is well above the probe's latency.
const PROBE_THRESHOLD: Duration = Duration::from_millis(5);

/// Why a request that holds a slot does not start in it.
enum Reversal {
    /// The request is refused.
    Refuse(Cause),
    /// The request waits for the end of the slowdown.
    WaitAgain,
}

impl Core {
    /// The state that entries are notified of at once.
    pub(crate) fn condition(&self, now: Instant) -> Condition {
        Condition {
            closed: self.is_closed(),
            slow: self.pace.is_slow(now),
        }
    }

    /// Expected time from the moment a request gets a slot to its end: its run, after the end of a
    /// slowdown if that is sooner.
    pub(crate) fn run_time(&self, now: Instant, request: &Request) -> Duration {
        let run = self.run_between_slowdowns(now, request);
        match (self.pace.is_slow(now), self.pace.is_transiently_slow(now)) {
            (false, _) => run,
            (true, true) => self
                .slowed_run(now, run)
                .min(run + self.pace.slowdown_left()),
            (true, false) => self.slowed_run(now, run),
        }
    }

    /// Expected run time of a request that does not start during a slowdown.
    pub(crate) fn run_between_slowdowns(&self, now: Instant, request: &Request) -> Duration {
        let usual = self.latency.expected_of(now, request);
        self.pace.between_slowdowns(now, usual)
    }

    /// Whether a request is worth starting now. During a slowdown it is if it ends sooner than
    /// after waiting for the end of the slowdown.
    pub(crate) fn is_worth_starting(&self, now: Instant, request: &Request) -> bool {
        let run = self.run_between_slowdowns(now, request);
        !self.pace.is_transiently_slow(now)
            || self.slowed_run(now, run) <= run + self.pace.slowdown_left()
    }

    /// Whether a request should run at the other target that its entry knows to be quick.
    ///
    /// A handover costs a few milliseconds and no work at any target, while a look-up of 15 ms that
    /// starts in a slowdown of factor seven delays its caller by 90 ms.
    pub(crate) fn is_better_elsewhere(&self, now: Instant, request: &Request) -> bool {
        if !request.elsewhere || !self.pace.is_slow(now) {
            return false;
        }
        let run = self.run_between_slowdowns(now, request);
        let longer = self.slowed_run(now, run).saturating_sub(run);
        longer.min(self.pace.slowdown_left()) > HANDOVER_COST
    }

    /// Whether a request that holds a slot should wait for a fresh pace report before it starts.
    pub fn needs_pace_probe(&self, now: Instant, id: Id) -> bool {
        let Some(held) = self.held.get(&id) else {
            return false;
        };
        let run = self.run_between_slowdowns(now, &held.request);
        !self.quarantine.is_isolated(now, id) && self.pace.expected_loss(now, run) > PROBE_THRESHOLD
    }

    /// Checks again whether a request that holds a slot should start, since the state of the target
    /// may have changed since it got the slot. The request starts, waits again or is refused.
    pub fn reconsider(&mut self, now: Instant, id: Id) -> Verdict {
        let reversal = match self.held.get(&id) {
            Some(held) if !held.dispatched => self.reversal(now, id, &held.request),
            _ => None,
        };
        match reversal {
            None => Verdict::Start(id),
            Some(Reversal::Refuse(cause)) => match self.refuse(now, id, cause) {
                Some(refusal) => Verdict::Refuse(refusal),
                None => Verdict::Start(id),
            },
            Some(Reversal::WaitAgain) => {
                if let Some(held) = self.release(now, id) {
                    self.enqueue(now, id, held.request);
                    self.advance(now);
                }
                self.verdict(id)
            }
        }
    }

    fn reversal(&self, now: Instant, id: Id, request: &Request) -> Option<Reversal> {
        if self.leaving {
            return Some(Reversal::Refuse(Cause::Leaving));
        }
        if self.down {
            return Some(Reversal::Refuse(Cause::Down));
        }
        if self.quarantine.is_isolated(now, id) {
            return None;
        }
        if self.is_better_elsewhere(now, request) {
            return Some(Reversal::Refuse(Cause::Full));
        }
        if request.nested || self.is_worth_starting(now, request) {
            return None;
        }
        match self.misses_after_slowdown(now, request) {
            true => Some(Reversal::Refuse(Cause::Full)),
            false => Some(Reversal::WaitAgain),
        }
    }

    /// Whether a request would miss its goal if it waited for the end of a slowdown that has just
    /// started.
    fn misses_after_slowdown(&self, now: Instant, request: &Request) -> bool {
        let run = self.run_between_slowdowns(now, request);
        request
            .goal
            .is_some_and(|goal| now + self.pace.slowdown_left() + run > goal)
    }

    /// Refuses waiting requests that would miss their goal after a slowdown that has just started,
    /// and those whose entry knows a quick target. They have not run.
    pub(crate) fn refuse_delayed(&mut self, now: Instant) {
        let misses = |request: &Request| {
            let waits = !request.nested && !self.is_worth_starting(now, request);
            self.is_better_elsewhere(now, request)
                || waits && self.misses_after_slowdown(now, request)
        };
        let missing = self.waiting.iter().filter(|(_, request)| misses(request));
        let ids: Vec<Id> = missing.map(|(id, _)| *id).collect();
        for id in ids {
            self.refuse_waiting(now, id, Cause::Full);
        }
    }

    /// Additional wait for a request that is not worth starting during the slowdown; zero
    /// otherwise.
    pub(crate) fn slowdown_left(&self, now: Instant, request: &Request) -> Duration {
        match self.is_worth_starting(now, request) {
            true => Duration::ZERO,
            false => self.pace.slowdown_left(),
        }
    }

    fn slowed_run(&self, now: Instant, run: Duration) -> Duration {
        run.mul_f64(self.pace.slowdown_factor(now))
    }
}
