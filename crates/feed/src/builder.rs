//! Sets up a [`Feed`].

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use roster::Shared;
use store::{Meter, Store};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use unit::{Instance, Rate};

use crate::carrier::Carrier;
use crate::confirm::{Confirm, Confirming};
use crate::count::Count;
use crate::era::OwnObject;
use crate::feed::{Feed, Inner};
use crate::relay::Relayed;
use crate::rules_watch::RulesWatch;
use crate::stats::Stats;
use crate::{Current, Error};

/// Maximum rate of calls to the store that one daemon makes for rules and roster. The two pending
/// watches of a watcher count as one call per second each.
const STORE_CALL_RATE: Rate = Rate::of(8.0);
const STORE_CALL_BURST: u32 = 20;
/// Maximum number of queued jobs. Further ones are dropped; heartbeats detect what was missed.
const JOB_QUEUE_LEN: usize = 4_096;

/// Builds a [`Feed`]; the prefix and the key have the same defaults as the settings.
pub struct Builder {
    store: Store,
    roster: Arc<Shared>,
    current: Arc<Current>,
    carrier: Carrier,
    prefix: String,
    rules_key: String,
    evacuation_prefix: Option<String>,
    evacuations: Arc<evacuation::Shared>,
    on_change: Box<dyn Fn() + Send + Sync>,
    linked_peers: Box<dyn Fn() -> Vec<Instance> + Send + Sync>,
    mistaken: Box<dyn Fn() -> u64 + Send + Sync>,
    seed: u64,
    pace: Pace,
    standing: bool,
    sparse: bool,
    announce_below: usize,
    confirm: Option<Confirm>,
}

/// How long a feed waits for the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Maximum wait of one watch call on the announcements.
    pub instances_wait: Duration,
    /// Maximum wait of one watch call on the rules.
    ///
    /// A watch may become unresponsive without an error. It is then given up after this wait plus
    /// the timeout of a call (1 s), and the rules are read. With 3 s, rules arrive within the five
    /// seconds promised to operators even if the watches of all watchers become unresponsive
    /// together. For a store whose connections are probed the wait may be longer.
    pub rules_wait: Duration,
    /// Pause of a watch on the announcements after each answer, so that changes in quick succession
    /// cost one call. Instances that start or leave notify the others over links meanwhile.
    pub instances_pause: Duration,
    /// The same for the watch on the rules, which are not sent over links before it reports them.
    pub rules_pause: Duration,
    /// Maximum pause between two attempts while the platform is unreachable.
    pub max_backoff: Duration,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            instances_wait: Duration::from_secs(10),
            rules_wait: Duration::from_secs(3),
            instances_pause: Duration::from_millis(200),
            rules_pause: Duration::from_millis(100),
            max_backoff: Duration::from_secs(5),
        }
    }
}

impl Builder {
    pub(crate) fn new(store: Store, roster: Arc<Shared>, current: Arc<Current>) -> Builder {
        let unreachable: Carrier =
            Arc::new(|peer, _| Box::pin(async move { Err(Error::UnknownInstance(peer.instance)) }));
        Builder {
            store,
            roster,
            current,
            carrier: unreachable,
            prefix: "instances/".to_string(),
            rules_key: "rules".to_string(),
            evacuation_prefix: None,
            evacuations: Arc::default(),
            on_change: Box::new(|| ()),
            linked_peers: Box::new(Vec::new),
            mistaken: Box::new(|| 0),
            seed: 0,
            pace: Pace::default(),
            standing: false,
            sparse: false,
            announce_below: 0,
            confirm: None,
        }
    }

    /// Sets how messages are carried to other daemons; see [`over`](crate::over). By default none
    /// can be reached.
    pub fn carrier(mut self, carrier: Carrier) -> Builder {
        self.carrier = carrier;
        self
    }

    /// Sets the key prefix of announcements; default `instances/`.
    pub fn prefix(mut self, prefix: &str) -> Builder {
        self.prefix = prefix.to_string();
        self
    }

    /// Sets the key of the rules; default `rules`.
    pub fn rules_key(mut self, key: &str) -> Builder {
        self.rules_key = key.to_string();
        self
    }

    /// Follows the evacuations under the key prefix `prefix`, and puts them into `evacuations`. By
    /// default they come from other daemons only.
    pub fn evacuations(
        mut self,
        prefix: Option<&str>,
        evacuations: Arc<evacuation::Shared>,
    ) -> Builder {
        self.evacuation_prefix = prefix.map(str::to_string);
        self.evacuations = evacuations;
        self
    }

    /// Sets a callback for when readers of the roster may see a change. Calls do not overlap. It
    /// must not call back into the feed.
    pub fn on_change(mut self, on_change: impl Fn() + Send + Sync + 'static) -> Builder {
        self.on_change = Box::new(on_change);
        self
    }

    /// Sets the source of the daemons with open links, which are notified directly when this
    /// instance leaves.
    pub fn linked_peers(
        mut self,
        linked_peers: impl Fn() -> Vec<Instance> + Send + Sync + 'static,
    ) -> Builder {
        self.linked_peers = Box::new(linked_peers);
        self
    }

    /// Sets the counter of dials that met another certificate than the announced one.
    pub fn mistaken(mut self, mistaken: impl Fn() -> u64 + Send + Sync + 'static) -> Builder {
        self.mistaken = Box::new(mistaken);
        self
    }

    /// Sets how long the feed waits for the platform.
    pub fn pace(mut self, pace: Pace) -> Builder {
        self.pace = pace;
        self
    }

    /// Sets whether announcements outlive a restart; default false. The store then only says where
    /// an instance is, and links report which life it is in. This saves the write at a restart, and
    /// each write costs every watcher a call.
    pub fn standing(mut self, standing: bool) -> Builder {
        self.standing = standing;
        self
    }

    /// Sets whether only some daemons are announced in the store; default false.
    ///
    /// These are the watchers, and a part of those that have found nobody announced at their start.
    /// All others join through them: whoever opens a link says who it is, and heartbeats bring the
    /// rest of the roster. The store's calls for a start then don't grow with the fleet. It needs
    /// [`Builder::standing`], links that greet, and [`roster::Builder::sparse`].
    pub fn sparse(mut self, sparse: bool) -> Builder {
        self.sparse = sparse;
        self
    }

    /// Sets the size of a fleet below which all of its daemons are announced some seconds after their
    /// start, also where [`Builder::sparse`] is set; default 0. While the announcements of a fleet fit on
    /// a page of a listing they cost a start one write, and after a loss of all power those that reach
    /// the store find those that don't.
    pub fn announce_below(mut self, count: usize) -> Builder {
        self.announce_below = count;
        self
    }

    /// Confirms that the rules in force, and the objects of further keys, are the newest in the
    /// store. By default nothing is confirmed, and no message or call is made for it.
    ///
    /// Without a revocation time and further keys only the watchers take part. The rules are then read
    /// about once a second by one of them, so that a change is in force in time although watches have
    /// become unresponsive.
    pub fn confirm(mut self, confirm: Confirm) -> Builder {
        self.confirm = Some(confirm);
        self
    }

    /// Sets the seed of random waits; default 0.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = seed;
        self
    }

    /// Builds the feed. It is inactive until [`Feed::run`] is called.
    pub fn build(self) -> Feed {
        let meter = Meter::new(STORE_CALL_RATE, STORE_CALL_BURST);
        let confirm = self.confirm;
        let confirming = confirm.map(|confirm| Confirming::new(confirm, &self.rules_key));
        let needed = CancellationToken::new();
        let joined = CancellationToken::new();
        if !self.sparse {
            needed.cancel();
            joined.cancel();
        }
        let (jobs, queue) = mpsc::channel(JOB_QUEUE_LEN);
        let inner = Inner {
            store: meter.over(&self.store),
            meter,
            roster: self.roster,
            current: self.current,
            carrier: self.carrier,
            prefix: self.prefix,
            rules_key: self.rules_key,
            evacuation_prefix: self.evacuation_prefix,
            evacuations: self.evacuations,
            on_change: Mutex::new(self.on_change),
            published: Mutex::default(),
            linked_peers: self.linked_peers,
            mistaken: self.mistaken,
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(self.seed)),
            jobs,
            queue: Mutex::new(Some(queue)),
            count: Count::default(),
            stats: Stats::default(),
            relayed: Mutex::new(Relayed::default()),
            rules_watch: RulesWatch::default(),
            object: tokio::sync::Mutex::new(OwnObject::Nothing),
            rolled_back: Mutex::default(),
            syncing: tokio::sync::Mutex::new(()),
            repairing: tokio::sync::Mutex::new(()),
            fetch: Mutex::default(),
            pace: self.pace,
            standing: self.standing,
            sparse: self.sparse,
            announce_below: self.announce_below,
            listed: CancellationToken::new(),
            needed,
            joined,
            started: Instant::now(),
            confirming,
        };
        Feed::from(inner)
    }
}
