//! A clock that counts the time for which the machine was suspended.

use std::sync::Arc;
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

/// Tokio's clock plus the time for which the machine was suspended; clones share the source.
///
/// `CLOCK_MONOTONIC`, and therefore tokio's clock, may stand still during a suspension. An age that
/// is measured by it alone would come out too young after one.
#[derive(Clone)]
pub struct Clock {
    suspended: Arc<dyn Fn() -> Duration + Send + Sync>,
}

/// A moment of a [`Clock`]. Moments of two machines cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(Instant);

impl Clock {
    /// A clock for which `suspended` returns the total time of all suspensions so far.
    pub fn new(suspended: impl Fn() -> Duration + Send + Sync + 'static) -> Clock {
        Clock {
            suspended: Arc::new(suspended),
        }
    }

    /// A clock that takes the time of suspensions from the kernel.
    ///
    /// `CLOCK_MONOTONIC` is read first. If the process is stopped between the two reads, the moment
    /// is then still one between the start and the end of the call.
    pub fn system() -> Clock {
        Clock::new(|| {
            let monotonic = clock_gettime(ClockId::Monotonic);
            let boot = clock_gettime(ClockId::Boottime);
            duration(boot).saturating_sub(duration(monotonic))
        })
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        self.at(Instant::now())
    }

    /// The present moment, where tokio's clock was just read as `now`.
    pub fn at(&self, now: Instant) -> Moment {
        Moment(now + (self.suspended)())
    }
}

fn duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

impl Default for Clock {
    /// As [`Clock::system`].
    fn default() -> Clock {
        Clock::system()
    }
}

impl std::fmt::Debug for Clock {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Clock").finish_non_exhaustive()
    }
}

impl Moment {
    /// The time from `earlier` to this moment; zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// The moment `by` before this one; `None` before the clock's range.
    pub fn before(self, by: Duration) -> Option<Moment> {
        self.0.checked_sub(by).map(Moment)
    }

    /// The moment `by` after this one; `None` beyond the clock's range.
    pub fn after(self, by: Duration) -> Option<Moment> {
        self.0.checked_add(by).map(Moment)
    }
}
