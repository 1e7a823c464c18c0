//! Draws the target of a request from those that may serve it.

use rand::RngExt;
use rand::seq::SliceRandom;
use tokio::time::Instant;
use unit::Urgency;

use crate::pick::FAILURE_THRESHOLD;
use crate::record::Record;
use crate::{Need, Pick};

/// Share of its fair share at which a new target gets its first call.
const FIRST_CALL_SHARE: f64 = 0.25;
/// Range of the factor by which a request's price of another region is drawn.
const PRICE_RANGE: std::ops::Range<f64> = 0.5..1.5;
/// Work is short if the mean work of the service takes at least this many times as long.
const SHORT_RATIO: f64 = 3.0;
/// Scale of the random draw: a difference of this share of the service time halves the closeness
/// of the worse target, whose weight is the cube of it.
const SPREAD: f64 = 0.1;
/// Lower bound of the spread, in microseconds.
const MIN_SPREAD_US: f64 = 100.0;

/// The sampling chance of a target that was added later, and has neither answered nor sent a report.
///
/// It may be cold, so it gets one call at a time until a report arrives.
fn unreported_chance(record: &Record, fair: f64) -> f64 {
    let idle = record.in_flight.is_empty();
    if idle {
        (fair * FIRST_CALL_SHARE).min(1.0)
    } else {
        0.0
    }
}

/// A target that may be chosen, with its estimate.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    index: usize,
    estimate: f64,
}

impl Pick {
    /// Those of `eligible` that are not failing and pass the draw for targets that are not warm.
    pub(crate) fn uncapped(&mut self, now: Instant, eligible: &[usize]) -> Vec<usize> {
        let count = eligible.len();
        let mut open = Vec::with_capacity(count);
        for index in eligible {
            let record = &self.records[*index];
            let chance = self.chance(now, record, count);
            let healthy = record.failures < FAILURE_THRESHOLD;
            if healthy && (chance >= 1.0 || self.random.random_bool(chance)) {
                open.push(*index);
            }
        }
        open
    }

    /// The chance that a target is considered, which is below 1 for targets that are not warm.
    ///
    /// A cold target is idle but slow. If it were always considered, it would win each comparison,
    /// so its chance is a part of its fair share that grows with the answers it has given. A target of
    /// the first set is assumed to be warm until its reports say otherwise.
    fn chance(&self, now: Instant, record: &Record, count: usize) -> f64 {
        if self.has_ramped(now, record) || record.received.is_none() && record.present_at_start {
            return 1.0;
        }
        let fair = self.setting.sample as f64 / count as f64;
        if record.received.is_none() && record.answered == 0 {
            return unreported_chance(record, fair);
        }
        let answers = f64::from(record.answers());
        let ramp = f64::from(self.setting.ramp.max(1));
        if answers >= ramp {
            return 1.0;
        }
        let part = (answers + 1.0) / (ramp + 1.0);
        part * (fair / (1.0 - part)).min(1.0)
    }

    /// Whether a target has been known for so long that it is warm however few answers it has given.
    pub(crate) fn has_ramped(&self, now: Instant, record: &Record) -> bool {
        now.saturating_duration_since(record.ramp_began) >= self.setting.ramp_time
    }

    /// Samples the targets in the entry's zone, those in other zones of its region and those in
    /// other regions separately.
    pub(crate) fn sample(&mut self, open: Vec<usize>) -> Vec<usize> {
        let records = &self.records;
        let (home, abroad): (Vec<_>, Vec<_>) = open
            .into_iter()
            .partition(|index| records[*index].same_region);
        let (near, far): (Vec<_>, Vec<_>) = home
            .into_iter()
            .partition(|index| records[*index].same_zone);
        let mut sample = self.sample_of(near);
        sample.extend(self.sample_of(far));
        sample.extend(self.sample_of(abroad));
        sample
    }

    fn sample_of(&mut self, mut indices: Vec<usize>) -> Vec<usize> {
        let count = self.setting.sample.min(indices.len());
        for i in 0..count {
            let other = self.random.random_range(i..indices.len());
            indices.swap(i, other);
        }
        indices.truncate(count);
        indices
    }

    /// The mean time of `class` in microseconds, if it is short work beside that of the service.
    fn short_time(&self, class: u32) -> Option<f64> {
        let time = self.work.mean(class)?;
        (time * SHORT_RATIO <= self.mean.service_us).then_some(time)
    }

    /// Whether requests of `class` are short beside those of the service. For one of them a wait
    /// behind long work is a multiple of its own time, so it looks for a target where it starts at
    /// once among all, and not in a sample.
    pub(crate) fn is_short(&self, class: u32) -> bool {
        self.short_time(class).is_some()
    }

    /// The price of another region for this request, or 0 if none is among `indices`.
    ///
    /// Each request draws its own around the price of its bytes. With one price for all, the
    /// requests of an entry would change over to another region within a tenth of the slots at
    /// home, and all entries of the region at the same time.
    fn draw_price_abroad(&mut self, now: Instant, need: &Need<'_>, indices: &[usize]) -> f64 {
        let records = &self.records;
        if indices.iter().all(|index| records[*index].same_region) {
            return 0.0;
        }
        self.price_abroad(now, need) * self.random.random_range(PRICE_RANGE)
    }

    /// Draws a target at random, weighted by how close its estimate is to the best one.
    pub(crate) fn draw(
        &mut self,
        now: Instant,
        need: &Need<'_>,
        indices: &[usize],
    ) -> Option<usize> {
        let abroad = self.draw_price_abroad(now, need, indices);
        let estimator = self.estimator(now);
        let candidate = |index: &usize| Candidate {
            index: *index,
            estimate: estimator.estimate(&self.records[*index], need, abroad),
        };
        let mut candidates: Vec<Candidate> = indices.iter().map(candidate).collect();
        if need.urgency == Urgency::Urgent {
            // Targets without news have the same estimate. In the order of their names, all entries
            // would take the same few of them for the best.
            candidates.shuffle(&mut self.random);
        }
        candidates.sort_by(|a, b| a.estimate.total_cmp(&b.estimate));
        if need.urgency == Urgency::Urgent {
            candidates.truncate(self.setting.best.max(1));
        }
        let best = candidates.first()?.estimate;
        let scale = self.short_time(need.class).unwrap_or(self.mean.service_us);
        let spread = (scale * SPREAD).max(MIN_SPREAD_US);
        let weight = |candidate: &Candidate| {
            let closeness = 1.0 / (1.0 + (candidate.estimate - best) / spread);
            closeness * closeness * closeness
        };
        let total: f64 = candidates.iter().map(weight).sum();
        let mut left = self.random.random_range(0.0..total);
        let last = candidates.last()?.index;
        for candidate in &candidates {
            left -= weight(candidate);
            if left < 0.0 {
                return Some(candidate.index);
            }
        }
        Some(last)
    }
}
