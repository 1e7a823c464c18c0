//! The settings of the role beside a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dialect::Dialect;
use gate::Gate;
use nest::Table;
use unit::{Depth, Service, Size};

use crate::Server;

const HELD: Size = Size::of(8_000_000);
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
}

/// How a target is known that announces itself.
#[derive(Clone)]
pub struct Heartbeats {
    /// The time between two of its heartbeats.
    pub period: Duration,
    /// The path that answers how it is, if one is known.
    pub health_path: HealthPath,
}

/// Tells the health path of the targets of the own service.
pub type HealthPath = Arc<dyn Fn() -> Option<String> + Send + Sync>;

impl Builder {
    pub(crate) fn new(service: Service, target: SocketAddr, gate: Gate) -> Builder {
        Builder {
            service,
            target,
            gate,
            nests: Table::default(),
            max_depth: Depth(9),
            idle_timeout: Duration::from_secs(60),
            held: held::Table::new(HELD, HOLD_FOR),
            dialect: Dialect::default(),
            heartbeats: None,
        }
    }

    /// Where running calls are entered, for the outbound port to look up.
    pub fn nests(mut self, nests: Table) -> Builder {
        self.nests = nests;
        self
    }

    /// Deepest nesting that is served; 9 unless set.
    pub fn max_depth(mut self, depth: Depth) -> Builder {
        self.max_depth = depth;
        self
    }

    /// Longest pause inside an answer's body; 60 s unless set.
    pub fn idle_timeout(mut self, timeout: Duration) -> Builder {
        self.idle_timeout = timeout;
        self
    }

    /// Where answers of requests that may not be repeated are kept; 8 MB for 120 s unless set.
    pub fn held(mut self, held: held::Table) -> Builder {
        self.held = held;
        self
    }

    /// What headers of requests and answers are called.
    pub fn dialect(mut self, dialect: Dialect) -> Builder {
        self.dialect = dialect;
        self
    }

    /// The target announces itself: it gets nothing before it has, or has answered for itself.
    pub fn heartbeats(mut self, heartbeats: Heartbeats) -> Builder {
        self.heartbeats = Some(heartbeats);
        self
    }

    /// The server.
    pub fn build(self) -> Server {
        Server::new(self)
    }
}
