//! What an entry measures for its operators.

use std::time::Duration;

use pick::Basis;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// Times from a millisecond to 8 s, doubled from bucket to bucket.
pub(crate) fn times() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

/// Histograms and counters of one entry; clones share them.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Seconds from a request's head to that of its answer, for requests that were sent to a gate.
    pub took: Histogram,
    /// Seconds from a request's head to its refusal, for requests that reached no target.
    pub refused: Histogram,
    /// Age in seconds of the report by which a target was chosen.
    pub age: Histogram,
    /// Targets chosen without any report.
    pub blind: Counter,
    /// Targets chosen though they had told that work takes much longer than usual.
    pub slow: Counter,
    /// Requests of which several gates were asked.
    pub handed: Counter,
    /// Requests that were sent to more than one target.
    pub repeated: Counter,
    /// Requests of which a copy was sent while the first try was under way.
    pub copied: Counter,
}

impl Default for Stats {
    fn default() -> Stats {
        Stats {
            took: times(),
            refused: times(),
            age: times(),
            blind: Counter::default(),
            slow: Counter::default(),
            handed: Counter::default(),
            repeated: Counter::default(),
            copied: Counter::default(),
        }
    }
}

impl Stats {
    pub(crate) fn chose(&self, basis: Basis) {
        match basis.age {
            Some(age) => self.age.observe(age.as_secs_f64()),
            None => drop(self.blind.inc()),
        }
        if basis.slow {
            self.slow.inc();
        }
    }

    pub(crate) fn ended(&self, took: Duration, handed: u32, sent: u32) {
        self.took.observe(took.as_secs_f64());
        if handed > 0 {
            self.handed.inc();
        }
        if sent > 1 {
            self.repeated.inc();
        }
    }

    pub(crate) fn refused(&self, took: Duration) {
        self.refused.observe(took.as_secs_f64());
    }
}
