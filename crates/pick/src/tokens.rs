//! A token bucket; the caller passes in the time.

use tokio::time::Instant;

/// A token bucket that fills at a constant rate up to a cap and never goes below zero.
#[derive(Debug, Clone)]
pub(crate) struct Tokens {
    rate: f64,
    cap: f64,
    level: f64,
    updated_at: Option<Instant>,
}

impl Tokens {
    /// A full bucket of `cap` tokens that gains `rate` tokens per second.
    pub(crate) fn new(rate: f64, cap: f64) -> Tokens {
        Tokens {
            rate,
            cap,
            level: cap,
            updated_at: None,
        }
    }

    /// Sets the initial level, at most the cap.
    pub(crate) fn with_level(mut self, level: f64) -> Tokens {
        self.level = level.min(self.cap);
        self
    }

    /// Changes the cap; tokens above it are discarded.
    pub(crate) fn set_cap(&mut self, cap: f64) {
        self.cap = cap;
        self.level = self.level.min(cap);
    }

    /// Changes the rate at which the bucket fills from `now` on.
    pub(crate) fn set_rate(&mut self, now: Instant, rate: f64) {
        self.level(now);
        self.rate = rate;
    }

    /// Refills the bucket up to `now` and returns its level.
    pub(crate) fn level(&mut self, now: Instant) -> f64 {
        let at = self.updated_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(at);
        self.add(elapsed.as_secs_f64() * self.rate);
        self.updated_at = Some(at.max(now));
        self.level
    }

    /// Adds `amount` tokens; those above the cap are discarded.
    pub(crate) fn add(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.cap);
    }

    /// Whether the bucket holds `amount` plus `reserve`; takes nothing.
    pub(crate) fn holds(&mut self, now: Instant, amount: f64, reserve: f64) -> bool {
        self.level(now) >= amount + reserve
    }

    /// Takes `amount` if the bucket holds it; returns whether it did.
    pub(crate) fn try_take(&mut self, now: Instant, amount: f64) -> bool {
        let enough = self.holds(now, amount, 0.0);
        if enough {
            self.level -= amount;
        }
        enough
    }
}
