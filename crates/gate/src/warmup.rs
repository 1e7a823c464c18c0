//! Bounds how fast requests are sent to a target that is warming up.
//!
//! A cold target crashes if too many requests reach it within a second. All requests to a target
//! pass through its gate, so the gate can bound their number exactly, whichever entries they come
//! from. The load that this answers is the return of many targets at once, when callers retry.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::window::{Log, Window};

/// Length of the sliding window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What is known of the target's warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmup {
    /// Nothing; the target is treated as cold.
    Unknown,
    /// The target is cold until this time.
    Until(Instant),
    /// The target is warm.
    Done,
}

/// The state of the bound, for dumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ColdStart {
    /// Maximum number of requests in one second.
    pub max: usize,
    /// How many more may be sent now.
    pub room: usize,
}

/// Bounds the requests sent to the target while it is cold.
#[derive(Debug)]
pub(crate) struct Bound {
    /// Maximum number of requests in one window; `None` if cold targets need no bound.
    max: Option<usize>,
    warmup: Warmup,
    /// Requests sent before the gate existed may count until this time.
    inherited_until: Option<Instant>,
}

impl Default for Bound {
    /// No bound, and a warm target.
    fn default() -> Bound {
        Bound {
            max: None,
            warmup: Warmup::Done,
            inherited_until: None,
        }
    }
}

impl Bound {
    pub(crate) fn set_max(&mut self, max: Option<usize>) {
        self.max = max;
    }

    pub(crate) fn set_warmup(&mut self, warmup: Warmup) {
        self.warmup = warmup;
    }

    /// Assumes that a former gate has just sent as many requests as the bound allows.
    pub(crate) fn inherit(&mut self, now: Instant) {
        self.inherited_until = Some(now + WINDOW);
    }

    /// Records that no former gate has sent requests to the target while it was cold.
    pub(crate) fn no_former_starts(&mut self) {
        self.inherited_until = None;
    }

    /// The largest number of requests that may have to be counted.
    pub(crate) fn max(&self) -> usize {
        self.max.unwrap_or(0)
    }

    /// The window that applies now, if the target is or may be cold.
    pub(crate) fn window(&self, now: Instant) -> Option<Window> {
        let is_cold = match self.warmup {
            Warmup::Unknown => true,
            Warmup::Until(end) => now < end,
            Warmup::Done => false,
        };
        let max = self.max.filter(|_| is_cold)?;
        let length = WINDOW;
        Some(Window { max, length })
    }

    /// How many more requests may be sent now; `None` if there is no bound.
    pub(crate) fn room(&self, now: Instant, log: &Log, unsent: usize) -> Option<usize> {
        let window = self.window(now)?;
        if self.inherited_left(now).is_some() {
            return Some(0);
        }
        Some(window.room(now, log, unsent))
    }

    /// How long the `nth` request from now has to wait for the bound.
    pub(crate) fn delay(&self, now: Instant, log: &Log, unsent: usize, nth: usize) -> Duration {
        let Some(window) = self.window(now) else {
            return Duration::ZERO;
        };
        let end = match self.warmup {
            Warmup::Until(end) => end.saturating_duration_since(now),
            Warmup::Unknown | Warmup::Done => Duration::MAX,
        };
        let inherited = self.inherited_left(now).unwrap_or_default();
        let delay = window.delay(now, log, unsent, nth);
        delay.max(inherited).min(end)
    }

    /// How long requests of a former gate may still count.
    fn inherited_left(&self, now: Instant) -> Option<Duration> {
        let until = self.inherited_until.filter(|until| now < *until);
        until.map(|until| until - now)
    }
}
