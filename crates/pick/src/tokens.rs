//! A token bucket on the caller's clock.

use tokio::time::Instant;

/// A token bucket: filled at a rate up to a cap, and never taken below zero.
#[derive(Debug, Clone)]
pub(crate) struct Tokens {
    rate: f64,
    cap: f64,
    level: f64,
    at: Option<Instant>,
}

impl Tokens {
    /// A full bucket of `cap` that gains `rate` a second.
    pub(crate) fn new(rate: f64, cap: f64) -> Tokens {
        Tokens {
            rate,
            cap,
            level: cap,
            at: None,
        }
    }

    /// The same bucket with `level` in it.
    pub(crate) fn at_level(mut self, level: f64) -> Tokens {
        self.level = level.min(self.cap);
        self
    }

    /// Sets another cap; what is above it is lost.
    pub(crate) fn set_cap(&mut self, cap: f64) {
        self.cap = cap;
        self.level = self.level.min(cap);
    }

    /// Tokens now in the bucket.
    pub(crate) fn level(&mut self, now: Instant) -> f64 {
        let at = self.at.unwrap_or(now);
        let passed = now.saturating_duration_since(at);
        self.add(passed.as_secs_f64() * self.rate);
        self.at = Some(at.max(now));
        self.level
    }

    /// Puts `amount` in; what is above the cap is lost.
    pub(crate) fn add(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.cap);
    }

    /// Whether `amount` and `keep` besides are there; nothing is taken.
    pub(crate) fn holds(&mut self, now: Instant, amount: f64, keep: f64) -> bool {
        self.level(now) >= amount + keep
    }

    /// Takes `amount` if it is there.
    pub(crate) fn take(&mut self, now: Instant, amount: f64) -> bool {
        let enough = self.holds(now, amount, 0.0);
        if enough {
            self.level -= amount;
        }
        enough
    }
}
