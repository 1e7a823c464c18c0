//! The settings of an entry, and the closures that connect it to the rest of the daemon.

use std::sync::Arc;
use std::time::Duration;

use dialect::Dialect;
use pick::retry;
use rule::Document;
use unit::{Depth, Instance, Service, Size, Zone};
use wire::{Dialer, Peer};

use crate::{Admission, Claims, Entry};

/// Returns the rules in force; `None` before the first ones have arrived.
pub type Rules = Arc<dyn Fn() -> Option<Arc<Document>> + Send + Sync>;

/// Returns the address and certificate of an instance; `None` if it is not known.
pub type Peers = Arc<dyn Fn(&Instance) -> Option<Peer> + Send + Sync>;

/// The limits of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest size of a request's body.
    pub body: Size,
    /// Largest body of a request that may not be repeated; such a body is held in memory.
    pub once_body: Size,
    /// Longest wait for the next chunk of a body, of requests and of answers.
    pub idle_timeout: Duration,
    /// Largest nesting depth of calls.
    pub depth: Depth,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body: Size::of(64_000_000),
            once_body: Size::of(1_000_000),
            idle_timeout: Duration::from_secs(60),
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
    pub(crate) admission: Admission,
    pub(crate) dialect: Dialect,
    pub(crate) retry: retry::Setting,
    pub(crate) max_handovers: Option<u32>,
    pub(crate) choice: pick::Setting,
    pub(crate) home: Option<pick::region::Home>,
    pub(crate) link_timeout: Option<Duration>,
    pub(crate) link: Option<bandwidth::Link>,
}

impl Entry {
    /// Returns a builder for the entry of `instance`, which connects to peers with `dialer`.
    /// Without rules the entry refuses every request.
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
            admission: Admission::open(),
            dialect: Dialect::default(),
            retry: retry::Setting::default(),
            max_handovers: None,
            choice: pick::Setting::default(),
            home: None,
            link_timeout: None,
            link: None,
        }
    }
}

impl Builder {
    /// Sets the source of the rules in force.
    pub fn rules(mut self, rules: Rules) -> Builder {
        self.rules = rules;
        self
    }

    /// Sets the source of the addresses and certificates of peers.
    pub fn peers(mut self, peers: Peers) -> Builder {
        self.peers = peers;
        self
    }

    /// Sets the one-way network delay to another zone; 0.5 ms by default.
    pub fn network_delay(mut self, network_delay: Duration) -> Builder {
        self.network_delay = network_delay;
        self
    }

    /// Sets the limits.
    pub fn limits(mut self, limits: Limits) -> Builder {
        self.limits = limits;
        self
    }

    /// Sets the table that holds the answers of requests that may not be repeated.
    pub fn held(mut self, held: held::Table) -> Builder {
        self.held = held;
        self
    }

    /// Sets the functions that reach the ledger. Without them, requests that may not be repeated
    /// are refused.
    pub fn claims(mut self, claims: Claims) -> Builder {
        self.claims = claims;
        self
    }

    /// Sets the functions that admit the requests of workspaces. By default all are admitted.
    pub fn admission(mut self, admission: Admission) -> Builder {
        self.admission = admission;
        self
    }

    /// Sets the names of the headers of requests and answers.
    pub fn dialect(mut self, dialect: Dialect) -> Builder {
        self.dialect = dialect;
        self
    }

    /// Sets the retry budget of each service.
    pub fn retry(mut self, retry: retry::Setting) -> Builder {
        self.retry = retry;
        self
    }

    /// Sets how many gates may refuse one request before its caller is answered. If it is not set,
    /// each handover is charged to the retry budget.
    pub fn max_handovers(mut self, max: u32) -> Builder {
        self.max_handovers = Some(max);
        self
    }

    /// Sets how targets are chosen.
    pub fn choice(mut self, choice: pick::Setting) -> Builder {
        self.choice = choice;
        self
    }

    /// Sets the region of this instance and the costs of leaving it, which count for services with
    /// targets in other regions. Without it regions are ignored.
    pub fn home(mut self, home: pick::region::Home) -> Builder {
        self.home = Some(home);
        self
    }

    /// Sets how long a request waits for a link to its target before another target is chosen. If
    /// it is not set, the request waits until its deadline.
    ///
    /// This is meant for deployments that keep links open in advance, where a missing link means
    /// that the instance does not respond.
    pub fn link_timeout(mut self, timeout: Duration) -> Builder {
        self.link_timeout = Some(timeout);
        self
    }

    /// Sets the machine's link, by which long answers to callers from outside are paced. By default
    /// they are not paced.
    pub fn link(mut self, link: bandwidth::Link) -> Builder {
        self.link = Some(link);
        self
    }

    /// Builds the entry.
    pub fn build(self) -> Entry {
        Entry::new(self)
    }
}
