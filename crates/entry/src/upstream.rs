//! What an entry knows of the targets of one service.

use std::time::Duration;

use parking_lot::Mutex;
use pick::hedge::Delay;
use pick::retry::{Allowance, Budget, Cause};
use pick::{Pick, Shared, hedge, retry};
use tokio::time::Instant;
use unit::Service;

use crate::Builder;

/// One service as seen from one entry: the choice among its targets, and its budgets.
pub struct Upstream {
    /// The choice of a target.
    pub pick: Shared,
    retry: Mutex<Budget>,
    hedge: Mutex<Delay>,
}

impl Upstream {
    pub(crate) fn new(setting: &Builder, service: &Service) -> Upstream {
        let Builder {
            zone,
            network_delay,
            instance: entry,
            retry,
            choice,
            ..
        } = setting;
        // Each entry draws its own numbers, or all entries would choose the same targets at once.
        let parts = [entry.as_str().as_bytes(), service.as_str().as_bytes()];
        let seed = unit::Digest::of_parts(&parts).0 as u64;
        let pick = Pick::builder(zone.clone())
            .way(*network_delay)
            .seed(seed)
            .setting(*choice)
            .build();
        Upstream {
            pick: Shared::from(pick),
            retry: Mutex::new(Budget::new(*retry)),
            hedge: Mutex::new(Delay::new(hedge::Setting::default())),
        }
    }

    /// Sets how many retries are saved up at most.
    pub(crate) fn set_retry_cap(&self, cap: f64) {
        self.retry.lock().set_cap(cap);
    }

    /// Counts a first try.
    pub(crate) fn first(&self, now: Instant) {
        self.retry.lock().first(now);
    }

    /// Asks the budget for one more try.
    pub(crate) fn ask(&self, now: Instant, allowance: &mut Allowance, cause: Cause) -> bool {
        self.retry.lock().ask(now, allowance, cause)
    }

    /// Takes in how long an answer took.
    pub(crate) fn observe(&self, latency: Duration) {
        self.hedge.lock().observe(latency);
    }

    /// When a second copy may be sent.
    pub(crate) fn hedge_after(&self) -> Option<Duration> {
        self.hedge.lock().after()
    }

    /// Retries asked for and granted so far.
    pub fn retries(&self) -> retry::Count {
        self.retry.lock().count()
    }
}
