//! What a feed measures for its operators.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// Histograms and counters of one feed; clones share them.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Seconds for which rules were fetched from another daemon.
    pub fetched: Histogram,
    /// Fetches of rules that failed.
    pub fetches_failed: Counter,
    /// Seconds that it took to read rules before they were in force.
    pub read: Histogram,
    /// Times that the store has come back from an older copy.
    pub rollbacks: Counter,
    /// Own entries that were written again after that.
    pub rewritten: Counter,
}

/// Times from a millisecond to 8 s, doubled from bucket to bucket.
fn times() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

impl Default for Stats {
    fn default() -> Stats {
        Stats {
            fetched: times(),
            fetches_failed: Counter::default(),
            read: times(),
            rollbacks: Counter::default(),
            rewritten: Counter::default(),
        }
    }
}
