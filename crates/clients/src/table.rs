//! The clients of one process, shared by its connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::core::{Core, Id, Limits, Wait};

/// The clients of one process; clones are the same table.
#[derive(Clone)]
pub struct Table {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    /// One for each connection.
    permits: Arc<Semaphore>,
    /// Whether the high-water mark is reached.
    tight: watch::Sender<bool>,
    shed: AtomicU64,
    evicted: AtomicU64,
    turned_away: AtomicU64,
    refused: AtomicU64,
}

struct State {
    core: Core,
    /// Cancelled to close a connection.
    closed: HashMap<Id, CancellationToken>,
}

/// What the clients hold now, and how many have paid for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Connections now.
    pub connections: u64,
    /// Bytes held now.
    pub held: u64,
    /// Connections closed because of what they held.
    pub shed: u64,
    /// Connections closed to make room for others.
    pub evicted: u64,
    /// Connections for which there was no room.
    pub turned_away: u64,
    /// Requests for which there was no room.
    pub refused: u64,
}

/// One connection, until it is dropped.
pub struct Client {
    table: Table,
    id: Id,
    closed: CancellationToken,
    tight: watch::Receiver<bool>,
    _permit: OwnedSemaphorePermit,
}

/// Bytes that a request or an answer holds, until it is dropped.
pub struct Hold {
    table: Table,
    id: Id,
    bytes: AtomicU64,
}

impl Table {
    /// No clients yet.
    pub fn new(limits: Limits) -> Table {
        let state = State {
            core: Core::new(limits),
            closed: HashMap::new(),
        };
        let shared = Shared {
            state: Mutex::new(state),
            permits: Arc::new(Semaphore::new(limits.connections as usize)),
            tight: watch::Sender::new(false),
            shed: AtomicU64::new(0),
            evicted: AtomicU64::new(0),
            turned_away: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        };
        Table {
            shared: Arc::new(shared),
        }
    }

    /// Adds a connection; `None` if all that there may be are serving requests. Otherwise it waits
    /// until the one that makes room has ended, so that their number is never exceeded.
    pub async fn connect(&self) -> Option<Client> {
        let permits = &self.shared.permits;
        let permit = match permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) if self.evict() => permits.clone().acquire_owned().await.ok()?,
            Err(_) => {
                self.shared.turned_away.fetch_add(1, Ordering::Relaxed);
                return None;
            }
        };
        let closed = CancellationToken::new();
        let id = {
            let mut state = self.shared.state.lock();
            let id = state.core.add(Instant::now());
            state.closed.insert(id, closed.clone());
            id
        };
        Some(Client {
            table: self.clone(),
            id,
            closed,
            tight: self.shared.tight.subscribe(),
            _permit: permit,
        })
    }

    /// What the clients hold now.
    pub fn count(&self) -> Count {
        let state = self.shared.state.lock();
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Count {
            connections: state.core.connections() as u64,
            held: state.core.used(),
            shed: read(&self.shared.shed),
            evicted: read(&self.shared.evicted),
            turned_away: read(&self.shared.turned_away),
            refused: read(&self.shared.refused),
        }
    }

    fn evict(&self) -> bool {
        let mut state = self.shared.state.lock();
        let Some(id) = state.core.evict() else {
            return false;
        };
        state.close(id);
        self.shared.evicted.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Changes the state, and closes clients if they hold too much then.
    fn change<T>(&self, change: impl FnOnce(&mut Core) -> T) -> T {
        let mut state = self.shared.state.lock();
        let result = change(&mut state.core);
        self.shed(&mut state, 0);
        let tight = state.core.is_tight();
        drop(state);
        let known = |known: &mut bool| std::mem::replace(known, tight) != tight;
        self.shared.tight.send_if_modified(known);
        result
    }

    /// Closes clients until `bytes` more fit, as far as that goes.
    fn shed(&self, state: &mut State, bytes: u64) {
        let shed = state.core.shed(bytes);
        let count = shed.len() as u64;
        self.shared.shed.fetch_add(count, Ordering::Relaxed);
        for id in shed {
            state.close(id);
        }
    }
}

impl State {
    fn close(&self, id: Id) {
        if let Some(closed) = self.closed.get(&id) {
            closed.cancel();
        }
    }
}

impl Client {
    /// Sets what the buffers of this connection hold, and what it waits for.
    pub fn update(&self, buffers: usize, wait: Wait) {
        let now = Instant::now();
        self.table
            .change(|core| core.update(now, self.id, buffers as u64, wait));
    }

    /// Holds `bytes` for a request; `None` if there is no room, even after others have been closed.
    pub fn try_hold(&self, bytes: usize) -> Option<Hold> {
        let bytes = bytes as u64;
        {
            let mut state = self.table.shared.state.lock();
            self.table.shed(&mut state, bytes);
            if !state.core.fits(bytes) {
                drop(state);
                self.table.shared.refused.fetch_add(1, Ordering::Relaxed);
                return None;
            }
        }
        self.table.change(|core| core.hold(self.id, bytes));
        Some(Hold {
            table: self.table.clone(),
            id: self.id,
            bytes: AtomicU64::new(bytes),
        })
    }

    /// Whether this connection may begin something further, see [`Core::has_share`].
    pub fn has_share(&self) -> bool {
        self.table.shared.state.lock().core.has_share(self.id)
    }

    /// Whether the high-water mark is reached.
    pub fn is_tight(&self) -> bool {
        *self.tight.borrow()
    }

    /// Resolves when the high-water mark is reached, or no longer is.
    pub async fn tight_changed(&mut self) {
        // The sender lives as long as the table.
        drop(self.tight.changed().await);
    }

    /// Resolves when this connection has to end.
    pub fn closed(&self) -> impl Future<Output = ()> + use<> {
        self.closed.clone().cancelled_owned()
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.table.shared.state.lock().closed.remove(&self.id);
        self.table.change(|core| core.remove(self.id));
    }
}

impl Hold {
    /// Holds `bytes` more, which are there already. Others, or this connection, may be closed for it.
    pub fn grow(&self, bytes: usize) {
        let bytes = bytes as u64;
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.table.change(|core| core.hold(self.id, bytes));
    }

    /// Holds `bytes` in place of what it held.
    pub fn set(&self, bytes: usize) {
        let bytes = bytes as u64;
        let before = self.bytes.swap(bytes, Ordering::Relaxed);
        self.table.change(|core| {
            core.release(self.id, before);
            core.hold(self.id, bytes);
        });
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed) as usize
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let bytes = *self.bytes.get_mut();
        self.table.change(|core| core.release(self.id, bytes));
    }
}
