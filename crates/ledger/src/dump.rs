//! The state of a ledger for diagnosis.

use serde::Serialize;
use unit::{Instance, Version};

use crate::claim::Claimed;
use crate::request::Response;
use crate::shard::Shard;

/// The state of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Dump {
    /// The instance of this ledger.
    pub owner: Option<Instance>,
    /// Its shards, in the order of their numbers.
    pub shards: Vec<ShardDump>,
}

/// The state of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ShardDump {
    /// The number of the shard.
    pub number: u16,
    /// The version of the head, where it is loaded and written.
    pub version: Option<Version>,
    /// Claims and lookups in the queue.
    pub queued: usize,
    /// Ends and releases that wait to be written.
    pub notes: usize,
    /// Claims in the write that is in flight.
    pub writing: usize,
    /// Keys in the head.
    pub head_keys: usize,
    /// An upper bound for the encoded size of the head in bytes.
    pub head_bytes: usize,
    /// Keys in the sealed segments.
    pub sealed_keys: usize,
    /// The number of the first segment within the retention.
    pub first: u64,
    /// The number of the next segment to be sealed.
    pub next: u64,
    /// How long the store has been failing, in milliseconds; `None` when it is not.
    pub failing_ms: Option<u64>,
    /// Counters since the start.
    pub count: Count,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Claims granted.
    pub granted: u64,
    /// Claims answered that their key is running.
    pub running: u64,
    /// Claims answered that their key is done.
    pub done: u64,
    /// Claims of a known key with another body.
    pub mismatch: u64,
    /// Claims and lookups refused at once: queue full, store down, too many keys.
    pub refused: u64,
    /// Claims and lookups that failed after they were queued.
    pub failed: u64,
    /// Claims abandoned by their requester before they were written.
    pub given_up: u64,
    /// Claims abandoned by their requester after they were written, and released.
    pub released: u64,
    /// Head writes sent.
    pub writes: u64,
    /// Claims in the writes that the store confirmed.
    pub claims: u64,
    /// Head writes that failed because of another version.
    pub conflicts: u64,
    /// Head writes whose result is unknown.
    pub lost: u64,
    /// Heads loaded.
    pub loads: u64,
    /// Claims and lookups for which sealed segments were read.
    pub probes: u64,
}

impl Count {
    pub(crate) fn add(&mut self, response: &Response) {
        let field = match response {
            Response::Claimed(Claimed::Granted) => &mut self.granted,
            Response::Claimed(Claimed::Running(_)) => &mut self.running,
            Response::Claimed(Claimed::Done(_)) => &mut self.done,
            Response::Claimed(Claimed::Mismatch) => &mut self.mismatch,
            Response::Failed(_) => &mut self.failed,
            Response::Found(_) => return,
        };
        *field += 1;
    }
}

impl Shard {
    pub(crate) fn dump(&self, number: u16, now: tokio::time::Instant) -> ShardDump {
        let cached = self.cached.as_ref();
        let failing = self
            .failing_since
            .map(|at| now.saturating_duration_since(at));
        let ms = |span: std::time::Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        ShardDump {
            number,
            version: cached.and_then(|cached| cached.version),
            queued: self.queue.len(),
            notes: self.updates.len(),
            writing: self
                .in_flight
                .as_ref()
                .map_or(0, |in_flight| in_flight.requests.len()),
            head_keys: cached.map_or(0, |cached| cached.head.len()),
            head_bytes: cached.map_or(0, |cached| cached.head.size_bound()),
            sealed_keys: self.index.len(),
            first: cached.map_or(0, |cached| cached.head.first),
            next: cached.map_or(0, |cached| cached.head.next),
            failing_ms: failing.map(ms),
            count: self.count,
        }
    }
}
