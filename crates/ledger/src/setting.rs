//! Settings of a ledger and their defaults.

use std::time::Duration;

use store::Store;
use tokio::time::Instant;
use unit::{Instance, Rate, Size};

use crate::claim::Moment;
use crate::ledger::Ledger;

/// The settings of a [`Ledger`].
#[derive(Debug, Clone)]
pub struct Builder {
    pub(crate) store: Store,
    pub(crate) prefix: String,
    pub(crate) shards: u16,
    pub(crate) writes: Rate,
    pub(crate) seed: u64,
    pub(crate) owner: Option<Instance>,
    pub(crate) clock: Clock,
    pub(crate) limit: Limit,
}

/// The limits and timings of one shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limit {
    /// Maximum number of queued requests.
    pub(crate) queue: usize,
    /// Maximum number of claims in one write.
    pub(crate) batch: usize,
    /// Maximum number of keys within the retention.
    pub(crate) max_keys: usize,
    /// Size in bytes at which a generation is frozen.
    pub(crate) segment_size: usize,
    /// How long a claim or a lookup waits for the store.
    pub(crate) timeout: Duration,
    /// How long after its last confirmation the cached head may be used to answer.
    pub(crate) max_staleness: Duration,
    /// How long an end waits for a claim to be written with.
    pub(crate) linger: Duration,
    /// How long claims are kept.
    pub(crate) retention: Duration,
    /// How long a shard may be idle before it drops its cached state.
    pub(crate) idle_timeout: Duration,
}

/// Wall-clock time derived from the runtime's clock, so that tests can advance it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: Instant,
    moment: Moment,
}

impl Clock {
    pub(crate) fn moment(&self, now: Instant) -> Moment {
        self.moment
            .after(now.saturating_duration_since(self.origin))
    }
}

/// Maximum segment size in bytes: a head holds two generations and one batch, and must stay below
/// the platform's limit of one megabyte.
const MAX_SEGMENT_SIZE: u64 = 300_000;

impl Builder {
    pub(crate) fn new(store: Store) -> Builder {
        Builder {
            store,
            prefix: "ledger".to_string(),
            shards: 2,
            writes: Rate::of(200.0),
            seed: 0,
            owner: None,
            clock: Clock {
                origin: Instant::now(),
                moment: Moment::now(),
            },
            limit: Limit {
                queue: 4_000,
                batch: 1_000,
                max_keys: 2_000_000,
                segment_size: 32_000,
                timeout: Duration::from_millis(1_000),
                max_staleness: Duration::from_millis(500),
                linger: Duration::from_millis(100),
                retention: Duration::from_secs(24 * 3600),
                idle_timeout: Duration::from_secs(300),
            },
        }
    }

    /// The key prefix of the ledger's objects in the store; `ledger` by default. A trailing `/` may
    /// be left out.
    pub fn prefix(mut self, prefix: &str) -> Builder {
        self.prefix = prefix.trim_end_matches('/').to_string();
        self
    }

    /// The number of shards. All daemons must use the same: the first one writes it to the store,
    /// and a ledger with another number refuses every claim.
    pub fn shards(mut self, shards: u16) -> Builder {
        self.shards = shards.max(1);
        self
    }

    /// The writes per second that the ledgers of the whole fleet may use together.
    ///
    /// Each shard is limited to its share. A shard has one owner except for short moments, so the
    /// fleet stays within the rate without coordination between the daemons.
    pub fn writes(mut self, rate: Rate) -> Builder {
        self.writes = rate;
        self
    }

    /// Seeds the jitter of the backoff after failures.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = seed;
        self
    }

    /// The instance of this ledger, shown in the dump.
    pub fn owner(mut self, owner: Instance) -> Builder {
        self.owner = Some(owner);
        self
    }

    /// Sets the current wall-clock time, in place of the system clock.
    pub fn moment(mut self, moment: Moment) -> Builder {
        self.clock = Clock {
            origin: Instant::now(),
            moment,
        };
        self
    }

    /// How long claims are kept; after that, a key may run again.
    pub fn retention(mut self, retention: Duration) -> Builder {
        self.limit.retention = retention;
        self
    }

    /// The number of claims and lookups that may wait in the queue of each shard.
    pub fn queue(mut self, asks: usize) -> Builder {
        self.limit.queue = asks;
        self
    }

    /// The maximum number of claims in one write, from 1 to 2000; 1 disables batching.
    pub fn batch(mut self, claims: usize) -> Builder {
        self.limit.batch = claims.clamp(1, 2_000);
        self
    }

    /// The number of keys that one shard may hold within its retention; each takes 8 bytes of
    /// memory.
    pub fn max_keys(mut self, keys: usize) -> Builder {
        self.limit.max_keys = keys;
        self
    }

    /// The size at which the claims of a head are sealed into a segment; at most 300 KB.
    pub fn segment_size(mut self, size: Size) -> Builder {
        let bytes = size.bytes().min(MAX_SEGMENT_SIZE);
        self.limit.segment_size = usize::try_from(bytes).unwrap_or(usize::MAX);
        self
    }

    /// How long a claim or a lookup waits for the store before it fails.
    pub fn timeout(mut self, timeout: Duration) -> Builder {
        self.limit.timeout = timeout;
        self
    }

    /// How long an end waits for a claim that it can be written with.
    pub fn linger(mut self, linger: Duration) -> Builder {
        self.limit.linger = linger;
        self
    }

    /// How long a confirmed head may be used to answer without asking the store again.
    pub fn max_staleness(mut self, staleness: Duration) -> Builder {
        self.limit.max_staleness = staleness;
        self
    }

    /// How long a shard may be idle before it drops its keys from memory; they are read again when
    /// needed.
    pub fn idle_timeout(mut self, timeout: Duration) -> Builder {
        self.limit.idle_timeout = timeout;
        self
    }

    /// Opens the ledger. It reads nothing from the store before the first request.
    pub fn open(self) -> Ledger {
        Ledger::open(self)
    }
}
