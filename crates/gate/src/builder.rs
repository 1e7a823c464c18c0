//! The settings of a gate.

use std::time::Duration;

use tokio::time::Instant;

use crate::limit::Law;
use crate::{Core, Gate};

/// Validated settings, as used by the core.
#[derive(Debug, Clone)]
pub(crate) struct Setting {
    pub(crate) slots: u16,
    pub(crate) law: Law,
    pub(crate) reserve: f64,
    pub(crate) queue: usize,
    pub(crate) wait: Duration,
    pub(crate) hot_wait: Duration,
    pub(crate) tokens: usize,
    pub(crate) grace: Duration,
    pub(crate) suspicion: Duration,
    pub(crate) conviction: Duration,
    pub(crate) down_retry: Duration,
    pub(crate) isolate_suspects: bool,
    pub(crate) nested_slot: bool,
}

/// Builds a [`Gate`], or its bare [`Core`].
#[derive(Debug, Clone)]
#[must_use]
pub struct Builder {
    setting: Setting,
}

impl Builder {
    /// Settings for a target that runs `slots` requests at once; 0 counts as 1.
    pub fn new(slots: u16) -> Builder {
        let setting = Setting {
            slots: slots.max(1),
            law: Law::default(),
            reserve: 0.1,
            queue: 1024,
            wait: Duration::from_millis(300),
            hot_wait: Duration::from_millis(5),
            tokens: 131_072,
            grace: Duration::from_secs(40),
            suspicion: Duration::from_secs(120),
            conviction: Duration::from_secs(600),
            down_retry: Duration::from_secs(1),
            isolate_suspects: true,
            nested_slot: false,
        };
        Builder { setting }
    }

    /// Sets how the limit follows the latency.
    pub fn law(mut self, law: Law) -> Builder {
        self.setting.law = law;
        self
    }

    /// Sets the share of the limit that is reserved for urgent requests, from 0 to 0.5; default
    /// 0.1. If it is above 0 and the limit is at least 2, at least one slot is reserved.
    pub fn reserve(mut self, share: f64) -> Builder {
        self.setting.reserve = share.clamp(0.0, 0.5);
        self
    }

    /// Sets whether a slot is kept for nested calls where they are short beside other work and
    /// would otherwise wait for it; default false.
    pub fn nested_slot(mut self, keep: bool) -> Builder {
        self.setting.nested_slot = keep;
        self
    }

    /// Sets the maximum number of waiting requests per urgency; default 1024.
    pub fn queue(mut self, requests: usize) -> Builder {
        self.setting.queue = requests;
        self
    }

    /// Sets the longest expected wait at which a request is still admitted, whatever its deadline;
    /// default 300 ms.
    ///
    /// A queue that is bounded only by deadlines fills up during a peak, and what is served after
    /// the peak is then stale work. With 2 s, 72 % of the requests arriving from one second after a
    /// peak of three times the capacity were answered in time; with 300 ms, all were (`bench
    /// policy`, `storm`).
    pub fn wait(mut self, wait: Duration) -> Builder {
        self.setting.wait = wait;
        self
    }

    /// Sets the expected wait from which the gate reports itself as hot; default 5 ms. It stops
    /// being hot below half of this value.
    pub fn hot_wait(mut self, wait: Duration) -> Builder {
        self.setting.hot_wait = wait;
        self
    }

    /// Sets the maximum number of remembered tokens; default 131,072. New requests are refused once
    /// three quarters are in use; the rest is reserved for fences.
    pub fn tokens(mut self, tokens: usize) -> Builder {
        self.setting.tokens = tokens.max(4);
        self
    }

    /// Sets how long a token is remembered past its deadline and its end; default 40 s.
    ///
    /// This must exceed the idle timeout of a link: a frame is lost when its link closes, so no
    /// frame is in flight for longer than that.
    pub fn grace(mut self, grace: Duration) -> Builder {
        self.setting.grace = grace;
        self
    }

    /// Sets how long a suspicion lasts without another crash; default 120 s.
    pub fn suspicion(mut self, age: Duration) -> Builder {
        self.setting.suspicion = age;
        self
    }

    /// Sets how long a convicted request is refused; default 600 s.
    pub fn conviction(mut self, length: Duration) -> Builder {
        self.setting.conviction = length;
        self
    }

    /// Sets the retry delay reported while the target is unreachable or the token table is full;
    /// default 1 s.
    pub fn down_retry(mut self, after: Duration) -> Builder {
        self.setting.down_retry = after;
        self
    }

    /// Sets whether suspects run in isolation; default true.
    ///
    /// If nearly every request has a path of its own, a bystander of a crash is seen again only
    /// when it is retried, and draining the target for each bystander would cost more than the
    /// crash. When this is false, crashes reported by other gates count too: a kind has the largest
    /// count that any gate knows of, and the third crash convicts.
    pub fn isolate_suspects(mut self, isolate: bool) -> Builder {
        self.setting.isolate_suspects = isolate;
        self
    }

    /// Builds the gate for use under tokio.
    pub fn build(self) -> Gate {
        Gate::new(self.core(Instant::now()))
    }

    /// Builds only the core, for a caller that supplies its own clock.
    pub fn core(self, now: Instant) -> Core {
        Core::new(self.setting, now)
    }
}
