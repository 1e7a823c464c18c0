//! What an entry knows about the targets of one service.

use std::time::Duration;

use parking_lot::Mutex;
use pick::hedge::Delay;
use pick::retry::{Allowance, Budget, Cause};
use pick::{Pick, Shared, hedge, retry};
use tokio::time::Instant;
use unit::Service;

use crate::Builder;

/// One service as seen by one entry: the choice among its targets, and the budgets.
pub struct Upstream {
    /// Chooses targets.
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
            home,
            ..
        } = setting;
        // Each entry has its own seed, or all entries would choose the same targets at the same
        // time.
        let parts = [entry.as_str().as_bytes(), service.as_str().as_bytes()];
        let seed = unit::Digest::of_parts(&parts).0 as u64;
        let builder = Pick::builder(zone.clone())
            .network_delay(*network_delay)
            .seed(seed)
            .setting(*choice);
        let pick = match home {
            Some(home) => builder.home(home.clone()).build(),
            None => builder.build(),
        };
        Upstream {
            pick: Shared::from(pick),
            retry: Mutex::new(Budget::new(*retry)),
            hedge: Mutex::new(Delay::new(hedge::Setting::default())),
        }
    }

    /// Sets the limits on retries, of which the share per request stays as it is.
    pub(crate) fn set_retry_limits(&self, setting: &retry::Setting) {
        self.retry.lock().set_limits(Instant::now(), setting);
    }

    /// Counts the first attempt of a request, which earns a share of a retry.
    pub(crate) fn count_request(&self, now: Instant) {
        self.retry.lock().record_first_attempt(now);
    }

    /// Asks the budget for one more attempt.
    pub(crate) fn ask_budget(&self, now: Instant, allowance: &mut Allowance, cause: Cause) -> bool {
        self.retry.lock().try_spend(now, allowance, cause)
    }

    /// Records the latency of an answer, from which the delay of hedges is computed.
    pub(crate) fn observe(&self, latency: Duration) {
        self.hedge.lock().observe(latency);
    }

    /// How long after the first attempt a hedge may be sent; `None` while too few latencies are
    /// known.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        self.hedge.lock().after()
    }

    /// How many retries were requested and granted so far.
    pub fn retries(&self) -> retry::Count {
        self.retry.lock().count()
    }
}
