//! Decides when to send a second copy (a hedge) of an idempotent urgent call.
//!
//! The delay is a quantile of the recent latencies of the service, so that only the slowest few
//! calls are hedged. A [`retry::Budget`](crate::retry::Budget) limits them too: when the whole
//! service is slow, all calls are late and hedging doesn't help.

use std::time::Duration;

/// Samples required before the quantile is used.
const MIN_SAMPLES: u32 = 50;
/// Counts are halved when this many samples are held, so that old latencies lose weight.
const WINDOW: u32 = 1_000;
/// Buckets per doubling of the latency; a delay is accurate to one eighth.
const BUCKETS_PER_DOUBLING: u32 = 8;
/// Number of buckets; they cover more than 2^40 ns.
const BUCKETS: usize = 41 * BUCKETS_PER_DOUBLING as usize;

/// Hedging settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// Quantile of the recent latencies after which a call is hedged, 0 to 1.
    pub quantile: f64,
    /// Shortest delay before a hedge.
    pub floor: Duration,
}

impl Default for Setting {
    fn default() -> Setting {
        Setting {
            quantile: 0.95,
            floor: Duration::from_millis(2),
        }
    }
}

/// Computes the hedging delay from the recent latencies of one service.
#[derive(Debug, Clone)]
pub struct Delay {
    setting: Setting,
    counts: Vec<u32>,
    total: u32,
}

impl Delay {
    /// A delay without any samples.
    pub fn new(setting: Setting) -> Delay {
        Delay {
            setting,
            counts: vec![0; BUCKETS],
            total: 0,
        }
    }

    /// Adds the latency of an answered call.
    pub fn observe(&mut self, latency: Duration) {
        if self.total >= WINDOW {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        self.counts[bucket(latency)] += 1;
        self.total += 1;
    }

    /// How long to wait for the first attempt, or `None` while there are too few samples.
    pub fn after(&self) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let wanted = f64::from(self.total) * self.setting.quantile;
        let mut seen = 0;
        let index = self.counts.iter().position(|count| {
            seen += count;
            f64::from(seen) >= wanted
        });
        Some(upper_bound(index?).max(self.setting.floor))
    }
}

/// The bucket of a latency.
fn bucket(latency: Duration) -> usize {
    let nanos = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
    if nanos < u64::from(BUCKETS_PER_DOUBLING) {
        return nanos as usize;
    }
    let doubling = nanos.ilog2() - BUCKETS_PER_DOUBLING.ilog2();
    let offset = (nanos >> doubling) as usize;
    let index = doubling as usize * BUCKETS_PER_DOUBLING as usize + offset;
    index.min(BUCKETS - 1)
}

/// The upper bound of a bucket.
fn upper_bound(index: usize) -> Duration {
    let per = BUCKETS_PER_DOUBLING as usize;
    if index < per {
        return Duration::from_nanos(index as u64);
    }
    let doubling = index / per - 1;
    let offset = (index - doubling * per) as u64;
    Duration::from_nanos((offset + 1) << doubling)
}
