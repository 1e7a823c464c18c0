//! The bounds on how fast requests start at the target.

use std::time::Duration;

use tokio::time::Instant;
use unit::Rate;

use crate::throttle::{self, Throttle};
use crate::warmup::{Bound, ColdStart};
use crate::window::{Log, Window};

/// The requests sent to the target, and the bounds on their number.
///
/// Requests are recorded without a bound too: when a bound appears, those just sent count.
#[derive(Debug, Default)]
pub(crate) struct Starts {
    log: Log,
    /// The bound on a cold target.
    pub(crate) cold: Bound,
    /// The target's own limit.
    max_rate: Option<Rate>,
}

impl Starts {
    /// Records that a request was sent.
    pub(crate) fn record_sent(&mut self, now: Instant) {
        let throttled = self.throttle().map_or(0, |window| window.max);
        self.log.record(now, self.cold.max().max(throttled));
    }

    pub(crate) fn set_max_rate(&mut self, max_rate: Option<Rate>) {
        self.max_rate = max_rate;
    }

    pub(crate) fn max_rate(&self) -> Option<Rate> {
        self.max_rate
    }

    fn throttle(&self) -> Option<Window> {
        self.max_rate.map(throttle::window)
    }

    /// Whether any bound applies now.
    pub(crate) fn is_bounded(&self, now: Instant) -> bool {
        self.max_rate.is_some() || self.cold.window(now).is_some()
    }

    /// How many more requests may be sent now, if `unsent` have a slot and are not sent yet;
    /// `None` if there is no bound.
    pub(crate) fn room(&self, now: Instant, unsent: usize) -> Option<usize> {
        let cold = self.cold.room(now, &self.log, unsent);
        let throttled = self.throttle_room(now, unsent);
        cold.into_iter().chain(throttled).min()
    }

    /// The same for the target's own limit alone.
    pub(crate) fn throttle_room(&self, now: Instant, unsent: usize) -> Option<usize> {
        Some(self.throttle()?.room(now, &self.log, unsent))
    }

    /// How long the `nth` request from now has to wait for the bounds.
    pub(crate) fn delay(&self, now: Instant, unsent: usize, nth: usize) -> Duration {
        let cold = self.cold.delay(now, &self.log, unsent, nth);
        let throttled = self
            .throttle()
            .map(|window| window.delay(now, &self.log, unsent, nth));
        cold.max(throttled.unwrap_or_default())
    }

    /// When a waiting request may be sent, if a bound holds it up now.
    pub(crate) fn timer(&self, now: Instant, unsent: usize) -> Option<Instant> {
        // A window includes its end, so the next request fits just after it.
        let delay = self.delay(now, unsent, 1);
        (delay > Duration::ZERO).then(|| now + delay + Duration::from_millis(1))
    }

    pub(crate) fn dump_cold(&self, now: Instant, unsent: usize) -> Option<ColdStart> {
        let max = self.cold.window(now)?.max;
        let room = self.cold.room(now, &self.log, unsent)?;
        Some(ColdStart { max, room })
    }

    pub(crate) fn dump_throttle(&self, now: Instant, unsent: usize) -> Option<Throttle> {
        let room = self.throttle_room(now, unsent)?;
        Some(Throttle {
            rate: self.max_rate?,
            room,
        })
    }
}
