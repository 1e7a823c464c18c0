//! The settings of quotas, and the periods that follow from them.

use std::time::Duration;

use workspace::Quota;

/// The maximum age of a confirmation with which an allocator lends.
pub const AUTHORITY: Duration = Duration::from_millis(2_500);

/// How long a loan lasts from the moment at which the borrower sent its ask.
pub const LEASE: Duration = Duration::from_secs(5);

/// The time from one ask to the next while nothing is missing.
pub const RENEWAL: Duration = Duration::from_secs(1);

/// How long an allocator may go without an answer before the list is written without it.
pub const ALLOCATOR_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The inverse of the part of a limit that is split evenly over the daemons.
const EVEN_PART: u32 = 4;

/// How requests of workspaces are counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// The length of the sliding window.
    pub window: Duration,
    /// The part of the limit by which the fleet may exceed it.
    pub overage: f64,
    /// Requests by which the fleet may exceed the limit beyond that.
    pub slack: u32,
}

impl Setting {
    /// The number of requests that a workspace may send in a window.
    pub fn limit(&self, quota: &Quota) -> u32 {
        quota.limit(self.window).min(u64::from(u32::MAX / 2)) as u32
    }

    /// The number of tokens between the limit and the hard limit.
    pub fn margin(&self, limit: u32) -> u32 {
        (f64::from(limit) * self.overage) as u32 + self.slack
    }

    /// The number of requests that no window may exceed.
    pub fn hard_limit(&self, limit: u32) -> u32 {
        limit + self.margin(limit)
    }

    /// The number of tokens that each daemon has of its own, in a fleet of at most `fleet` daemons.
    pub fn share(&self, limit: u32, fleet: u32) -> u32 {
        limit / EVEN_PART / fleet.max(1)
    }

    /// The number of tokens that the allocator lends.
    pub fn lendable(&self, limit: u32, fleet: u32) -> u32 {
        limit - fleet.max(1) * self.share(limit, fleet)
    }

    /// How long a loan counts from its last ask: until it has ended and the requests admitted under it
    /// have left the window.
    ///
    /// It is never shorter than the lease and the authority of an allocator together. A predecessor
    /// could otherwise lend tokens again that the successor has taken over from their borrower.
    pub fn loan_span(&self) -> Duration {
        LEASE + self.window.max(AUTHORITY)
    }

    /// How long a new allocator waits before it lends the whole limit.
    pub fn takeover_wait(&self) -> Duration {
        AUTHORITY + self.loan_span()
    }
}
