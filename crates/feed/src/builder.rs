//! How a [`Feed`] is set up.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use roster::Shared;
use store::{Meter, Store};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use unit::{Instance, Rate};

use crate::carry::Carrier;
use crate::count::Count;
use crate::era::Held;
use crate::feed::{Feed, Inner};
use crate::relay::Passed;
use crate::stats::Stats;
use crate::{Current, Error};

/// Calls on the store that one daemon may make each second for rules and roster. The two waiting
/// watches of a watcher hold one call a second each.
const CALLS: Rate = Rate::of(8.0);
const BURST: u32 = 20;
/// Work that may wait to be begun. What is over it is dropped, and found again by beats.
const JOBS: usize = 4_096;

/// Builds a [`Feed`]; the prefix and the key have the defaults of the settings.
pub struct Builder {
    store: Store,
    roster: Arc<Shared>,
    current: Arc<Current>,
    carrier: Carrier,
    prefix: String,
    rules_key: String,
    changed: Box<dyn Fn() + Send + Sync>,
    linked: Box<dyn Fn() -> Vec<Instance> + Send + Sync>,
    mistaken: Box<dyn Fn() -> u64 + Send + Sync>,
    seed: u64,
    pace: Pace,
    standing: bool,
}

/// How long a feed waits at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// How long a watch on the announcements waits.
    pub instances: Duration,
    /// How long a watch on the rules waits.
    ///
    /// A watch may go silent without an error. It is then given up after its wait and the time-out
    /// of a call (1 s), and the rules are read. With 3 s rules come within the five seconds that
    /// operators are promised even if the watches of all watchers go silent together. A store
    /// whose connections are probed can be left waiting for longer.
    pub rules: Duration,
    /// How long a watch on the announcements pauses behind each answer, so that changes in a row cost
    /// one call. Those that start or leave tell the others by links meanwhile.
    pub gather: Duration,
    /// The same for the watch on the rules, which no link tells before it.
    pub gather_rules: Duration,
    /// The longest pause between two tries while the platform can't be reached.
    pub pause: Duration,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            instances: Duration::from_secs(10),
            rules: Duration::from_secs(3),
            gather: Duration::from_millis(200),
            gather_rules: Duration::from_millis(100),
            pause: Duration::from_secs(5),
        }
    }
}

impl Builder {
    pub(crate) fn new(store: Store, roster: Arc<Shared>, current: Arc<Current>) -> Builder {
        let nowhere: Carrier =
            Arc::new(|peer, _| Box::pin(async move { Err(Error::Stranger(peer.instance)) }));
        Builder {
            store,
            roster,
            current,
            carrier: nowhere,
            prefix: "instances/".to_string(),
            rules_key: "rules".to_string(),
            changed: Box::new(|| ()),
            linked: Box::new(Vec::new),
            mistaken: Box::new(|| 0),
            seed: 0,
            pace: Pace::default(),
            standing: false,
        }
    }

    /// What carries messages to other daemons; see [`over`](crate::over).
    pub fn carrier(mut self, carrier: Carrier) -> Builder {
        self.carrier = carrier;
        self
    }

    /// What the keys of announcements begin with.
    pub fn prefix(mut self, prefix: &str) -> Builder {
        self.prefix = prefix.to_string();
        self
    }

    /// The key of the rules.
    pub fn rules_key(mut self, key: &str) -> Builder {
        self.rules_key = key.to_string();
        self
    }

    /// Called when readers of the roster may see a change, by one thread at a time. It must not
    /// call back into the feed.
    pub fn changed(mut self, changed: impl Fn() + Send + Sync + 'static) -> Builder {
        self.changed = Box::new(changed);
        self
    }

    /// Names the daemons with open links, which are told directly when this instance leaves.
    pub fn linked(mut self, linked: impl Fn() -> Vec<Instance> + Send + Sync + 'static) -> Builder {
        self.linked = Box::new(linked);
        self
    }

    /// Counts the dials that met another certificate than the announced one.
    pub fn mistaken(mut self, mistaken: impl Fn() -> u64 + Send + Sync + 'static) -> Builder {
        self.mistaken = Box::new(mistaken);
        self
    }

    /// How long the feed waits at the platform.
    pub fn pace(mut self, pace: Pace) -> Builder {
        self.pace = pace;
        self
    }

    /// Whether announcements outlive a restart: what the store holds is where an instance is, and
    /// which life it is in is told by links. A restart then costs no write, and each write costs
    /// every watcher a call.
    pub fn standing(mut self, standing: bool) -> Builder {
        self.standing = standing;
        self
    }

    /// Seeds the jitter of waits.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = seed;
        self
    }

    /// The feed; nothing happens before [`Feed::run`].
    pub fn build(self) -> Feed {
        let meter = Meter::new(CALLS, BURST);
        let (jobs, queue) = mpsc::channel(JOBS);
        let inner = Inner {
            store: meter.over(&self.store),
            meter,
            roster: self.roster,
            current: self.current,
            carrier: self.carrier,
            prefix: self.prefix,
            rules_key: self.rules_key,
            changed: Mutex::new(self.changed),
            published: Mutex::default(),
            linked: self.linked,
            mistaken: self.mistaken,
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(self.seed)),
            jobs,
            queue: Mutex::new(Some(queue)),
            count: Count::default(),
            stats: Stats::default(),
            passed: Mutex::new(Passed::default()),
            object: tokio::sync::Mutex::new(Held::Nothing),
            rolled_back: Mutex::default(),
            syncing: tokio::sync::Mutex::new(()),
            repairing: tokio::sync::Mutex::new(()),
            fetch: Mutex::default(),
            pace: self.pace,
            standing: self.standing,
            listed: CancellationToken::new(),
        };
        Feed::from(inner)
    }
}
