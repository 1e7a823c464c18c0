//! Learns how long work of each class takes, over all targets and at each one.
//!
//! A target's overall service time depends on the mix of classes that it got, so it does not tell
//! fast targets from those that got short work. The ratio to the mean of the same class does.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::record::micros;

/// Largest number of classes remembered for a service.
pub(crate) const SERVICE_CLASSES: usize = 64;
/// Largest number of classes remembered for each target.
pub(crate) const TARGET_CLASSES: usize = 16;
/// Largest weight of what is known, in samples; with it a new sample counts as one of as many.
const MAX_WEIGHT: f64 = 32.0;
/// Samples from which on the mean of a class is used. Times of single requests differ by a
/// multiple.
const MIN_WEIGHT: f64 = 8.0;
/// Weight, in samples, of the expectation that a target is as fast as others. Times of single
/// requests vary by their whole mean, so the mean of fewer samples says little.
const PRIOR: f64 = 16.0;
/// Age at which samples have half their weight. Targets keep their speed for far longer; this
/// bounds how long one that was misjudged is passed over.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Bounds on the speed of a target; beyond them its reported slowness and its overdue calls tell.
const RATIO: std::ops::RangeInclusive<f64> = 0.25..=4.0;

/// A decaying mean.
#[derive(Debug, Clone, Copy)]
struct Mean {
    value: f64,
    weight: f64,
    at: Instant,
}

impl Mean {
    fn new(now: Instant) -> Mean {
        Mean {
            value: 0.0,
            weight: 0.0,
            at: now,
        }
    }

    fn weight(&self, now: Instant) -> f64 {
        let age = micros(now.saturating_duration_since(self.at));
        self.weight * 0.5_f64.powf(age / micros(HALF_LIFE))
    }

    fn add(&mut self, now: Instant, value: f64) {
        self.weight = (self.weight(now) + 1.0).min(MAX_WEIGHT);
        self.value += (value - self.value) / self.weight;
        self.at = now;
    }
}

/// Mean times by class, bounded in number.
#[derive(Debug, Clone)]
pub(crate) struct Table {
    means: BTreeMap<u32, Mean>,
    bound: usize,
}

impl Table {
    pub(crate) fn new(bound: usize) -> Table {
        Table {
            means: BTreeMap::new(),
            bound,
        }
    }

    fn add(&mut self, now: Instant, class: u32, us: f64) {
        if self.means.len() >= self.bound && !self.means.contains_key(&class) {
            let oldest = self.means.iter().min_by_key(|(_, mean)| mean.at);
            if let Some(oldest) = oldest.map(|(class, _)| *class) {
                self.means.remove(&oldest);
            }
        }
        let mean = self.means.entry(class).or_insert_with(|| Mean::new(now));
        mean.add(now, us);
    }

    /// The mean time of `class` in microseconds, once enough is known.
    ///
    /// It does not expire: a class keeps its length while no request of it comes, and it is only
    /// compared with other times of the same class.
    pub(crate) fn mean(&self, class: u32) -> Option<f64> {
        let mean = self.means.get(&class)?;
        (mean.weight >= MIN_WEIGHT).then_some(mean.value)
    }
}

/// What is known of the speed of one target.
#[derive(Debug, Clone)]
pub(crate) struct Speed {
    by_class: Table,
    /// Time relative to the mean of the class, over all classes.
    ratio: Option<Mean>,
}

impl Speed {
    pub(crate) fn new() -> Speed {
        Speed {
            by_class: Table::new(TARGET_CLASSES),
            ratio: None,
        }
    }

    /// Records a request of `class` that took `us` microseconds at this target; `service` has the
    /// means over all targets.
    pub(crate) fn record(&mut self, service: &mut Table, now: Instant, class: u32, us: f64) {
        if class == 0 {
            return;
        }
        service.add(now, class, us);
        self.by_class.add(now, class, us);
        if let Some(mean) = service.mean(class).filter(|mean| *mean > 0.0) {
            let ratio = (us / mean).clamp(*RATIO.start(), *RATIO.end());
            self.ratio
                .get_or_insert_with(|| Mean::new(now))
                .add(now, ratio);
        }
    }

    /// How many times as long as the mean over the targets work takes here.
    pub(crate) fn ratio(&self, now: Instant) -> f64 {
        self.ratio.map_or(1.0, |ratio| {
            let weight = ratio.weight(now);
            (ratio.value * weight + PRIOR) / (weight + PRIOR)
        })
    }

    /// The time of a request of `class` in microseconds, where the mean over all targets is `mean`.
    pub(crate) fn time(&self, now: Instant, class: u32, mean: f64) -> f64 {
        let expected = mean * self.ratio(now);
        let Some(own) = self.by_class.means.get(&class) else {
            return expected;
        };
        let weight = own.weight(now);
        (own.value * weight + expected * PRIOR) / (weight + PRIOR)
    }
}

#[cfg(test)]
#[path = "../tests/internal/work.rs"]
mod tests;
