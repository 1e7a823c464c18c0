//! Metrics of the role beside a target.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// Histograms and counters of one target's daemon; clones share their values.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Seconds that requests waited for a slot before they started.
    pub waited: Histogram,
    /// Seconds from the start of a request to the head of its answer.
    pub ran: Histogram,
    /// Requests that were started during a slowdown of the target.
    pub slow_starts: Counter,
    /// Requests that ended without an answer, and may have run.
    pub lost: Counter,
    /// Answers that must not be relayed to a caller.
    pub unfit: Counter,
    /// Requests that the target reported not to have run.
    pub declined: Counter,
    /// Health checks and pace probes sent to the target.
    pub asked: Counter,
    /// Requests dispatched to the target.
    pub sent: Counter,
    /// Requests per second that the target limits itself to; infinite without a limit.
    pub max_rate: Gauge<f64, AtomicU64>,
    /// How often the gate was opened to the target.
    pub gate_openings: Counter,
    /// Health checks answered by a life that no heartbeat has named.
    pub foreign_answers: Counter,
    /// Leaves and draining heartbeats that were acknowledged.
    pub leaves_acknowledged: Counter,
    /// Heartbeats and leaves that could not be parsed or came from another sender, and were ignored.
    pub malformed: Counter,
}

impl Default for Stats {
    fn default() -> Stats {
        let times = || Histogram::new(exponential_buckets(0.001, 2.0, 14));
        let max_rate = Gauge::default();
        max_rate.set(f64::INFINITY);
        Stats {
            waited: times(),
            ran: times(),
            slow_starts: Counter::default(),
            lost: Counter::default(),
            unfit: Counter::default(),
            declined: Counter::default(),
            asked: Counter::default(),
            sent: Counter::default(),
            max_rate,
            gate_openings: Counter::default(),
            foreign_answers: Counter::default(),
            leaves_acknowledged: Counter::default(),
            malformed: Counter::default(),
        }
    }
}
