//! How many requests a workspace may send.

use std::time::Duration;

use unit::Rate;

/// How many requests a workspace may send, over all daemons of the fleet together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub rate: Rate,
    /// Requests that any window may hold beyond the rate.
    pub burst: u32,
}

impl Quota {
    /// The number of requests that a sliding window of this length may hold, rounded down.
    pub fn limit(&self, window: Duration) -> u64 {
        (self.rate.per_second() * window.as_secs_f64() + f64::from(self.burst)) as u64
    }
}
