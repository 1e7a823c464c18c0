//! Metrics of an entry.

use std::time::Duration;

use pick::Basis;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// A histogram in seconds, with buckets from 1 ms to 8 s that double.
pub(crate) fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

/// Histograms and counters of one entry. Clones share them.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Seconds from the head of a request to the head of its answer or its refusal, for requests
    /// that are forwarded.
    pub duration: Histogram,
    /// Seconds from the head of a request to its refusal, for requests that reached no target.
    pub refusal_duration: Histogram,
    /// Age in seconds of the load report by which a target was chosen.
    pub report_age: Histogram,
    /// Targets chosen without a load report.
    pub choices_without_report: Counter,
    /// Targets chosen although their load report showed a slowdown.
    pub choices_of_slow: Counter,
    /// Requests that were handed over to another gate.
    pub handed_over: Counter,
    /// Requests that were sent to more than one target.
    pub retried: Counter,
    /// Requests that were hedged: a copy was sent while the first attempt was in progress.
    pub hedged: Counter,
    /// Requests refused because they have no known key.
    pub no_workspace: Counter,
    /// Requests refused because the configuration was not confirmed.
    pub unconfirmed: Counter,
    /// Requests refused because they were over the quota of their workspace.
    pub over_quota: Counter,
}

impl Default for Stats {
    fn default() -> Stats {
        Stats {
            duration: duration_histogram(),
            refusal_duration: duration_histogram(),
            report_age: duration_histogram(),
            choices_without_report: Counter::default(),
            choices_of_slow: Counter::default(),
            handed_over: Counter::default(),
            retried: Counter::default(),
            hedged: Counter::default(),
            no_workspace: Counter::default(),
            unconfirmed: Counter::default(),
            over_quota: Counter::default(),
        }
    }
}

impl Stats {
    pub(crate) fn record_choice(&self, basis: Basis) {
        match basis.age {
            Some(age) => self.report_age.observe(age.as_secs_f64()),
            None => drop(self.choices_without_report.inc()),
        }
        if basis.slow {
            self.choices_of_slow.inc();
        }
    }

    pub(crate) fn record_end(&self, duration: Duration, handovers: u32, sent: u32) {
        self.duration.observe(duration.as_secs_f64());
        if handovers > 0 {
            self.handed_over.inc();
        }
        if sent > 1 {
            self.retried.inc();
        }
    }

    pub(crate) fn record_refusal(&self, duration: Duration) {
        self.refusal_duration.observe(duration.as_secs_f64());
    }
}
