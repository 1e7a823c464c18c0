//! Finds how many requests a target runs at once before it slows down.
//!
//! Some targets take up to 1.7 times as long over what they start when most of their slots are in
//! use. Filled to the last slot they get less done than with some slots left free: of 11 slots, 11
//! runs at 1.65 times the time are 6.7 runs in the time of one, and 9 at the usual time are 9. How
//! long runs take by the number beside which they start tells where that is.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

/// Least weight of one run in the mean of its level; the first few count alike.
const ALPHA: f64 = 0.01;
/// Weight of one run in the drift.
const DRIFT_ALPHA: f64 = 0.1;
/// A target that takes so many times as long as it is known to is slow as a whole, which says
/// nothing of its levels.
const DRIFT: f64 = 1.5;
/// Runs after which a level is believed. The times of single runs differ by a third.
const TRUSTED: u32 = 24;
/// Another limit must get so much more done than the present one. What differs less differs by
/// chance.
const GAIN: f64 = 1.06;
/// Share of the slots up to which a target is taken to be as quick as it can be.
const QUIET: f64 = 0.6;
/// Share of the slots above which a target is taken to slow down before anything is known of it.
const NEARLY_FULL: f64 = 0.8;
/// How many times as long work is assumed to take above it, and for how many runs that counts. Between a
/// target that doesn't slow down and one that takes 1.7 times as long: with that the last slots are
/// not worth using, and some ten quick runs show that they are.
const ASSUMED: f64 = 1.4;
const ASSUMED_RUNS: f64 = 4.0;
/// A ratio beyond this counts for no more: one outlier must not shut slots.
const RATIO_CAP: f64 = 4.0;
/// What was found about slots that are kept free is forgotten after this long, and found anew.
const FORGET: Duration = Duration::from_secs(60);

/// What is known of runs that started beside so many others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
struct Level {
    /// Mean of their times over the usual time of such work.
    ratio: f64,
    count: u32,
}

impl Level {
    fn sum(&self) -> f64 {
        self.ratio * f64::from(self.count)
    }
}

/// The number of runs at which a target gets most done.
#[derive(Debug, Clone)]
pub(crate) struct Knee {
    levels: Vec<Level>,
    /// Mean of the last times over what their levels are known to take.
    drift: f64,
    best: usize,
    found: Instant,
}

impl Knee {
    pub(crate) fn new(now: Instant, slots: usize) -> Knee {
        Knee {
            levels: vec![Level::default(); slots],
            drift: 1.0,
            best: Knee::nearly_full(slots),
            found: now,
        }
    }

    /// The slots that are used before anything is known of the rest.
    ///
    /// A gate sees few runs a second where the fleet is large, and would run its target over the knee
    /// for a minute before it has found it: of the runs of a day at 195 targets a quarter to a third
    /// were started beside five others or six and took 1.65 times as long.
    ///
    /// Where a slot is a large part of all, as of two or six, it is worth using even if the target slows
    /// down as is assumed.
    fn nearly_full(slots: usize) -> usize {
        let first = ((slots as f64 * NEARLY_FULL) as usize).max(1);
        match first as f64 >= slots as f64 / ASSUMED {
            true => first,
            false => slots,
        }
    }

    /// Whether a run that started as the `among`th would tell what is not known.
    pub(crate) fn is_unknown(&self, among: usize) -> bool {
        let level = among.checked_sub(1).and_then(|at| self.levels.get(at));
        among > self.best && level.is_some_and(|level| level.count < TRUSTED)
    }

    /// How many times as long work takes above the first `first` slots, by what all runs there have told
    /// against what is assumed of them.
    fn above(&self, first: usize) -> f64 {
        let levels = &self.levels[first..];
        let runs: u32 = levels.iter().map(|level| level.count).sum();
        let told: f64 = levels.iter().map(Level::sum).sum();
        (ASSUMED * ASSUMED_RUNS + told) / (ASSUMED_RUNS + f64::from(runs))
    }

    /// The slots that are worth using.
    pub(crate) fn best(&self) -> usize {
        self.best
    }

    /// Whether a run that started as the `among`th tells the usual time of its work.
    pub(crate) fn is_quiet(&self, among: usize) -> bool {
        among as f64 <= (self.levels.len() as f64 * QUIET).max(1.0)
    }

    /// A run that started as the `among`th took `ratio` times the usual time of its work.
    pub(crate) fn sample(&mut self, now: Instant, among: usize, ratio: f64) {
        let Some(level) = among.checked_sub(1).and_then(|at| self.levels.get_mut(at)) else {
            return;
        };
        let known = match level.count >= TRUSTED {
            true => level.ratio.max(f64::MIN_POSITIVE),
            false => 1.0,
        };
        self.drift += ((ratio / known).min(RATIO_CAP) - self.drift) * DRIFT_ALPHA;
        let ratio = match self.drift > DRIFT {
            true => ratio / self.drift,
            false => ratio,
        };
        level.count = level.count.saturating_add(1);
        let weight = ALPHA.max(1.0 / f64::from(level.count));
        level.ratio += (ratio.min(RATIO_CAP) - level.ratio) * weight;
        self.forget(now);
        self.find(now);
    }

    fn forget(&mut self, now: Instant) {
        let all = self.best == self.levels.len();
        if all || now.saturating_duration_since(self.found) < FORGET {
            return;
        }
        for level in &mut self.levels[self.best..] {
            *level = Level::default();
        }
    }

    /// Finds the number of runs that gets most done. A level of which little is known counts as the
    /// next one below it, or as what all of the last ones together have shown against what is assumed
    /// of them.
    fn find(&mut self, now: Instant) {
        let mut best = self.best;
        let mut most = 0.0;
        let mut ratio: f64 = 1.0;
        let first = Knee::nearly_full(self.levels.len());
        let above = self.above(first);
        let mut done = Vec::with_capacity(self.levels.len());
        for (at, level) in self.levels.iter().enumerate() {
            if level.count >= TRUSTED {
                ratio = level.ratio.max(1.0);
            } else if at >= first {
                ratio = ratio.max(above);
            }
            done.push((at + 1) as f64 / ratio);
        }
        for (at, done) in done.iter().enumerate() {
            if *done > most {
                most = *done;
                best = at + 1;
            }
        }
        let present = done.get(self.best - 1).copied().unwrap_or(0.0);
        if most < present * GAIN {
            return;
        }
        if best != self.best {
            self.best = best;
            self.found = now;
        }
    }
}
