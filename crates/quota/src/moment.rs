//! Moments of a clock that counts the time for which the machine was suspended.

use std::ops::Add;
use std::time::Duration;

/// The time since the start of this process, with the time for which the machine was suspended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub Duration);

impl Moment {
    /// The start of the process.
    pub const START: Moment = Moment(Duration::ZERO);

    /// The time from `earlier` to this moment; zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment that lies `span` before this one, at the earliest the start of the process.
    pub fn before(self, span: Duration) -> Moment {
        Moment(self.0.saturating_sub(span))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, span: Duration) -> Moment {
        Moment(self.0 + span)
    }
}
