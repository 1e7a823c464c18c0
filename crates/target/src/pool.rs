//! Connections to the target.
//!
//! A connection is taken first, while the gate's permit is still unused, and sending is a step of
//! its own: so a target that can't be reached makes a refusal and not a doubt.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::connection::{Connection, Error};

/// A connection that was unused for longer is not used again: something between may have lost
/// track of it, and a request on it would hang until its deadline.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// The same for a request that may not be repeated. The target's close may cross with the request,
/// and nobody could tell whether it ran; a connection that was just in use is not closed for its
/// idleness. A connection of its own for each such request cost a third of all connections.
const MAX_IDLE_ONCE: Duration = Duration::from_secs(1);

/// A connection is given up so long before the target says that it closes it.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);

/// For so long after an answer that nobody asked for, requests that may not be repeated get
/// connections of their own: one more such answer, on a kept connection, would leave them in doubt.
const WARY_FOR: Duration = Duration::from_secs(10);

/// Unused connections kept.
const MAX_KEPT: usize = 256;

/// Connections to one target.
pub(crate) struct Pool {
    target: SocketAddr,
    idle: Mutex<Idle>,
}

#[derive(Default)]
struct Idle {
    /// The one used last is used next, so that those in excess age.
    connections: Vec<Connection>,
    wary: Option<Instant>,
    opened: u64,
}

impl Pool {
    pub(crate) fn new(target: SocketAddr) -> Pool {
        Pool {
            target,
            idle: Mutex::default(),
        }
    }

    /// The address of the target.
    pub(crate) fn target(&self) -> SocketAddr {
        self.target
    }

    /// Connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.idle.lock().opened
    }

    /// A connection that is ready for a request; `once` if the request may not be repeated.
    pub(crate) async fn take(&self, once: bool) -> Result<Connection, Error> {
        if let Some(kept) = self.kept(once) {
            return Ok(kept);
        }
        let opened = Connection::open(self.target).await?;
        self.idle.lock().opened += 1;
        Ok(opened)
    }

    /// Keeps a connection, if it may carry another request.
    pub(crate) fn give(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        if connection.is_free() && idle.connections.len() < MAX_KEPT {
            idle.connections.push(connection);
        }
    }

    /// A kept connection has swallowed a request: the others may have gone silent with it.
    pub(crate) fn distrust(&self) {
        self.idle.lock().connections.clear();
    }

    /// The target has sent what nobody asked for.
    pub(crate) fn be_wary(&self) {
        self.idle.lock().wary = Some(Instant::now());
    }

    fn kept(&self, once: bool) -> Option<Connection> {
        let mut idle = self.idle.lock();
        idle.connections
            .retain(|kept| kept.since.elapsed() < bound(kept));
        let wary = idle.wary.is_some_and(|since| since.elapsed() < WARY_FOR);
        if once && wary {
            return None;
        }
        while let Some(kept) = idle.connections.pop() {
            if once && kept.since.elapsed() >= MAX_IDLE_ONCE {
                idle.connections.push(kept);
                return None;
            }
            if kept.is_sound() {
                return Some(kept);
            }
        }
        None
    }
}

/// How long a connection may lie idle.
fn bound(kept: &Connection) -> Duration {
    let said = kept.keep_for.map(|time| time.saturating_sub(CLOSE_MARGIN));
    said.map_or(MAX_IDLE, |said| said.min(MAX_IDLE))
}
