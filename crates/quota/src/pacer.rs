//! The pace of one borrower while a workspace is over its quota.

use std::time::Duration;

use crate::Moment;

/// The smallest burst, so that two requests that come together don't cost a daemon its part of the rate.
const MIN_BURST: f64 = 2.0;

/// The unit of [`Pace`](crate::Pace).
const PACE_UNIT: f64 = 1_000.0;

/// A token bucket for one borrower, by the generic cell rate algorithm.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pacer {
    rate: f64,
    burst: f64,
    level: f64,
    at: Moment,
    /// When the pace is of no use any more.
    until: Moment,
}

impl Pacer {
    /// A pacer whose burst was whole `since` ago, and that has admitted `spent` requests since then.
    /// `phase`, at least 0 and below 1, spreads the first requests of borrowers whose burst has a
    /// fraction.
    pub(crate) fn new(
        now: Moment,
        pace: (u32, u32),
        until: Moment,
        phase: f64,
        since: Duration,
        spent: usize,
    ) -> Pacer {
        let (rate, burst) = (f64::from(pace.0) / PACE_UNIT, f64::from(pace.1) / PACE_UNIT);
        let mut pacer = Pacer {
            rate,
            burst,
            level: 0.0,
            at: now,
            until,
        };
        let level = burst + phase + rate * since.as_secs_f64() - spent as f64;
        // A debt beyond the burst would refuse requests long after the demand has fallen.
        pacer.level = level.clamp(-pacer.cap(), pacer.cap());
        pacer
    }

    fn cap(&self) -> f64 {
        self.burst.max(MIN_BURST)
    }

    fn advance(&mut self, now: Moment, cap: f64) {
        let refill = self.rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + refill).min(cap);
        self.at = self.at.max(now);
    }

    /// Changes the pace, which counts until `until`.
    pub(crate) fn set(&mut self, now: Moment, pace: (u32, u32), until: Moment) {
        self.advance(now, self.cap());
        self.rate = f64::from(pace.0) / PACE_UNIT;
        self.burst = f64::from(pace.1) / PACE_UNIT;
        self.until = until;
    }

    /// Whether the pace counts at `now`.
    pub(crate) fn counts(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Whether one more request may be admitted.
    pub(crate) fn has_credit(&mut self, now: Moment) -> bool {
        self.advance(now, self.cap());
        self.level >= 1.0
    }

    /// Counts an admitted request.
    pub(crate) fn take(&mut self) {
        self.level -= 1.0;
    }

    /// Counts one less, for a request that has not run.
    pub(crate) fn refund(&mut self) {
        self.level = (self.level + 1.0).min(self.cap());
    }

    /// When the next request may be admitted.
    pub(crate) fn next(&self, now: Moment) -> Duration {
        let left = (1.0 - self.level).max(0.0) / self.rate.max(1.0 / PACE_UNIT);
        let at = self.at + Duration::from_secs_f64(left);
        at.min(self.until).since(now)
    }

    /// The most requests that are admitted from now until `span` later.
    pub(crate) fn admits(&self, span: Duration) -> u32 {
        (self.level + self.rate * span.as_secs_f64()).max(0.0) as u32
    }
}
