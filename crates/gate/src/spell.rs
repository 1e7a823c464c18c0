//! Slow spells of the target, and what is worth starting in one.
//!
//! Targets share their machines with others, and tell how long work takes on them at each moment.
//! A run takes its time from the moment of its start: in a spell of five times the usual, a slot is
//! taken for five times as long, while the spell itself is over after some 150 ms. So work waits
//! for the end of the spell, or goes elsewhere, unless it is so short that it ends before.

use std::time::Duration;

use tokio::time::Instant;
use unit::Cause;

use crate::core::Core;
use crate::request::{Id, Request};
use crate::shell::Condition;
use crate::verdict::Verdict;

/// More than a request loses by being handed to another gate: a round trip and the waking of two daemons
/// with a fifth of a core each. Four hand-overs in a row took 5 ms in the middle of 7,850 refusals.
const HAND_OVER: Duration = Duration::from_millis(5);

/// The expected loss from which the target is asked for its pace before a start. A question costs the
/// request 0.3 ms in the middle of 1,756, 1.4 ms at p99, and the target a look at its health, which its
/// owners pay for; so this is well above the former.
const WORD: Duration = Duration::from_millis(5);

/// Why a request that has a slot does not start in it after all.
enum Reversal {
    /// It does not run here.
    Refuse(Cause),
    /// It waits for the end of a spell.
    WaitAgain,
}

impl Core {
    /// What entries should hear of at once.
    pub(crate) fn condition(&self, now: Instant) -> Condition {
        Condition {
            closed: self.down || self.leaving,
            slow: self.pace.is_slow(now),
        }
    }

    /// Time that a request takes from the moment at which it has a slot: its run, and the rest of a
    /// spell if that is the sooner way.
    pub(crate) fn run_time(&self, now: Instant, request: &Request) -> Duration {
        let run = self.run_between_spells(now, request);
        match (self.pace.is_slow(now), self.pace.is_in_spell(now)) {
            (false, _) => run,
            (true, true) => self.slowed(now, run).min(run + self.pace.spell_left()),
            (true, false) => self.slowed(now, run),
        }
    }

    /// Time that a request runs if it starts in no spell.
    pub(crate) fn run_between_spells(&self, now: Instant, request: &Request) -> Duration {
        let usual = self.latency.expected_of(now, request);
        self.pace.between_spells(now, usual)
    }

    /// Whether a request is worth starting now. In a spell it is if its run ends sooner than one
    /// that waits for the end of the spell.
    pub(crate) fn is_worth_starting(&self, now: Instant, request: &Request) -> bool {
        let run = self.run_between_spells(now, request);
        !self.pace.is_in_spell(now) || self.slowed(now, run) <= run + self.pace.spell_left()
    }

    /// Whether a request had better run at the target that its entry knows to be quick.
    ///
    /// Hand-overs cost a few milliseconds and no target anything, while a look-up of 15 ms that starts
    /// in a spell of seven times the usual holds up its caller for 90 ms more.
    pub(crate) fn is_better_elsewhere(&self, now: Instant, request: &Request) -> bool {
        if !request.elsewhere || !self.pace.is_slow(now) {
            return false;
        }
        let run = self.run_between_spells(now, request);
        let longer = self.slowed(now, run).saturating_sub(run);
        longer.min(self.pace.spell_left()) > HAND_OVER
    }

    /// Whether a request that holds a slot should not start before the target has told its pace anew.
    pub fn needs_pace_probe(&self, now: Instant, id: Id) -> bool {
        let Some(held) = self.held.get(&id) else {
            return false;
        };
        let run = self.run_between_spells(now, &held.request);
        !self.quarantine.is_alone(now, id) && self.pace.expected_loss(now, run) > WORD
    }

    /// Looks once more at a request that holds a slot and is about to start, as what is known of the
    /// target may have changed since it got the slot: it starts, waits again, or does not run here.
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
        if self.quarantine.is_alone(now, id) {
            return None;
        }
        if self.is_better_elsewhere(now, request) {
            return Some(Reversal::Refuse(Cause::Full));
        }
        if request.nested || self.is_worth_starting(now, request) {
            return None;
        }
        match self.misses_behind_spell(now, request) {
            true => Some(Reversal::Refuse(Cause::Full)),
            false => Some(Reversal::WaitAgain),
        }
    }

    /// Whether a request would miss its goal if it waited for the end of a spell that has just begun.
    fn misses_behind_spell(&self, now: Instant, request: &Request) -> bool {
        let run = self.run_between_spells(now, request);
        request
            .goal
            .is_some_and(|goal| now + self.pace.spell_left() + run > goal)
    }

    /// Refuses what waits for a goal that it would miss behind the spell that has just begun, or whose
    /// entry knows of a quick target: it has not run.
    pub(crate) fn hand_back(&mut self, now: Instant) {
        let misses = |request: &Request| {
            let waits = !request.nested && !self.is_worth_starting(now, request);
            self.is_better_elsewhere(now, request)
                || waits && self.misses_behind_spell(now, request)
        };
        let missing = self.waiting.iter().filter(|(_, request)| misses(request));
        let ids: Vec<Id> = missing.map(|(id, _)| *id).collect();
        for id in ids {
            self.refuse_waiting(now, id, Cause::Full);
        }
    }

    /// The wait that a spell adds for a request that is not worth starting in it.
    pub(crate) fn spell_left(&self, now: Instant, request: &Request) -> Duration {
        match self.is_worth_starting(now, request) {
            true => Duration::ZERO,
            false => self.pace.spell_left(),
        }
    }

    fn slowed(&self, now: Instant, run: Duration) -> Duration {
        run.mul_f64(self.pace.slowdown(now))
    }
}
