//! Metrics of a feed.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// Histograms and counters of one feed; clones share them.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Seconds that fetches of rules from another daemon took.
    pub fetched: Histogram,
    /// Failed fetches of rules.
    pub fetches_failed: Counter,
    /// Seconds from receiving rules to putting them in force.
    pub read: Histogram,
    /// Reads of the store that show whether the rules are the newest.
    pub checks: Counter,
    /// Those that failed.
    pub checks_failed: Counter,
    /// Jobs that were dropped because the queue was full.
    pub jobs_dropped: Counter,
    /// Restorations of the store from an older copy.
    pub rollbacks: Counter,
    /// Own entries rewritten after a restoration.
    pub rewritten: Counter,
}

/// A histogram with buckets from 1 ms to 8 s, each twice the previous one.
fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

impl Default for Stats {
    fn default() -> Stats {
        Stats {
            fetched: duration_histogram(),
            fetches_failed: Counter::default(),
            read: duration_histogram(),
            checks: Counter::default(),
            checks_failed: Counter::default(),
            jobs_dropped: Counter::default(),
            rollbacks: Counter::default(),
            rewritten: Counter::default(),
        }
    }
}
