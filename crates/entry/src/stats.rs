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
    pub duration: Histogram,
    /// Seconds from a request's head to its refusal, for requests that reached no target.
    pub refusal_duration: Histogram,
    /// Age in seconds of the report by which a target was chosen.
    pub report_age: Histogram,
    /// Targets chosen without any report.
    pub choices_without_report: Counter,
    /// Targets chosen though they had told that work takes much longer than usual.
    pub choices_of_slow: Counter,
    /// Requests of which several gates were asked.
    pub handed_over: Counter,
    /// Requests that were sent to more than one target.
    pub retried: Counter,
    /// Requests of which a copy was sent while the first try was under way.
    pub hedged: Counter,
}

impl Default for Stats {
    fn default() -> Stats {
        Stats {
            duration: times(),
            refusal_duration: times(),
            report_age: times(),
            choices_without_report: Counter::default(),
            choices_of_slow: Counter::default(),
            handed_over: Counter::default(),
            retried: Counter::default(),
            hedged: Counter::default(),
        }
    }
}

impl Stats {
    pub(crate) fn chose(&self, basis: Basis) {
        match basis.age {
            Some(age) => self.report_age.observe(age.as_secs_f64()),
            None => drop(self.choices_without_report.inc()),
        }
        if basis.slow {
            self.choices_of_slow.inc();
        }
    }

    pub(crate) fn ended(&self, took: Duration, handed: u32, sent: u32) {
        self.duration.observe(took.as_secs_f64());
        if handed > 0 {
            self.handed_over.inc();
        }
        if sent > 1 {
            self.retried.inc();
        }
    }

    pub(crate) fn refused(&self, took: Duration) {
        self.refusal_duration.observe(took.as_secs_f64());
    }
}
