//! The part of one daemon in distributing rules and roster.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use roster::{Record, Roster, Shared};
use serde::Serialize;
use store::{Meter, Store};
use timer::timeout;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use unit::{Era, Instance, Version};

use crate::builder::{Builder, Pace};
use crate::carrier::{self, Carrier};
use crate::confirm::{self, Confirmations, Confirmed, Confirming, Unconfirmed};
use crate::count::{Count, Flow};
use crate::era::OwnObject;
use crate::fetch::Fetch;
use crate::job::{self, Job};
use crate::message::{Answer, Kind, Message};
use crate::relay::Relayed;
use crate::rules_watch::RulesWatch;
use crate::stats::Stats;
use crate::{Current, Error, Rejected, announce, era, fallback, heartbeat, leave, note};

/// Maximum time to wait for an answer.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Distributes rules and roster for one daemon; clones share its state. See the [crate's
/// page](crate).
#[derive(Clone)]
pub struct Feed {
    inner: Arc<Inner>,
}

pub(crate) struct Inner {
    pub(crate) store: Store,
    pub(crate) meter: Meter,
    pub(crate) roster: Arc<Shared>,
    pub(crate) current: Arc<Current>,
    pub(crate) carrier: Carrier,
    pub(crate) prefix: String,
    pub(crate) rules_key: String,
    /// The key prefix of evacuations in the store; `None` if they are not followed.
    pub(crate) evacuation_prefix: Option<String>,
    pub(crate) evacuations: Arc<evacuation::Shared>,
    pub(crate) on_change: Mutex<Box<dyn Fn() + Send + Sync>>,
    /// The roster version for which `on_change` was last called.
    pub(crate) published: Mutex<Version>,
    pub(crate) linked_peers: Box<dyn Fn() -> Vec<Instance> + Send + Sync>,
    pub(crate) mistaken: Box<dyn Fn() -> u64 + Send + Sync>,
    pub(crate) rng: Mutex<Pcg64Mcg>,
    pub(crate) jobs: mpsc::Sender<Job>,
    /// Taken by the first call of [`Feed::run`].
    pub(crate) queue: Mutex<Option<mpsc::Receiver<Job>>>,
    pub(crate) count: Count,
    pub(crate) stats: Stats,
    pub(crate) relayed: Mutex<Relayed>,
    pub(crate) rules_watch: RulesWatch,
    /// The last known state of the own object in the store; locked while the object is written.
    pub(crate) object: tokio::sync::Mutex<OwnObject>,
    /// When the store was last found to have been restored from an older copy.
    pub(crate) rolled_back: Mutex<Option<Instant>>,
    /// Locked during a roster comparison; only one runs at a time.
    pub(crate) syncing: tokio::sync::Mutex<()>,
    /// Locked while objects of other instances are written or deleted.
    pub(crate) repairing: tokio::sync::Mutex<()>,
    pub(crate) fetch: Mutex<Fetch>,
    pub(crate) pace: Pace,
    pub(crate) standing: bool,
    /// Whether only some daemons are announced in the store.
    pub(crate) sparse: bool,
    /// Size of a fleet below which all are announced nevertheless.
    pub(crate) announce_below: usize,
    /// Cancelled once the announcements have been listed for the first time.
    pub(crate) listed: CancellationToken,
    /// Cancelled once this daemon has to be announced in the store.
    pub(crate) needed: CancellationToken,
    /// Cancelled once the other daemons are most likely known.
    pub(crate) joined: CancellationToken,
    /// When this daemon started.
    pub(crate) started: Instant,
    /// `None` if nothing is confirmed.
    pub(crate) confirming: Option<Confirming>,
}

/// The state of a [`Feed`], for operators.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// The version of the rules in force.
    pub rules: Version,
    /// Newer rules that did not parse; left out if there are none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rejected: Option<RejectedState>,
    /// The newest known era of the store.
    pub era: Option<Era>,
    /// Whether this daemon watches the platform for its zone.
    pub watcher: bool,
    /// The zones that are or were evacuated.
    pub evacuations: Vec<evacuation::Record>,
    /// Milliseconds for which the watch on the rules has waited for an answer; left out while there is
    /// none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rules_watch_ms: Option<u64>,
    /// The calls made to the store.
    pub store: store::Count,
    /// Messages and bytes by kind.
    pub flows: BTreeMap<Kind, Flow>,
    /// The age of the configuration; `None` if it is not confirmed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub confirmations: Option<Confirmations>,
}

/// Rules that did not parse, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct RejectedState {
    /// Their version.
    pub version: Version,
    /// Their faults.
    pub cause: String,
    /// Whole seconds for which they have been rejected.
    pub seconds: u64,
}

impl From<Rejected> for RejectedState {
    fn from(rejected: Rejected) -> RejectedState {
        RejectedState {
            version: rejected.version,
            cause: rejected.cause,
            seconds: rejected.since.elapsed().as_secs(),
        }
    }
}

impl Dump {
    /// The bytes of all kinds sent and received on the network; see [`Flow`].
    pub fn network_bytes(&self) -> u64 {
        self.flows.values().map(|flow| flow.network_bytes).sum()
    }
}

impl Feed {
    /// Returns a builder for a feed that puts announcements into `roster` and rules into `current`.
    pub fn builder(store: Store, roster: Arc<Shared>, current: Arc<Current>) -> Builder {
        Builder::new(store, roster, current)
    }

    /// Runs the feed's background tasks until the future is dropped. Only the first call runs them.
    pub async fn run(&self) {
        let queue = self.inner.queue.lock().take();
        let Some(mut queue) = queue else {
            log::error!("feed: already running.");
            return;
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(crate::watch::run(self.inner.clone()));
        tasks.spawn(announce::run(self.inner.clone()));
        tasks.spawn(heartbeat::send_loop(self.inner.clone()));
        tasks.spawn(heartbeat::review_loop(self.inner.clone()));
        tasks.spawn(fallback::run(self.inner.clone()));
        tasks.spawn(era::run(self.inner.clone()));
        let confirming = self.inner.confirming.as_ref();
        if confirming.is_some_and(|confirming| !confirming.is_for_watchers()) {
            tasks.spawn(confirm::run(self.inner.clone()));
        }
        loop {
            tokio::select! {
                Some(job) = queue.recv() => {
                    tasks.spawn(job::run(self.inner.clone(), job));
                }
                Some(Err(error)) = tasks.join_next() => {
                    log::error!("feed: background task failed: {error}.");
                    return;
                }
            }
        }
    }

    /// Answers one message of `from`, which the link has authenticated. This does no I/O; the work
    /// that follows from the message is queued for [`Feed::run`].
    ///
    /// # Errors
    ///
    /// [`Error::UnknownInstance`] if `from` isn't in the roster, [`Error::Wire`] if the payload
    /// doesn't decode, [`Error::Unexpected`] if `from` may not send this message. The caller should
    /// then end the stream without an answer.
    pub fn note(&self, from: &Instance, payload: &[u8]) -> Result<Bytes, Error> {
        note::answer(&self.inner, from, payload)
    }

    /// Merges the record that a peer sends when a link is opened, and synchronizes with the peer if
    /// the record is new here or no rules are in force.
    ///
    /// A daemon that starts while the store is unreachable learns the other instances and the rules
    /// in this way.
    pub fn greeted(&self, record: &Record) {
        let now = Instant::now();
        let me = self.inner.with(|roster| roster.me().clone());
        if record.instance == me {
            return;
        }
        let merged = self.inner.with(|roster| roster.merge(now, record.clone()));
        self.inner.roster.mark_seen(now, &record.instance);
        let lacks = self.inner.current.version() == Version::NONE;
        if merged != roster::Merge::Old || lacks {
            self.inner.enqueue(Job::Probe(record.instance.clone()));
        }
    }

    /// Waits until the other daemons are most likely known, if only some are announced.
    ///
    /// Until then a daemon knows those few. If it sent its requests to them, so would all daemons that
    /// start at the same time.
    pub async fn joined(&self) {
        self.inner.joined.cancelled().await;
    }

    /// Announces that this instance is leaving, first to the other daemons and then to the store.
    ///
    /// Notifies its observers, the watchers of all zones and the daemons with open links in
    /// parallel. It takes at most 2 s for these, and 2 s for the store.
    pub async fn leave(&self) {
        leave::leave(&self.inner).await;
    }

    /// Announces in the same way that this instance has stopped, and deletes its object.
    pub async fn depart(&self) {
        leave::depart(&self.inner, false).await;
    }

    /// Announces that this process ends and another one is about to take its place. Its object is
    /// kept if announcements outlive a restart, and deleted otherwise.
    pub async fn restart(&self) {
        leave::depart(&self.inner, true).await;
    }

    /// The metrics of rules distribution.
    pub fn stats(&self) -> &Stats {
        &self.inner.stats
    }

    /// The newest confirmation; `None` before the first one and without [`Builder::confirm`].
    ///
    /// Its age is at most that of what it states, whatever its way here. Its rules may not be in force
    /// here yet.
    pub fn confirmed(&self) -> Option<Confirmed> {
        self.inner.confirming.as_ref()?.confirmed()
    }

    /// The newest confirmed versions, changed whenever they change; empty before the first
    /// confirmation. `None` without [`Builder::confirm`].
    pub fn confirmed_versions(&self) -> Option<watch::Receiver<Vec<Version>>> {
        let confirming = self.inner.confirming.as_ref();
        confirming.map(Confirming::versions)
    }

    /// Sets whether this daemon is informed of confirmations as soon as a watcher is.
    pub fn hasten_confirmations(&self, hastened: bool) {
        if let Some(confirming) = &self.inner.confirming {
            confirming.hasten(hastened);
        }
    }

    /// Checks that the rules in force are confirmed as the newest. Always true without a revocation
    /// time.
    ///
    /// # Errors
    ///
    /// [`Unconfirmed`] if the last confirmation of these or older rules is too old, or there is none.
    pub fn check_confirmed(&self) -> Result<(), Unconfirmed> {
        match &self.inner.confirming {
            Some(confirming) => confirming.check(self.inner.current.version()),
            None => Ok(()),
        }
    }

    /// The state of confirmations; `None` without [`Builder::confirm`], or if only watchers confirm.
    pub fn confirmations(&self) -> Option<Confirmations> {
        let confirming = self.inner.confirming.as_ref()?;
        if confirming.is_for_watchers() {
            return None;
        }
        Some(confirming.dump(self.inner.current.version()))
    }

    /// The state of the feed, for operators.
    pub fn dump(&self) -> Dump {
        Dump {
            rules: self.inner.current.version(),
            rejected: self.inner.current.rejected().map(RejectedState::from),
            era: self.inner.store.eras().newest(),
            watcher: self.inner.with(|roster| roster.is_watcher()),
            evacuations: self.inner.evacuations.records(),
            rules_watch_ms: self.inner.rules_watch.waited_ms(),
            store: self.inner.meter.count(),
            flows: self.inner.count.flows(),
            confirmations: self.confirmations(),
        }
    }
}

impl From<Inner> for Feed {
    fn from(inner: Inner) -> Feed {
        Feed {
            inner: Arc::new(inner),
        }
    }
}

impl Inner {
    /// Runs `job` on the roster, then calls `on_change` if readers may see a change.
    pub(crate) fn with<T>(&self, job: impl FnOnce(&mut Roster) -> T) -> T {
        let result = self.roster.with(job);
        let version = self.roster.version();
        let newer = {
            let mut published = self.published.lock();
            let newer = version > *published;
            *published = version.max(*published);
            newer
        };
        if newer {
            // Calls are serialized; otherwise a slow reader could overwrite newer state with older.
            let on_change = self.on_change.lock();
            on_change();
        }
        result
    }

    /// Queues a job for [`Feed::run`]. If the queue is full the job is dropped; heartbeats later
    /// detect what was missed.
    pub(crate) fn enqueue(&self, job: Job) {
        let name = job.name();
        if self.jobs.try_send(job).is_err() {
            self.stats.jobs_dropped.inc();
            log::warn!("feed: job queue is full, dropped a job: {name}.");
        }
    }

    pub(crate) fn jitter(&self, max: Duration) -> Duration {
        self.rng.lock().random_range(Duration::ZERO..=max)
    }

    /// Whether this daemon is drawn, one of `count` on average.
    pub(crate) fn draws(&self, count: u32) -> bool {
        self.rng.lock().random_ratio(1, count)
    }

    pub(crate) fn key(&self, instance: &Instance) -> String {
        format!("{}{instance}", self.prefix)
    }

    /// Sends a message and waits for its answer.
    pub(crate) async fn ask(&self, to: &Instance, message: &Message) -> Result<Answer, Error> {
        let payload = wire::codec::pack(message)?;
        self.ask_packed(to, message.kind(), payload, ANSWER_TIMEOUT)
            .await
    }

    /// Sends a message that is already encoded, so that one sent to many is encoded once.
    pub(crate) async fn ask_packed(
        &self,
        to: &Instance,
        kind: Kind,
        payload: Bytes,
        wait: Duration,
    ) -> Result<Answer, Error> {
        let record = self.with(|roster| roster.get(to).cloned());
        let record = record.ok_or_else(|| Error::UnknownInstance(to.clone()))?;
        self.count.sent(kind, payload.len());
        let answer = timeout(wait, (self.carrier)(carrier::peer(&record), payload)).await;
        let answer = answer.unwrap_or_else(|_| Err(Error::Timeout(to.clone())));
        let answer = answer.inspect_err(|_| self.count.failed(kind))?;
        self.count.received(kind, answer.len());
        self.roster.mark_seen(Instant::now(), to);
        Ok(wire::codec::unpack(&answer)?)
    }

    /// Merges a record from another daemon. Returns true if it is now the record held here, whether
    /// or not it was new.
    pub(crate) fn merge(&self, record: &Record) -> bool {
        let now = Instant::now();
        self.with(|roster| {
            roster.merge(now, record.clone());
            roster.get(&record.instance) == Some(record)
        })
    }
}
