//! The settings of an entry, and the closures that tie it to the rest of the daemon.

use std::sync::Arc;
use std::time::Duration;

use dialect::Dialect;
use pick::retry;
use rule::Document;
use unit::{Depth, Instance, Service, Size, Zone};
use wire::{Dialer, Peer};

use crate::{Claims, Entry};

/// Gives the rules in force; `None` before the first have come.
pub type Rules = Arc<dyn Fn() -> Option<Arc<Document>> + Send + Sync>;

/// Tells where an instance listens and what certificate it shows.
pub type Peers = Arc<dyn Fn(&Instance) -> Option<Peer> + Send + Sync>;

/// The bounds of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's body.
    pub body: Size,
    /// Most bytes of the body of a request that may not be repeated; it is held in memory.
    pub once_body: Size,
    /// Longest pause inside a body, either way.
    pub pause: Duration,
    /// Deepest nesting.
    pub depth: Depth,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body: Size::of(64_000_000),
            once_body: Size::of(1_000_000),
            pause: Duration::from_secs(60),
            depth: Depth(9),
        }
    }
}

/// Builds an [`Entry`].
#[must_use]
pub struct Builder {
    pub(crate) instance: Instance,
    pub(crate) zone: Zone,
    pub(crate) service: Service,
    pub(crate) dialer: Arc<Dialer>,
    pub(crate) rules: Rules,
    pub(crate) peers: Peers,
    pub(crate) network_delay: Duration,
    pub(crate) limits: Limits,
    pub(crate) held: held::Table,
    pub(crate) claims: Claims,
    pub(crate) dialect: Dialect,
    pub(crate) retry: retry::Setting,
    pub(crate) max_handovers: Option<u32>,
    pub(crate) choice: pick::Setting,
    pub(crate) link_timeout: Option<Duration>,
}

impl Entry {
    /// An entry of `instance`, which dials with `dialer`. Without rules it refuses everything.
    pub fn builder(
        instance: Instance,
        zone: Zone,
        service: Service,
        dialer: Arc<Dialer>,
    ) -> Builder {
        Builder {
            instance,
            zone,
            service,
            dialer,
            rules: Arc::new(|| None),
            peers: Arc::new(|_| None),
            network_delay: Duration::from_micros(500),
            limits: Limits::default(),
            held: held::Table::new(Size::of(8_000_000), Duration::from_secs(120)),
            claims: Claims::none(),
            dialect: Dialect::default(),
            retry: retry::Setting::default(),
            max_handovers: None,
            choice: pick::Setting::default(),
            link_timeout: None,
        }
    }
}

impl Builder {
    /// Where the rules in force come from.
    pub fn rules(mut self, rules: Rules) -> Builder {
        self.rules = rules;
        self
    }

    /// Where addresses and certificates of peers come from.
    pub fn peers(mut self, peers: Peers) -> Builder {
        self.peers = peers;
        self
    }

    /// The time one way to another zone; 0.5 ms unless set.
    pub fn network_delay(mut self, network_delay: Duration) -> Builder {
        self.network_delay = network_delay;
        self
    }

    /// The bounds.
    pub fn limits(mut self, limits: Limits) -> Builder {
        self.limits = limits;
        self
    }

    /// Where answers of requests that may not be repeated are kept.
    pub fn held(mut self, held: held::Table) -> Builder {
        self.held = held;
        self
    }

    /// The way to the ledger. Without one, requests that may not be repeated are refused.
    pub fn claims(mut self, claims: Claims) -> Builder {
        self.claims = claims;
        self
    }

    /// What headers of requests and answers are called.
    pub fn dialect(mut self, dialect: Dialect) -> Builder {
        self.dialect = dialect;
        self
    }

    /// The budget for tries behind the first, for each service.
    pub fn retry(mut self, retry: retry::Setting) -> Builder {
        self.retry = retry;
        self
    }

    /// How many gates may refuse one request before its caller is told; unless this is set, each
    /// hand-over is paid for out of the retry budget.
    pub fn max_handovers(mut self, most: u32) -> Builder {
        self.max_handovers = Some(most);
        self
    }

    /// How targets are chosen.
    pub fn choice(mut self, choice: pick::Setting) -> Builder {
        self.choice = choice;
        self
    }

    /// How long a request waits for a link to its target before another one is asked; unless this is
    /// set, until its deadline.
    ///
    /// Set it where links are kept in advance, so that a missing one means that nothing answers.
    pub fn link_timeout(mut self, bound: Duration) -> Builder {
        self.link_timeout = Some(bound);
        self
    }

    /// The entry.
    pub fn build(self) -> Entry {
        Entry::new(self)
    }
}
