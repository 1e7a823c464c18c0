//! A pool of connections to the target.
//!
//! Taking a connection and sending a request are separate steps. A connection is taken before the
//! gate's permit is used, so that the request is refused if the target can't be reached. Once
//! dispatched, it would be unknown whether it ran.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::connection::{Connection, Error};

/// A connection that was idle for longer is not used again: something on the path may have
/// dropped its state for it, and a request on it would hang until its deadline.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// The same for a request that may not be repeated. If the target closes an idle connection while the
/// request is on its way, it is unknown whether the request ran; a connection that was just in use
/// isn't closed as idle. A new connection for each such request would be a third of all connections.
const MAX_IDLE_ONCE: Duration = Duration::from_secs(1);

/// A connection is dropped this long before the target's announced keep-alive timeout.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);

/// After an invalid or unsolicited answer, requests that may not be repeated get new connections for
/// this long: with another such answer on a reused connection, it would be unknown whether they ran.
const FRESH_ONLY_FOR: Duration = Duration::from_secs(10);

/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// A pool of connections to one target.
pub(crate) struct Pool {
    target: SocketAddr,
    idle: Mutex<Idle>,
}

#[derive(Default)]
struct Idle {
    /// A stack: the connection used last is used next, so that surplus ones expire.
    connections: Vec<Connection>,
    /// When the target last sent an invalid, truncated or unsolicited answer.
    violated_at: Option<Instant>,
    opened: u64,
}

impl Pool {
    pub(crate) fn new(target: SocketAddr) -> Pool {
        Pool {
            target,
            idle: Mutex::default(),
        }
    }

    pub(crate) fn target(&self) -> SocketAddr {
        self.target
    }

    /// Number of connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.idle.lock().opened
    }

    /// Takes an idle connection or opens one; `once` if the request may not be repeated.
    pub(crate) async fn take(&self, once: bool) -> Result<Connection, Error> {
        if let Some(connection) = self.take_idle(once) {
            return Ok(connection);
        }
        let opened = Connection::open(self.target).await?;
        self.idle.lock().opened += 1;
        Ok(opened)
    }

    /// Returns a connection to the pool, if it may carry another request.
    pub(crate) fn put(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        if connection.is_reusable() && idle.connections.len() < MAX_IDLE_CONNECTIONS {
            idle.connections.push(connection);
        }
    }

    /// Drops all idle connections: a request on a reused one got no answer, or the target has
    /// restarted, so the others may be dead too.
    pub(crate) fn clear(&self) {
        self.idle.lock().connections.clear();
    }

    /// Records that the target sent an invalid, truncated or unsolicited answer.
    pub(crate) fn record_violation(&self) {
        self.idle.lock().violated_at = Some(Instant::now());
    }

    /// Takes an idle connection that can be used, if there is one.
    fn take_idle(&self, once: bool) -> Option<Connection> {
        let mut idle = self.idle.lock();
        idle.connections
            .retain(|connection| connection.idle_since.elapsed() < max_idle(connection));
        let fresh_only = idle
            .violated_at
            .is_some_and(|at| at.elapsed() < FRESH_ONLY_FOR);
        if once && fresh_only {
            return None;
        }
        while let Some(connection) = idle.connections.pop() {
            if once && connection.idle_since.elapsed() >= MAX_IDLE_ONCE {
                idle.connections.push(connection);
                return None;
            }
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }
}

/// Maximum idle time of a connection.
fn max_idle(connection: &Connection) -> Duration {
    let announced = connection
        .keep_alive_timeout
        .map(|timeout| timeout.saturating_sub(CLOSE_MARGIN));
    announced.map_or(MAX_IDLE, |announced| announced.min(MAX_IDLE))
}
