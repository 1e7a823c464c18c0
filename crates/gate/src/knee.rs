//! Finds the number of concurrent runs above which a target slows down.
//!
//! Some targets take up to 1.7 times as long for runs that start while most of their slots are in
//! use, so they complete less work with every slot filled than with some left free. With 11 slots,
//! 11 runs at 1.65 times the usual time complete as much as 6.7 runs at the usual time, while 9
//! runs at the usual time complete 9. Run times recorded by the number of concurrent runs at
//! dispatch show where that point is.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

/// Minimum weight of one run in the mean of its level; the first runs are weighted equally.
const LEVEL_ALPHA: f64 = 0.01;
/// Weight of one run in the drift.
const DRIFT_ALPHA: f64 = 0.1;
/// Drift above which the target counts as slow as a whole, which says nothing about its levels: new
/// ratios are then divided by the drift.
const DRIFT_LIMIT: f64 = 1.5;
/// Number of runs after which the mean of a level is used. Times of single runs differ by a third.
const TRUSTED_RUNS: u32 = 24;
/// Minimum ratio of the throughput of a new limit to the present one; smaller differences are
/// noise.
const MIN_GAIN: f64 = 1.06;
/// Share of the slots up to which the run time is assumed to be independent of the concurrency.
const UNCONTENDED_SHARE: f64 = 0.6;
/// Share of the slots above which a target is assumed to slow down until its runs show otherwise.
const INITIAL_SHARE: f64 = 0.8;
/// Assumed run time above [`INITIAL_SHARE`], relative to the usual one, and the number of runs that
/// the assumption is weighted as. The value lies between a target that does not slow down and one
/// that takes 1.7 times as long: with it, the last slots are not worth using, and about ten quick
/// runs show that they are.
const ASSUMED_RATIO: f64 = 1.6;
const ASSUMED_RUNS: f64 = 4.0;
/// Number of runs after which a level that completes less work than the best is no longer explored.
const DISCOURAGING_RUNS: u32 = 8;
/// Upper bound of a single ratio, so that one outlier does not close slots.
const RATIO_CAP: f64 = 4.0;
/// Time after which the measurements of unused slots are discarded and taken anew.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The runs recorded at one level of concurrency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
struct Level {
    /// Mean ratio of the run time to the usual time of such work.
    ratio: f64,
    count: u32,
}

impl Level {
    fn sum(&self) -> f64 {
        self.ratio * f64::from(self.count)
    }
}

/// Tracks the number of concurrent runs with the highest throughput.
#[derive(Debug, Clone)]
pub(crate) struct Knee {
    levels: Vec<Level>,
    /// Smoothed ratio of recent run times to the known run times of their levels.
    drift: f64,
    best: usize,
    best_since: Instant,
}

impl Knee {
    pub(crate) fn new(now: Instant, slots: usize) -> Knee {
        Knee {
            levels: vec![Level::default(); slots],
            drift: 1.0,
            best: Knee::initial_slots(slots),
            best_since: now,
        }
    }

    /// Number of slots used before anything is known about the rest.
    ///
    /// A gate in a large fleet sees few runs per second and would exceed the knee for about a
    /// minute before finding it: in one day at 195 targets, a quarter to a third of the runs
    /// started beside five or six others and took 1.65 times as long.
    ///
    /// If one slot is a large part of the total, as with two slots, it is worth using even
    /// if the target slows down as assumed.
    fn initial_slots(slots: usize) -> usize {
        let first = ((slots as f64 * INITIAL_SHARE) as usize).max(1);
        match first as f64 >= slots as f64 / ASSUMED_RATIO {
            true => first,
            false => slots,
        }
    }

    /// Whether a run at this concurrency would fill a gap in what is known above the current best.
    ///
    /// Under overload each such run may be one that takes too long. So only the next level is
    /// explored, and only until it is clear that it does not complete more work.
    pub(crate) fn needs_samples(&self, concurrency: usize) -> bool {
        let Some(level) = self.levels.get(self.best) else {
            return false;
        };
        let may_gain = (self.best + 1) as f64 / level.ratio.max(1.0) >= self.best as f64;
        let runs = match may_gain {
            true => TRUSTED_RUNS,
            false => DISCOURAGING_RUNS,
        };
        concurrency == self.best + 1 && level.count < runs
    }

    /// Run time above the first `first` slots, relative to the usual one: the mean of all runs
    /// recorded there, combined with the assumed ratio.
    fn above(&self, first: usize) -> f64 {
        let levels = &self.levels[first..];
        let runs: u32 = levels.iter().map(|level| level.count).sum();
        let observed: f64 = levels.iter().map(Level::sum).sum();
        (ASSUMED_RATIO * ASSUMED_RUNS + observed) / (ASSUMED_RUNS + f64::from(runs))
    }

    /// The number of concurrent runs with the highest throughput.
    pub(crate) fn best(&self) -> usize {
        self.best
    }

    /// Whether a run at this concurrency shows the usual time of its work.
    pub(crate) fn is_uncontended(&self, concurrency: usize) -> bool {
        concurrency as f64 <= (self.levels.len() as f64 * UNCONTENDED_SHARE).max(1.0)
    }

    /// Records a run that took `ratio` times the usual time of its work at this concurrency.
    pub(crate) fn sample(&mut self, now: Instant, concurrency: usize, ratio: f64) {
        let Some(level) = concurrency
            .checked_sub(1)
            .and_then(|at| self.levels.get_mut(at))
        else {
            return;
        };
        let known = match level.count >= TRUSTED_RUNS {
            true => level.ratio.max(f64::MIN_POSITIVE),
            false => 1.0,
        };
        self.drift += ((ratio / known).min(RATIO_CAP) - self.drift) * DRIFT_ALPHA;
        let ratio = match self.drift > DRIFT_LIMIT {
            true => ratio / self.drift,
            false => ratio,
        };
        level.count = level.count.saturating_add(1);
        let weight = LEVEL_ALPHA.max(1.0 / f64::from(level.count));
        level.ratio += (ratio.min(RATIO_CAP) - level.ratio) * weight;
        self.forget(now);
        self.update_best(now);
    }

    fn forget(&mut self, now: Instant) {
        let all = self.best == self.levels.len();
        if all || now.saturating_duration_since(self.best_since) < FORGET_AFTER {
            return;
        }
        for level in &mut self.levels[self.best..] {
            *level = Level::default();
        }
    }

    /// Finds the number of concurrent runs with the highest throughput. A level with too few runs
    /// takes the ratio of the next lower level, or above the initial slots the combined ratio if
    /// that is higher.
    fn update_best(&mut self, now: Instant) {
        let mut best = self.best;
        let mut most = 0.0;
        let mut ratio: f64 = 1.0;
        let first = Knee::initial_slots(self.levels.len());
        let above = self.above(first);
        let mut throughput = Vec::with_capacity(self.levels.len());
        for (at, level) in self.levels.iter().enumerate() {
            if level.count >= TRUSTED_RUNS {
                ratio = level.ratio.max(1.0);
            } else if at >= first {
                ratio = ratio.max(above);
            }
            throughput.push((at + 1) as f64 / ratio);
        }
        for (at, throughput) in throughput.iter().enumerate() {
            if *throughput > most {
                most = *throughput;
                best = at + 1;
            }
        }
        let present = throughput.get(self.best - 1).copied().unwrap_or(0.0);
        if most < present * MIN_GAIN {
            return;
        }
        if best != self.best {
            self.best = best;
            self.best_since = now;
        }
    }
}
