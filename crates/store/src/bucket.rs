//! A token bucket, from part of whose rate waiting watches can be taken off.

use std::time::Duration;

use tokio::time::Instant;
use unit::Rate;

/// A token bucket: `rate` calls a second, at most `burst` saved up.
///
/// Calls that stay open, such as waiting watches, each hold one call a second of the rate while
/// they last. That is the strictest reading of a platform that counts a waiting watch as a call.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    saved: f64,
    held: u32,
    at: Option<Instant>,
}

/// What a caller is told to wait for when the open calls hold the whole rate.
const NEVER_SOON: Duration = Duration::from_secs(1);

impl Bucket {
    /// A full bucket.
    pub fn new(rate: Rate, burst: u32) -> Bucket {
        Bucket {
            rate: rate.per_second(),
            burst: f64::from(burst.max(1)),
            saved: f64::from(burst.max(1)),
            held: 0,
            at: None,
        }
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// The time until one call will be free.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.ready(now)?;
        self.saved -= 1.0;
        Ok(())
    }

    /// Tells whether a call could be taken, and takes none.
    ///
    /// # Errors
    ///
    /// The time until one call will be free.
    pub fn ready(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.saved >= 1.0 {
            return Ok(());
        }
        let flow = self.flow();
        if flow <= 0.0 {
            return Err(NEVER_SOON);
        }
        // Rounded up by a nanosecond, so that a caller who waits this long finds a whole token.
        let wait = Duration::from_secs_f64((1.0 - self.saved) / flow);
        Err(wait + Duration::from_nanos(1))
    }

    /// Takes one call at once, if need be on credit: the calls after it wait the longer.
    pub fn charge(&mut self, now: Instant) {
        self.refill(now);
        self.saved -= 1.0;
    }

    /// Notes that an open call has begun.
    pub fn hold(&mut self, now: Instant) {
        self.refill(now);
        self.held += 1;
    }

    /// Notes that an open call has ended.
    pub fn free(&mut self, now: Instant) {
        self.refill(now);
        self.held = self.held.saturating_sub(1);
    }

    /// The open calls.
    pub fn held(&self) -> u32 {
        self.held
    }

    fn flow(&self) -> f64 {
        (self.rate - f64::from(self.held)).max(0.0)
    }

    fn refill(&mut self, now: Instant) {
        let passed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.at = Some(now);
        self.saved = (self.saved + passed.as_secs_f64() * self.flow()).min(self.burst);
    }
}
