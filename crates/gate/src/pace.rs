//! The reported pace of a target: the present run time relative to the usual one.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::history::History;

/// The pace of a target whose runs take the usual time, in hundredths.
pub(crate) const USUAL: u16 = 100;

/// Factor on the usual run time at `pace`. A target that does not report a pace has factor 1.
pub(crate) fn factor(pace: u16) -> f64 {
    f64::from(pace.max(USUAL)) / f64::from(USUAL)
}

/// A target is slow if its pace is at least this multiple of its recent minimum.
const SLOW_FACTOR: u16 = 2;

/// The minimum pace in this window is the target's pace between slowdowns. The window covers about
/// a dozen slowdowns; a target that was slow for all of it has become permanently slower.
const WINDOW: Duration = Duration::from_secs(10);

/// Upper bound of the base pace of a target that has just started, in hundredths. Its first report
/// may fall into a slowdown: taken as its base pace, runs started that took ten times the usual
/// time.
const COLD_PACE: u16 = 250;

/// The reported pace of a target and its recent minimum.
#[derive(Debug)]
pub(crate) struct Pace {
    /// In hundredths of the usual run time; 0 if the target does not report a pace.
    current: u16,
    /// Readings in the window, each lower than all later ones.
    minima: VecDeque<Reading>,
    /// Start of the current slowdown.
    slow_since: Option<Instant>,
    history: History,
    /// Whether the target used to report a pace and has not done so since its restart.
    is_overdue: bool,
}

/// A reported pace and the time until which it was current.
#[derive(Debug, Clone, Copy)]
struct Reading {
    pace: u16,
    /// When the next pace was reported.
    until: Option<Instant>,
}

impl Default for Pace {
    /// A target without reports is assumed to run at the usual pace.
    fn default() -> Pace {
        Pace {
            current: 0,
            minima: VecDeque::from([Reading {
                pace: USUAL,
                until: None,
            }]),
            slow_since: None,
            history: History::default(),
            is_overdue: false,
        }
    }
}

impl Pace {
    /// Resets the readings for a cold target. Its next report becomes its base pace, unless it is
    /// far slower than cold targets are.
    pub(crate) fn reset_cold(&mut self) {
        self.is_overdue = self.current > 0;
        self.current = 0;
        self.slow_since = None;
        self.minima = VecDeque::from([Reading {
            pace: COLD_PACE,
            until: None,
        }]);
    }

    /// Records a reported pace. Returns true if a slowdown has started.
    pub(crate) fn update(&mut self, now: Instant, pace: u16) -> bool {
        if let Some(last) = self.minima.back_mut() {
            last.until.get_or_insert(now);
        }
        self.minima
            .retain(|reading| reading.pace < pace && reading.is_in_window(now));
        self.minima.push_back(Reading { pace, until: None });
        self.current = pace;
        self.is_overdue = false;
        let slow = self.is_slow(now);
        self.history.record(now, slow, self.slowdown_factor(now));
        let turned = slow && self.slow_since.is_none();
        self.slow_since = slow.then(|| self.slow_since.unwrap_or(now));
        turned
    }

    /// The last reported pace, in hundredths of the usual run time; 0 if the target does not report
    /// one.
    pub(crate) fn current(&self) -> u16 {
        self.current
    }

    /// The target's pace between slowdowns, in hundredths of the usual run time.
    fn base(&self, now: Instant) -> u16 {
        let minimum = self.minima.iter().find(|reading| reading.is_in_window(now));
        minimum.map_or(USUAL, |reading| reading.pace.max(1))
    }

    /// Whether runs take much longer than they recently did.
    pub(crate) fn is_slow(&self, now: Instant) -> bool {
        self.is_slow_at(now, self.current)
    }

    /// Whether runs at `pace` take much longer than they recently did.
    pub(crate) fn is_slow_at(&self, now: Instant, pace: u16) -> bool {
        pace >= self.base(now).saturating_mul(SLOW_FACTOR)
    }

    /// Whether the target is in a slowdown that is worth waiting out. A request that waited for the
    /// end of an unusually long one would wait until its deadline.
    pub(crate) fn is_transiently_slow(&self, now: Instant) -> bool {
        self.is_slow(now) && self.slowdown_cutoff().is_some_and(|end| now < end)
    }

    /// When the current slowdown is no longer waited out.
    pub(crate) fn slowdown_cutoff(&self) -> Option<Instant> {
        self.slow_since
            .map(|since| since + self.history.longest_slowdown())
    }

    /// Expected remaining length of a slowdown.
    pub(crate) fn slowdown_left(&self) -> Duration {
        self.history.slowdown_left()
    }

    /// Present run time relative to the run time between slowdowns, at least 1.
    pub(crate) fn slowdown_factor(&self, now: Instant) -> f64 {
        (f64::from(self.current) / f64::from(self.base(now))).max(1.0)
    }

    /// Scales a time at the usual pace to the target's pace between slowdowns.
    pub(crate) fn between_slowdowns(&self, now: Instant, usual: Duration) -> Duration {
        usual.mul_f64(f64::from(self.base(now)) / f64::from(USUAL))
    }

    /// See [`History::expected_loss`]. If a report is overdue after a restart, the loss is the
    /// whole run.
    pub(crate) fn expected_loss(&self, now: Instant, run: Duration) -> Duration {
        match self.current {
            0 if self.is_overdue => run,
            0 => Duration::ZERO,
            _ => self.history.expected_loss(now, run),
        }
    }
}

impl Reading {
    /// Whether this reading was current at any time within the window before `now`.
    fn is_in_window(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until + WINDOW)
    }
}
