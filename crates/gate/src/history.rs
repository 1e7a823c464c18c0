//! How often and for how long a target slows down, and the expected cost of a start on an old pace
//! report.

use std::time::Duration;

use tokio::time::Instant;

/// Assumed mean time between slowdowns, in seconds, while little is known about the target.
const QUICK_PRIOR_SECONDS: f64 = 1.0;

/// Quick time, in seconds, after which the counts are halved. It covers a few dozen slowdowns of a
/// tenth of a second, so that the means are stable, and a change of the target shows within
/// seconds.
const MEMORY_SECONDS: f64 = 10.0;

/// Weight of the newest slowdown in the mean slowdown factor.
const FACTOR_ALPHA: f64 = 0.2;

/// Assumed slowdown factor before one was seen.
const FACTOR_PRIOR: f64 = 2.0;

/// Assumed length of a slowdown, in seconds; weighted like one observed slowdown.
const SLOWDOWN_PRIOR_SECONDS: f64 = 0.15;

/// Upper bound of one slowdown's length, in mean lengths. A target that is slow for seconds says
/// nothing about the length of ordinary slowdowns.
const SLOWDOWN_CAP: f64 = 4.0;

/// Length, in mean lengths, after which a slowdown is no longer waited out. If lengths are
/// distributed exponentially, one slowdown in fifty lasts this long.
const WAIT_CAP: f64 = 4.0;

/// Expected rest of a slowdown when it is reported, as a share of the mean length. Exponentially
/// distributed lengths have no memory, and part of the wait has passed by the time the target has
/// been probed.
const LEFT_SHARE: f64 = 2.0 / 3.0;

/// The slowdowns of one target, as derived from its pace reports.
#[derive(Debug)]
pub(crate) struct History {
    /// Seconds in which the target was not slow.
    quick_seconds: f64,
    /// Number of slowdowns that started in that time.
    slowdowns: f64,
    /// Mean slowdown factor.
    factor: f64,
    /// Number of slowdowns that have ended, and their total length in seconds.
    ended_slowdowns: f64,
    slow_seconds: f64,
    last: Option<Reading>,
    slow_since: Option<Instant>,
}

/// The last pace report.
#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Instant,
    slow: bool,
}

impl Default for History {
    fn default() -> History {
        History {
            quick_seconds: 0.0,
            slowdowns: 0.0,
            factor: FACTOR_PRIOR,
            ended_slowdowns: 0.0,
            slow_seconds: 0.0,
            last: None,
            slow_since: None,
        }
    }
}

impl History {
    /// Records a pace report: whether the target is slow, and its run time relative to that between
    /// slowdowns.
    pub(crate) fn record(&mut self, now: Instant, slow: bool, factor: f64) {
        if let Some(last) = self.last.filter(|last| !last.slow) {
            self.quick_seconds += now.saturating_duration_since(last.at).as_secs_f64();
            if slow {
                self.slowdowns += 1.0;
                self.factor += (factor - self.factor) * FACTOR_ALPHA;
            }
        }
        match (slow, self.slow_since) {
            (true, None) => self.slow_since = Some(now),
            (false, Some(since)) => {
                self.slow_since = None;
                let length = now.saturating_duration_since(since).as_secs_f64();
                self.slow_seconds += length.min(self.mean_slowdown() * SLOWDOWN_CAP);
                self.ended_slowdowns += 1.0;
            }
            _ => {}
        }
        if self.quick_seconds > MEMORY_SECONDS {
            self.quick_seconds /= 2.0;
            self.slowdowns /= 2.0;
            self.slow_seconds /= 2.0;
            self.ended_slowdowns /= 2.0;
        }
        self.last = Some(Reading { at: now, slow });
    }

    fn mean_slowdown(&self) -> f64 {
        (self.slow_seconds + SLOWDOWN_PRIOR_SECONDS) / (self.ended_slowdowns + 1.0)
    }

    /// Expected remaining length of a slowdown.
    pub(crate) fn slowdown_left(&self) -> Duration {
        Duration::from_secs_f64(self.mean_slowdown() * LEFT_SHARE)
    }

    /// The longest time for which a slowdown is waited out.
    pub(crate) fn longest_slowdown(&self) -> Duration {
        Duration::from_secs_f64(self.mean_slowdown() * WAIT_CAP)
    }

    /// Expected loss of a run that starts on the last report: the probability that the target has
    /// become slow since, times the cost of a start during a slowdown.
    pub(crate) fn expected_loss(&self, now: Instant, run: Duration) -> Duration {
        let Some(last) = self.last.filter(|last| !last.slow) else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(last.at).as_secs_f64();
        let rate = (self.slowdowns + 1.0) / (self.quick_seconds + QUICK_PRIOR_SECONDS);
        let chance = 1.0 - (-rate * age).exp();
        run.mul_f64(chance * (self.factor - 1.0).max(0.0))
    }
}
