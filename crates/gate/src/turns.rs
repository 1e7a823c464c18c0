//! How often the target turns slow and for how long, and what a start on old news is likely to cost.

use std::time::Duration;

use tokio::time::Instant;

/// A target of which little is known counts as one that turns slow once in so many seconds.
const RATE_PRIOR: f64 = 1.0;

/// Quick time, in seconds, after which what was seen counts half. A few dozen spells of a tenth of a
/// second fit in, so that the mean is sound, and a target that changes is known within some seconds.
const MEMORY: f64 = 10.0;

/// Weight of the newest spell in the mean of how slow spells are.
const FACTOR_STEP: f64 = 0.2;

/// How many times longer work takes in a spell, before one was seen.
const FACTOR_PRIOR: f64 = 2.0;

/// How long a spell lasts, in seconds, before one has ended. It counts as much as one that was seen.
const SPELL_PRIOR: f64 = 0.15;

/// A spell counts for so many mean spells at most: a target that has become slow for seconds says
/// nothing of how long spells last.
const SPELL_CAP: f64 = 4.0;

/// A spell that has lasted for so many mean spells is not waited for any longer. Of spells that end by
/// chance one in fifty lasts so long.
const LONGEST: f64 = 4.0;

/// The part of a mean spell that is left when one is told of. Spells end by chance, however long they
/// have lasted, and some of the wait is over when the target has been asked.
const LEFT: f64 = 2.0 / 3.0;

/// The turns of one target between quick and slow, as it has told of them.
#[derive(Debug)]
pub(crate) struct Turns {
    /// Seconds in which it was quick.
    quick: f64,
    /// How often it turned slow in that time.
    turns: f64,
    /// How many times longer work takes in a spell, on average.
    factor: f64,
    /// Spells that have ended, and how long they were in sum.
    ended: f64,
    slow: f64,
    last: Option<Word>,
    slow_since: Option<Instant>,
}

/// What the target told last.
#[derive(Debug, Clone, Copy)]
struct Word {
    at: Instant,
    slow: bool,
}

impl Default for Turns {
    fn default() -> Turns {
        Turns {
            quick: 0.0,
            turns: 0.0,
            factor: FACTOR_PRIOR,
            ended: 0.0,
            slow: 0.0,
            last: None,
            slow_since: None,
        }
    }
}

impl Turns {
    /// The target tells that work takes `factor` times as long as it usually does there.
    pub(crate) fn note(&mut self, now: Instant, slow: bool, factor: f64) {
        if let Some(last) = self.last.filter(|last| !last.slow) {
            self.quick += now.saturating_duration_since(last.at).as_secs_f64();
            if slow {
                self.turns += 1.0;
                self.factor += (factor - self.factor) * FACTOR_STEP;
            }
        }
        match (slow, self.slow_since) {
            (true, None) => self.slow_since = Some(now),
            (false, Some(since)) => {
                self.slow_since = None;
                let length = now.saturating_duration_since(since).as_secs_f64();
                self.slow += length.min(self.mean_spell() * SPELL_CAP);
                self.ended += 1.0;
            }
            _ => {}
        }
        if self.quick > MEMORY {
            self.quick /= 2.0;
            self.turns /= 2.0;
            self.slow /= 2.0;
            self.ended /= 2.0;
        }
        self.last = Some(Word { at: now, slow });
    }

    fn mean_spell(&self) -> f64 {
        (self.slow + SPELL_PRIOR) / (self.ended + 1.0)
    }

    /// How much longer a spell may be expected to last.
    pub(crate) fn spell_left(&self) -> Duration {
        Duration::from_secs_f64(self.mean_spell() * LEFT)
    }

    /// How long a spell is waited out at most.
    pub(crate) fn longest_spell(&self) -> Duration {
        Duration::from_secs_f64(self.mean_spell() * LONGEST)
    }

    /// The time that a run of `run` is likely to lose if it starts on what was told last: the chance
    /// that the target has turned slow since, times what a start in a spell costs.
    pub(crate) fn expected_loss(&self, now: Instant, run: Duration) -> Duration {
        let Some(last) = self.last.filter(|last| !last.slow) else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(last.at).as_secs_f64();
        let rate = (self.turns + 1.0) / (self.quick + RATE_PRIOR);
        let chance = 1.0 - (-rate * age).exp();
        run.mul_f64(chance * (self.factor - 1.0).max(0.0))
    }
}
