//! Which clients hold what, and which of them are closed, without locks or tasks.

use std::cmp::Reverse;
use std::collections::HashMap;

use tokio::time::Instant;
use unit::Size;

/// The limits on all clients of a process together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes that all clients may hold.
    pub memory: Size,
    /// Most connections at once.
    pub connections: u32,
}

/// What each connection may hold above the high-water mark, however many there are: a request with a
/// short body.
const MIN_SHARE_BYTES: u64 = 64 << 10;

/// A connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(u64);

/// What a connection waits for its client to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// Nothing: its requests are being served.
    Nothing,
    /// Send a request.
    Request,
    /// Send the rest of a body.
    Body,
    /// Read an answer.
    Output,
}

#[derive(Debug)]
struct Holder {
    /// Bytes in buffers of the connection.
    buffers: u64,
    /// Bytes held by requests and answers.
    requests: u64,
    wait: Wait,
    /// When it began to wait for that.
    since: Instant,
    /// Whether it is being closed. What it holds no longer counts.
    closing: bool,
}

impl Holder {
    fn held(&self) -> u64 {
        self.buffers + self.requests
    }

    /// What counts of it.
    fn counted(&self) -> u64 {
        match self.closing {
            true => 0,
            false => self.held(),
        }
    }

    /// Whether closing it frees memory, and harms nobody who waits for an answer that can be sent.
    fn can_be_shed(&self) -> bool {
        !self.closing && matches!(self.wait, Wait::Body | Wait::Output)
    }

    /// Whether it can make room for another connection.
    fn can_be_evicted(&self) -> bool {
        self.wait != Wait::Nothing && !self.closing
    }
}

/// The clients of one process.
///
/// All times are supplied by the caller.
#[derive(Debug)]
pub struct Core {
    limits: Limits,
    holders: HashMap<Id, Holder>,
    next: u64,
    /// What the clients that are not being closed hold.
    used: u64,
    /// Connections that can be shed.
    sheddable: usize,
    /// Whether the high-water mark is reached.
    tight: bool,
}

impl Core {
    /// No clients yet.
    pub fn new(limits: Limits) -> Core {
        Core {
            limits,
            holders: HashMap::new(),
            next: 0,
            used: 0,
            sheddable: 0,
            tight: false,
        }
    }

    /// Adds a connection.
    pub fn add(&mut self, now: Instant) -> Id {
        let id = Id(self.next);
        self.next += 1;
        let holder = Holder {
            buffers: 0,
            requests: 0,
            wait: Wait::Request,
            since: now,
            closing: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a connection that has ended, and all that it holds.
    pub fn remove(&mut self, id: Id) {
        self.close(id);
        self.holders.remove(&id);
    }

    /// Sets what the buffers of a connection hold, and what it waits for.
    pub fn update(&mut self, now: Instant, id: Id, buffers: u64, wait: Wait) {
        self.change(id, |holder| {
            // A client that takes or sends something makes progress.
            if holder.wait != wait || holder.buffers != buffers {
                holder.since = now;
            }
            holder.buffers = buffers;
            holder.wait = wait;
        });
    }

    /// Adds to what the requests of a connection hold.
    pub fn hold(&mut self, id: Id, bytes: u64) {
        self.change(id, |holder| holder.requests += bytes);
    }

    /// Takes from what the requests of a connection hold.
    pub fn release(&mut self, id: Id, bytes: u64) {
        self.change(id, |holder| holder.requests -= bytes);
    }

    /// Whether `bytes` more are within the limit.
    pub fn fits(&self, bytes: u64) -> bool {
        self.used + bytes <= self.limits.memory.bytes()
    }

    /// The connections to close so that `bytes` more are within the limit, as far as there are any:
    /// those that wait for their clients, first the one that holds most.
    pub fn shed(&mut self, bytes: u64) -> Vec<Id> {
        let mut shed = Vec::new();
        if self.fits(bytes) || self.sheddable == 0 {
            return shed;
        }
        let sheddable = self.holders.iter();
        let sheddable = sheddable.filter(|(_, holder)| holder.can_be_shed());
        let mut sheddable: Vec<(u64, Id)> =
            sheddable.map(|(id, holder)| (holder.held(), *id)).collect();
        sheddable.sort_unstable_by_key(|(held, id)| (Reverse(*held), *id));
        for (_, id) in sheddable {
            if self.fits(bytes) {
                break;
            }
            self.close(id);
            shed.push(id);
        }
        shed
    }

    /// The connection to close for another one: of those that wait for a request the one that has
    /// waited longest, or else of all that wait for their clients.
    pub fn evict(&mut self) -> Option<Id> {
        let evictable = self.holders.iter();
        let evictable = evictable.filter(|(_, holder)| holder.can_be_evicted());
        let first = evictable
            .min_by_key(|(id, holder)| (holder.wait != Wait::Request, holder.since, **id))
            .map(|(id, _)| *id)?;
        self.close(first);
        Some(first)
    }

    fn close(&mut self, id: Id) {
        self.change(id, |holder| holder.closing = true);
    }

    /// Changes a connection, and the sums with it.
    fn change(&mut self, id: Id, change: impl FnOnce(&mut Holder)) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        self.used -= holder.counted();
        self.sheddable -= usize::from(holder.can_be_shed());
        change(holder);
        self.used += holder.counted();
        self.sheddable += usize::from(holder.can_be_shed());
        self.update_tight();
    }

    /// Whether a connection may begin something further: all may below the high-water mark, and above
    /// it those that hold less than an equal share.
    pub fn has_share(&self, id: Id) -> bool {
        if !self.tight {
            return true;
        }
        let held = self.holders.get(&id).map_or(0, Holder::held);
        let equal = self.high_water_mark() / self.holders.len().max(1) as u64;
        held < equal.max(MIN_SHARE_BYTES)
    }

    /// Whether the high-water mark is reached.
    pub fn is_tight(&self) -> bool {
        self.tight
    }

    /// Bytes that all clients hold.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Connections, those that are being closed included.
    pub fn connections(&self) -> usize {
        self.holders.len()
    }

    fn high_water_mark(&self) -> u64 {
        self.limits.memory.bytes() / 2
    }

    /// Hysteresis keeps connections from being paused and resumed with every small change.
    fn update_tight(&mut self) {
        let mark = self.high_water_mark();
        self.tight = match self.tight {
            true => self.used > mark / 4 * 3,
            false => self.used > mark,
        };
    }
}
