//! The settings of a gate.

use std::time::Duration;

use tokio::time::Instant;

use crate::limit::Law;
use crate::{Core, Gate};

/// Checked settings, as the core reads them.
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
        };
        Builder { setting }
    }

    /// How the limit follows the latency.
    pub fn law(mut self, law: Law) -> Builder {
        self.setting.law = law;
        self
    }

    /// The share of the limit that only urgent requests may take, 0 to 0.5; at least one slot
    /// when it is above 0 and the limit is 2 or more. 0.1 unless set.
    pub fn reserve(mut self, share: f64) -> Builder {
        self.setting.reserve = share.clamp(0.0, 0.5);
        self
    }

    /// Most requests that wait in each urgency; 1024 unless set.
    pub fn queue(mut self, requests: usize) -> Builder {
        self.setting.queue = requests;
        self
    }

    /// Longest wait that a request may be expected to have, whatever its deadline; 300 ms unless
    /// set.
    ///
    /// A queue that is bounded by deadlines alone fills during a peak, and what is served behind
    /// the peak is then old work. With 2 s, 72 % of the requests from a second after a peak of
    /// three times the capacity were answered in time; with 300 ms, all (`bench policy`, `storm`).
    pub fn wait(mut self, wait: Duration) -> Builder {
        self.setting.wait = wait;
        self
    }

    /// Expected wait from which the gate calls itself hot; 5 ms unless set. It is cold again
    /// below half of it.
    pub fn hot_wait(mut self, wait: Duration) -> Builder {
        self.setting.hot_wait = wait;
        self
    }

    /// Most tokens remembered; 131,072 unless set. New requests are refused at three quarters,
    /// the rest is room for fences.
    pub fn tokens(mut self, tokens: usize) -> Builder {
        self.setting.tokens = tokens.max(4);
        self
    }

    /// How long a token is remembered past its deadline and its end; 40 s unless set.
    ///
    /// It must exceed the idle time-out of a link: a frame dies with its link, so no frame is
    /// under way for longer.
    pub fn grace(mut self, grace: Duration) -> Builder {
        self.setting.grace = grace;
        self
    }

    /// How long a suspicion lasts without another crash; 120 s unless set.
    pub fn suspicion(mut self, age: Duration) -> Builder {
        self.setting.suspicion = age;
        self
    }

    /// How long a convicted request is refused; 600 s unless set.
    pub fn conviction(mut self, length: Duration) -> Builder {
        self.setting.conviction = length;
        self
    }

    /// When to ask again while the target can't be reached or the token table is full; 1 s unless
    /// set.
    pub fn down_retry(mut self, after: Duration) -> Builder {
        self.setting.down_retry = after;
        self
    }

    /// Whether suspects run with nothing beside them; they do unless this is unset.
    ///
    /// Where the paths of requests are alone of their kind, bystanders of a crash don't come again
    /// but as repeats, and a drain for each of them would cost more than the crash. Crashes are then
    /// counted over all gates, and the third convicts.
    pub fn isolate_suspects(mut self, isolate: bool) -> Builder {
        self.setting.isolate_suspects = isolate;
        self
    }

    /// The gate for use under tokio.
    pub fn build(self) -> Gate {
        Gate::new(self.core(Instant::now()))
    }

    /// The bare decisions, for a caller that keeps its own clock.
    pub fn core(self, now: Instant) -> Core {
        Core::new(self.setting, now)
    }
}
