//! The settings of a ledger and their defaults.

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

/// The bounds and times of one shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limit {
    /// Asks that may wait.
    pub(crate) queue: usize,
    /// Claims in one write.
    pub(crate) batch: usize,
    /// Keys within the retention.
    pub(crate) max_keys: usize,
    /// Bytes of a generation at which it is frozen.
    pub(crate) segment_size: usize,
    /// How long a claim waits for the store.
    pub(crate) timeout: Duration,
    /// How long a state that the store confirmed may speak for the store.
    pub(crate) max_staleness: Duration,
    /// How long an end waits for a claim to ride with.
    pub(crate) linger: Duration,
    /// How long claims are kept.
    pub(crate) retention: Duration,
    /// After how long without work a shard forgets its state.
    pub(crate) idle_timeout: Duration,
}

/// Tells the time of day from the runtime's clock, so that tests can advance it.
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

/// The largest roll size: a head holds two generations and one batch, and must stay below the
/// platform's megabyte.
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

    /// Where the ledger's objects lie; `ledger` where none is set. A `/` at its end may be left out.
    pub fn prefix(mut self, prefix: &str) -> Builder {
        self.prefix = prefix.trim_end_matches('/').to_string();
        self
    }

    /// The number of shards. All daemons must agree on it: the first one writes it to the store,
    /// and a ledger that was given another number refuses every claim.
    pub fn shards(mut self, shards: u16) -> Builder {
        self.shards = shards.max(1);
        self
    }

    /// The writes a second that the ledgers of the whole fleet may use together.
    ///
    /// Each shard keeps to its part. Since a shard has one owner, but for short moments, the sum
    /// over the fleet stays within the rate without the daemons talking about it.
    pub fn writes(mut self, rate: Rate) -> Builder {
        self.writes = rate;
        self
    }

    /// Seeds the pauses after failures.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = seed;
        self
    }

    /// The instance of this ledger, for logs and the dump.
    pub fn owner(mut self, owner: Instance) -> Builder {
        self.owner = Some(owner);
        self
    }

    /// The time of day now, where the system's clock is not to be used.
    pub fn moment(mut self, moment: Moment) -> Builder {
        self.clock = Clock {
            origin: Instant::now(),
            moment,
        };
        self
    }

    /// How long claims are kept; a key may run again after that.
    pub fn retention(mut self, retention: Duration) -> Builder {
        self.limit.retention = retention;
        self
    }

    /// The claims that may wait in front of each shard.
    pub fn queue(mut self, asks: usize) -> Builder {
        self.limit.queue = asks;
        self
    }

    /// The claims that go into one write; 1 switches grouping off.
    pub fn batch(mut self, claims: usize) -> Builder {
        self.limit.batch = claims.clamp(1, 2_000);
        self
    }

    /// The keys that one shard may hold within its retention; 8 bytes of memory each.
    pub fn max_keys(mut self, keys: usize) -> Builder {
        self.limit.max_keys = keys;
        self
    }

    /// The size at which the claims of a head become a sealed segment; at most 300 KB.
    pub fn segment_size(mut self, size: Size) -> Builder {
        let bytes = size.bytes().min(MAX_SEGMENT_SIZE);
        self.limit.segment_size = usize::try_from(bytes).unwrap_or(usize::MAX);
        self
    }

    /// How long a claim waits for the store before it is given up.
    pub fn timeout(mut self, timeout: Duration) -> Builder {
        self.limit.timeout = timeout;
        self
    }

    /// How long an end waits for a claim whose write it can ride on.
    pub fn linger(mut self, linger: Duration) -> Builder {
        self.limit.linger = linger;
        self
    }

    /// How long a confirmed state may answer that a key is taken without asking the store.
    pub fn max_staleness(mut self, staleness: Duration) -> Builder {
        self.limit.max_staleness = staleness;
        self
    }

    /// After how long without work a shard forgets its keys, to be read again when needed.
    pub fn idle_timeout(mut self, timeout: Duration) -> Builder {
        self.limit.idle_timeout = timeout;
        self
    }

    /// Opens the ledger; it reads nothing before the first claim.
    pub fn open(self) -> Ledger {
        Ledger::open(self)
    }
}
