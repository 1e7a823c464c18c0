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
use crate::shell::Mark;

/// The pace of a target whose work takes as long as usual, in hundredths.
pub(crate) const USUAL_PACE: u16 = 100;

/// The pace from which the target counts as slow.
const SLOW: u16 = 200;

/// A target that is slow for longer than this is in no spell: one in fifty lasts so long.
const SPELL_MOST: Duration = Duration::from_millis(600);

/// How much longer a spell may be expected to last. Spells end by chance, on average after 150 ms,
/// however long they have lasted; some of the wait is over when the target is asked.
const SPELL_LEFT: Duration = Duration::from_millis(100);

impl Core {
    /// Whether work takes much longer than usual at the target at this moment.
    pub(crate) fn is_slow(&self) -> bool {
        self.pace >= SLOW
    }

    /// Whether the slowness is a spell that is worth waiting out. A target that stays slow for longer
    /// has become so, and work that waited for its end would wait for ever.
    pub(crate) fn is_in_spell(&self, now: Instant) -> bool {
        self.spell_ends().is_some_and(|end| now < end)
    }

    /// When a spell is taken for the target's new pace.
    pub(crate) fn spell_ends(&self) -> Option<Instant> {
        let since = self.slow_since.filter(|_| self.is_slow());
        since.map(|since| since + SPELL_MOST)
    }

    /// What entries should hear of at once.
    pub(crate) fn mark(&self) -> Mark {
        Mark {
            closed: self.down || self.leaving,
            slow: self.is_slow(),
        }
    }

    /// Time that a request takes from the moment at which it has a slot: its run, and the rest of a
    /// spell if that is the sooner way.
    pub(crate) fn run_time(&self, now: Instant, request: &Request) -> Duration {
        let run = self.latency.expected_of(now, request);
        match (self.is_slow(), self.is_in_spell(now)) {
            (false, _) => run,
            (true, true) => self.slowed(run).min(run + SPELL_LEFT),
            (true, false) => self.slowed(run),
        }
    }

    /// Whether a request is worth starting now. In a spell it is if its run ends sooner than one
    /// that waits for the end of the spell.
    pub(crate) fn is_worth_starting(&self, now: Instant, request: &Request) -> bool {
        if !self.is_in_spell(now) {
            return true;
        }
        let run = self.latency.expected_of(now, request);
        self.slowed(run) <= run + SPELL_LEFT
    }

    /// Refuses what waits for a goal that it would miss behind the spell that has just begun: it has
    /// not run, and another target may be quick.
    pub(crate) fn hand_back(&mut self, now: Instant) {
        let misses = |request: &Request| {
            let waits = !request.nested && !self.is_worth_starting(now, request);
            let run = self.latency.expected_of(now, request);
            waits
                && request
                    .goal
                    .is_some_and(|goal| now + SPELL_LEFT + run > goal)
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
            false => SPELL_LEFT,
        }
    }

    fn slowed(&self, run: Duration) -> Duration {
        run.mul_f64(f64::from(self.pace) / f64::from(USUAL_PACE))
    }
}
