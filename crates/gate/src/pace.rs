//! How long work takes at the target at each moment, as it tells, against how long it usually takes.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::turns::Turns;

/// The pace of a target whose work takes as long as usual, in hundredths.
pub(crate) const USUAL: u16 = 100;

/// How many times as long as usual work takes at `pace`; a target that doesn't tell works at the usual one.
pub(crate) fn factor(pace: u16) -> f64 {
    f64::from(pace.max(USUAL)) / f64::from(USUAL)
}

/// Work that takes so many times longer than it lately did at its quickest makes a slow spell.
const SLOW: u16 = 2;

/// The least of what was told in this time is the pace that the target has between spells. Some dozen
/// spells fit in; a target that was slow for all of it has become so.
const WINDOW: Duration = Duration::from_secs(10);

/// The pace at most of a target that has just started, in hundredths, outside spells. What it tells first
/// may be a spell: taken for its usual pace, runs began that took ten times as long as they usually do.
const COLD: u16 = 250;

/// What the target has told of its pace.
#[derive(Debug)]
pub(crate) struct Pace {
    /// In hundredths of the usual time; 0 where the target doesn't tell.
    told: u16,
    /// The paces told in the window, each with the least that came behind it.
    least: VecDeque<Word>,
    /// Since when it has been slow.
    slow_since: Option<Instant>,
    turns: Turns,
    /// It used to tell its pace, and has told none since it started anew.
    is_owed: bool,
}

/// A pace that was in force for a time.
#[derive(Debug, Clone, Copy)]
struct Word {
    pace: u16,
    /// When the next was told.
    until: Option<Instant>,
}

impl Default for Pace {
    /// A target that has told nothing is taken for one at the usual pace.
    fn default() -> Pace {
        Pace {
            told: 0,
            least: VecDeque::from([Word {
                pace: USUAL,
                until: None,
            }]),
            slow_since: None,
            turns: Turns::default(),
            is_owed: false,
        }
    }
}

impl Pace {
    /// The target is cold. What it tells next is as quick as it can be for now, unless it is far slower
    /// than cold targets are.
    pub(crate) fn chill(&mut self) {
        self.is_owed = self.told > 0;
        self.told = 0;
        self.slow_since = None;
        self.least = VecDeque::from([Word {
            pace: COLD,
            until: None,
        }]);
    }

    /// Takes in what the target tells; true if it has turned slow.
    pub(crate) fn tell(&mut self, now: Instant, pace: u16) -> bool {
        if let Some(last) = self.least.back_mut() {
            last.until.get_or_insert(now);
        }
        self.least
            .retain(|word| word.pace < pace && word.lasts_to(now));
        self.least.push_back(Word { pace, until: None });
        self.told = pace;
        self.is_owed = false;
        let slow = self.is_slow(now);
        self.turns.note(now, slow, self.slowdown(now));
        let turned = slow && self.slow_since.is_none();
        self.slow_since = slow.then(|| self.slow_since.unwrap_or(now));
        turned
    }

    /// As told, in hundredths of the usual time; 0 where the target doesn't tell.
    pub(crate) fn told(&self) -> u16 {
        self.told
    }

    /// The pace that the target has between spells, in hundredths of the usual time.
    fn base(&self, now: Instant) -> u16 {
        let least = self.least.iter().find(|word| word.lasts_to(now));
        least.map_or(USUAL, |word| word.pace.max(1))
    }

    /// Whether work takes much longer than it lately did.
    pub(crate) fn is_slow(&self, now: Instant) -> bool {
        self.is_slow_at(now, self.told)
    }

    /// Whether work takes much longer at `pace` than it lately did.
    pub(crate) fn is_slow_at(&self, now: Instant, pace: u16) -> bool {
        pace >= self.base(now).saturating_mul(SLOW)
    }

    /// Whether the slowness is a spell that is worth waiting out. Work that waited for the end of one
    /// that lasts much longer than others would wait until its deadline.
    pub(crate) fn is_in_spell(&self, now: Instant) -> bool {
        self.is_slow(now) && self.spell_ends().is_some_and(|end| now < end)
    }

    /// When a spell is not waited for any longer.
    pub(crate) fn spell_ends(&self) -> Option<Instant> {
        self.slow_since
            .map(|since| since + self.turns.longest_spell())
    }

    /// How much longer a spell may be expected to last.
    pub(crate) fn spell_left(&self) -> Duration {
        self.turns.spell_left()
    }

    /// How many times longer than between spells work takes now.
    pub(crate) fn slowdown(&self, now: Instant) -> f64 {
        (f64::from(self.told) / f64::from(self.base(now))).max(1.0)
    }

    /// A time at the usual pace, as it is at the target's pace between spells.
    pub(crate) fn between_spells(&self, now: Instant, usual: Duration) -> Duration {
        usual.mul_f64(f64::from(self.base(now)) / f64::from(USUAL))
    }

    /// See [`Turns::expected_loss`].
    pub(crate) fn expected_loss(&self, now: Instant, run: Duration) -> Duration {
        match self.told {
            0 if self.is_owed => run,
            0 => Duration::ZERO,
            _ => self.turns.expected_loss(now, run),
        }
    }
}

impl Word {
    /// Whether it was in force within the window before `now`.
    fn lasts_to(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until + WINDOW)
    }
}
