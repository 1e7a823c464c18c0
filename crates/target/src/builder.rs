//! Builds a [`Server`] from its settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dialect::Dialect;
use gate::Gate;
use nest::Table;
use unit::{Depth, Instance, Service, Size};

use crate::Server;

const MAX_HELD: Size = Size::of(8_000_000);
const HOLD_FOR: Duration = Duration::from_secs(120);

/// Builds a [`Server`].
#[derive(Clone)]
#[must_use]
pub struct Builder {
    pub(crate) service: Service,
    pub(crate) target: SocketAddr,
    pub(crate) gate: Gate,
    pub(crate) nests: Table,
    pub(crate) max_depth: Depth,
    pub(crate) idle_timeout: Duration,
    pub(crate) held: held::Table,
    pub(crate) dialect: Dialect,
    pub(crate) heartbeats: Option<Heartbeats>,
    pub(crate) link: Option<Link>,
    pub(crate) recovers: bool,
}

/// The machine's link, by which answers to other instances are paced.
#[derive(Clone)]
pub struct Link {
    /// The link.
    pub link: bandwidth::Link,
    /// The own instance, whose entry is reached without the link.
    pub instance: Instance,
}

/// Settings for a target that announces itself by heartbeats.
#[derive(Clone)]
pub struct Heartbeats {
    /// The time between two of its heartbeats.
    pub period: Duration,
    /// The path of its health checks, if one is known.
    pub health_path: HealthPath,
    /// What a cold target bears.
    pub cold_target: ColdTarget,
}

/// What a cold target bears.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdLimits {
    /// Maximum number of requests within any second; `None` if cold targets need no bound.
    pub max_starts: Option<usize>,
    /// How long a target stays cold after it has become so, if that is known.
    pub warmup: Option<Duration>,
}

/// Returns the health path of the targets of the daemon's own service, if it has one.
pub type HealthPath = Arc<dyn Fn() -> Option<String> + Send + Sync>;

/// Returns what the targets of the daemon's own service bear while they are cold.
pub type ColdTarget = Arc<dyn Fn() -> ColdLimits + Send + Sync>;

impl Builder {
    pub(crate) fn new(service: Service, target: SocketAddr, gate: Gate) -> Builder {
        Builder {
            service,
            target,
            gate,
            nests: Table::default(),
            max_depth: Depth(9),
            idle_timeout: Duration::from_secs(60),
            held: held::Table::new(MAX_HELD, HOLD_FOR),
            dialect: Dialect::default(),
            heartbeats: None,
            link: None,
            recovers: false,
        }
    }

    /// The table where running calls are registered, for the outbound port to look up.
    pub fn nests(mut self, nests: Table) -> Builder {
        self.nests = nests;
        self
    }

    /// Maximum nesting depth of calls that are served; 9 by default.
    pub fn max_depth(mut self, depth: Depth) -> Builder {
        self.max_depth = depth;
        self
    }

    /// Maximum pause in an answer's body; 60 s by default.
    pub fn idle_timeout(mut self, timeout: Duration) -> Builder {
        self.idle_timeout = timeout;
        self
    }

    /// The table that keeps answers of requests that may not be repeated; 8 MB for 120 s by default.
    pub fn held(mut self, held: held::Table) -> Builder {
        self.held = held;
        self
    }

    /// The names of headers in requests and answers.
    pub fn dialect(mut self, dialect: Dialect) -> Builder {
        self.dialect = dialect;
        self
    }

    /// The target announces itself by heartbeats. It gets no requests until a heartbeat or a health
    /// check has shown that it is ready.
    pub fn heartbeats(mut self, heartbeats: Heartbeats) -> Builder {
        self.heartbeats = Some(heartbeats);
        self
    }

    /// The machine's link, by which long answers are paced; by default they are not paced.
    pub fn link(mut self, link: Link) -> Builder {
        self.link = Some(link);
        self
    }

    /// Keeps the gate closed until [`Server::recover`] tells which leaves former processes have
    /// acknowledged, or the target has shown for some time that it stays.
    pub fn recovers(mut self) -> Builder {
        self.recovers = true;
        self
    }

    /// Builds the server.
    pub fn build(self) -> Server {
        Server::new(self)
    }
}
