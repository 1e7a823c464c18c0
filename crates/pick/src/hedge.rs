//! When a second copy of a repeatable urgent call is worth sending.
//!
//! The delay is a quantile of the recent latencies of the service, so that only the slowest few
//! calls are doubled. A [`retry::Budget`](crate::retry::Budget) bounds them besides: when the
//! whole service is slow, all calls are late and none is worth doubling.

use std::time::Duration;

/// Latencies after which the quantile is known well enough.
const ENOUGH: u32 = 50;
/// Counts are halved when this many are held, so that old latencies fade.
const WINDOW: u32 = 1_000;
/// Buckets per doubling of the latency; a delay is exact to one part in eight.
const PER_DOUBLING: u32 = 8;
/// Buckets in all: up to 2^40 ns and more.
const BUCKETS: usize = 41 * PER_DOUBLING as usize;

/// What may be set about hedging.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// A call later than this share of the recent ones is hedged, 0 to 1.
    pub quantile: f64,
    /// No call is hedged sooner than this.
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

/// The delay after which a call is hedged, from recent latencies of one service.
#[derive(Debug, Clone)]
pub struct Delay {
    setting: Setting,
    counts: Vec<u32>,
    total: u32,
}

impl Delay {
    /// A delay that knows no latencies yet.
    pub fn new(setting: Setting) -> Delay {
        Delay {
            setting,
            counts: vec![0; BUCKETS],
            total: 0,
        }
    }

    /// Takes in the latency of a call that was answered.
    pub fn observe(&mut self, latency: Duration) {
        if self.total >= WINDOW {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        self.counts[bucket(latency)] += 1;
        self.total += 1;
    }

    /// How long to wait for the first copy, or `None` while too few latencies are known.
    pub fn after(&self) -> Option<Duration> {
        if self.total < ENOUGH {
            return None;
        }
        let wanted = f64::from(self.total) * self.setting.quantile;
        let mut seen = 0;
        let place = self.counts.iter().position(|count| {
            seen += count;
            f64::from(seen) >= wanted
        });
        Some(upper(place?).max(self.setting.floor))
    }
}

/// The bucket of a latency: eight to each doubling.
fn bucket(latency: Duration) -> usize {
    let nanos = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
    if nanos < u64::from(PER_DOUBLING) {
        return nanos as usize;
    }
    let doubling = nanos.ilog2() - PER_DOUBLING.ilog2();
    let part = (nanos >> doubling) as usize;
    let place = doubling as usize * PER_DOUBLING as usize + part;
    place.min(BUCKETS - 1)
}

/// The upper bound of a bucket.
fn upper(place: usize) -> Duration {
    let per = PER_DOUBLING as usize;
    if place < per {
        return Duration::from_nanos(place as u64);
    }
    let doubling = place / per - 1;
    let part = (place - doubling * per) as u64;
    Duration::from_nanos((part + 1) << doubling)
}
