//! Estimates the timeout with which the callers of a route start, from the times left that all
//! report.

use std::time::Duration;

/// Number of recent times that are kept. A third of them must lie close together, so that the times
/// of retries do not pass for those of first attempts in some seconds of mostly retries.
const MAX_RECENT: usize = 256;
/// Number of times from which on an estimate is made.
const MIN_RECENT: usize = 16;
/// Number of requests between two updates of the estimate.
const UPDATE_INTERVAL: usize = 32;
/// The common range holds one in this many of the recent times.
const COMMON_DIVISOR: usize = 3;

/// Distinguishes retries of callers from first attempts.
///
/// Each caller reports the time that it has left. A caller that was refused and retries has less
/// left than it started with, but it does not report its initial timeout, and callers differ: in
/// some fleets all start with the same timeout, in others the timeouts differ by an eighth.
/// Measured against the longest reported time, nine in ten first attempts of the latter would be
/// taken for retries, on average by a third of their latency goal. Gates would then refuse requests
/// that they could serve, and treat requests that are in time as late.
///
/// So the estimate is the shortest range that holds a third of the recent times, extended downwards
/// until it would hold all first attempts if these were spread evenly. A caller with less time left
/// has waited for at least the difference. The times of retries are spread far more widely than
/// those of first attempts, and shift the range only if they make up two thirds of all requests.
///
/// ```
/// use std::time::Duration;
///
/// use entry::InitialTimeout;
///
/// let mut timeout = InitialTimeout::default();
/// for _ in 0..100 {
///     timeout.elapsed(Duration::from_millis(800));
/// }
/// let elapsed = timeout.elapsed(Duration::from_millis(500));
/// assert_eq!(elapsed, Duration::from_millis(300));
/// ```
#[derive(Debug, Default)]
pub struct InitialTimeout {
    /// Ring buffer of the recent times.
    recent: Vec<Duration>,
    next: usize,
    /// The shortest time that a first attempt is likely to report, once it can be estimated.
    lower_bound: Option<Duration>,
}

impl InitialTimeout {
    /// Records the time `left` that a caller reports, and returns how long the caller has waited
    /// already; zero until enough times are known.
    pub fn elapsed(&mut self, left: Duration) -> Duration {
        self.record(left);
        let lower_bound = self.lower_bound.unwrap_or_default();
        lower_bound.saturating_sub(left)
    }

    fn record(&mut self, left: Duration) {
        if self.recent.len() < MAX_RECENT {
            self.recent.push(left);
        } else {
            self.recent[self.next % MAX_RECENT] = left;
        }
        self.next += 1;
        let is_due = self.lower_bound.is_none() || self.next.is_multiple_of(UPDATE_INTERVAL);
        if is_due && self.recent.len() >= MIN_RECENT {
            self.lower_bound = estimate_lower_bound(&self.recent);
        }
    }
}

/// The lower end of the common range of `recent`, extended downwards.
fn estimate_lower_bound(recent: &[Duration]) -> Option<Duration> {
    let mut sorted = recent.to_vec();
    sorted.sort_unstable();
    let count = sorted.len().div_ceil(COMMON_DIVISOR);
    let ranges = sorted.windows(count);
    let ends = ranges.filter_map(|range| Some((*range.first()?, *range.last()?)));
    // Of equally short ranges, the one with the longest times belongs to first attempts.
    let (least, most) =
        ends.min_by_key(|(least, most)| (*most - *least, std::cmp::Reverse(*least)))?;
    let width = most - least;
    Some(least.saturating_sub(width * (COMMON_DIVISOR as u32 - 1)))
}
