//! What the role beside a target measures for its operators.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// Histograms and counters of one target's daemon; clones share them.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Seconds that requests waited for a slot before they started.
    pub waited: Histogram,
    /// Seconds from the start of a request to the head of its answer.
    pub ran: Histogram,
    /// Requests that were started while work took much longer than usual at the target.
    pub slow_starts: Counter,
    /// Requests that ended without a whole answer, and may have run.
    pub lost: Counter,
    /// Answers that could not be given to a caller.
    pub unfit: Counter,
    /// Requests that the target itself turned away.
    pub declined: Counter,
    /// Questions after the target's health and load.
    pub asked: Counter,
    /// Heartbeats and leaves that could not be read, or were another writer's; they change nothing.
    pub malformed: Counter,
}

impl Default for Stats {
    fn default() -> Stats {
        let times = || Histogram::new(exponential_buckets(0.001, 2.0, 14));
        Stats {
            waited: times(),
            ran: times(),
            slow_starts: Counter::default(),
            lost: Counter::default(),
            unfit: Counter::default(),
            declined: Counter::default(),
            asked: Counter::default(),
            malformed: Counter::default(),
        }
    }
}
