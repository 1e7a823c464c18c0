//! The ledger as its users see it.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use store::{Bucket, Store};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};
use unit::{Digest, Instance, Outcome, Rate, Token};

use crate::ask::{Ask, Verdict, Want, What};
use crate::claim::{Claim, Claimed, End, Record};
use crate::dump::Dump;
use crate::error::{Error, Kind, Step};
use crate::grant::Reply;
use crate::head::{Path, shard_of};
use crate::lane::{self, Lane};
use crate::load::Layout;
use crate::owner::owner;
use crate::setting::Builder;
use crate::shard::Shard;

/// Writes of all shards that may come together, so that a few claims at once need not wait.
const BURST: u32 = 16;

/// The part of the writes that is kept for sealing and deleting segments. Taken from the batches'
/// part instead, each segment would hold up the claims of a whole batch.
const CHORES: f64 = 0.1;

/// Chores of one shard that may come together.
const CHORE_BURST: u32 = 2;

/// A handle on the ledger; clones share it, and the last one stops its work when dropped.
#[derive(Clone)]
pub struct Ledger {
    inner: Arc<Inner>,
}

struct Inner {
    lanes: Vec<Arc<Lane>>,
    tasks: Vec<JoinHandle<()>>,
    owner: Option<Instance>,
    timeout: Duration,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Ledger {
    /// A builder with the defaults.
    pub fn builder(store: Store) -> Builder {
        Builder::new(store)
    }

    pub(crate) fn open(builder: Builder) -> Ledger {
        let layout = Arc::new(Layout::new(&builder.prefix, builder.shards));
        let share = builder.writes.per_second() / f64::from(builder.shards);
        let burst = (BURST / u32::from(builder.shards)).max(1);
        let lane = |number: u16| {
            let bucket = Bucket::new(Rate::of(share * (1.0 - CHORES)), burst);
            let chores = Bucket::new(Rate::of(share * CHORES), CHORE_BURST);
            let shard = Shard::new(builder.limit, bucket, chores);
            Arc::new_cyclic(|me| Lane {
                number,
                store: builder.store.clone(),
                path: Path::new(&builder.prefix, number),
                layout: layout.clone(),
                clock: builder.clock,
                seed: builder.seed.wrapping_add(u64::from(number)),
                shard: Mutex::new(shard),
                wake: Notify::new(),
                chore: Notify::new(),
                changed: watch::Sender::new(()),
                me: me.clone(),
            })
        };
        let lanes: Vec<Arc<Lane>> = (0..builder.shards).map(lane).collect();
        let mut tasks = Vec::new();
        for lane in &lanes {
            tasks.push(tokio::spawn(lane::run(lane.clone())));
            tasks.push(tokio::spawn(lane::keep(lane.clone())));
        }
        Ledger {
            inner: Arc::new(Inner {
                lanes,
                tasks,
                owner: builder.owner,
                timeout: builder.limit.timeout,
            }),
        }
    }

    /// Claims a key, and waits until the store has confirmed it or the key is found taken.
    ///
    /// The wait is bounded by the patience and by the claim's deadline. Dropping the future gives
    /// the claim up.
    ///
    /// # Errors
    ///
    /// After an error the request must not run, and it is free to be claimed again with a fresh
    /// token. [`Error::retry_after`] says when that is worth while.
    pub async fn claim(&self, claim: Claim) -> Result<Claimed, Error> {
        let until = claim.deadline;
        match self.ask(Want::Claim(claim), until).await? {
            Verdict::Claimed(claimed) => Ok(claimed),
            Verdict::Failed(error) => Err(error),
            // A claim is never answered with a look's verdict.
            Verdict::Found(_) => Ok(Claimed::Mismatch),
        }
    }

    /// The record of a key, or `None` when the key is free.
    ///
    /// # Errors
    ///
    /// When the store gives no answer in time.
    pub async fn find(&self, key: Digest) -> Result<Option<Record>, Error> {
        let until = Instant::now() + self.inner.timeout;
        match self.ask(Want::Look(key), until).await? {
            Verdict::Found(record) => Ok(record),
            Verdict::Failed(error) => Err(error),
            // A look is never answered with a claim's verdict.
            Verdict::Claimed(_) => Ok(None),
        }
    }

    /// Records how a claimed request ended, and waits until the store holds it.
    ///
    /// It rides on a later batch. It is written also when the future is dropped before.
    /// [`Outcome::NotRun`] frees the key; after any other outcome the key stays taken.
    ///
    /// # Errors
    ///
    /// When too many ends wait already, or the ledger closes.
    pub async fn end(&self, end: End) -> Result<(), Error> {
        let key = end.key;
        let what = match end.outcome {
            Outcome::NotRun => What::Free(key, end.token),
            Outcome::Ran | Outcome::Unknown | Outcome::AlreadyRun => What::End(end),
        };
        self.note(key, what).await
    }

    /// Frees the key of a claim whose request certainly never ran.
    ///
    /// # Errors
    ///
    /// As [`Ledger::end`].
    pub async fn release(&self, key: Digest, token: Token) -> Result<(), Error> {
        self.note(key, What::Free(key, token)).await
    }

    /// Waits until an end or a release of this try is reported here, or seen in the store.
    ///
    /// Answers the record as it is then: `None` when the key has become free, or at `until`. Another
    /// process's end is seen when this process next loads the head.
    pub async fn wait(&self, key: Digest, token: Token, until: Instant) -> Option<Record> {
        let lane = self.lane(key);
        let mut changed = lane.changed.subscribe();
        loop {
            let (over, peek) = {
                let shard = lane.shard.lock();
                (shard.is_over(key, token), shard.peek(key))
            };
            if over && peek.is_some() {
                return peek;
            }
            if over {
                // Its claim lies in a sealed segment, or it was released.
                return timeout_at(until, self.find(key)).await.ok()?.ok()?;
            }
            timeout_at(until, changed.changed()).await.ok()?.ok()?;
        }
    }

    /// Waits until all that was reported is written, for a planned stop; answers whether it is.
    ///
    /// Releases of claims that were given up have nobody else who waits for them.
    pub async fn flush(&self, until: Instant) -> bool {
        for lane in &self.inner.lanes {
            let mut changed = lane.changed.subscribe();
            while !lane.shard.lock().is_settled() {
                if timeout_at(until, changed.changed()).await.is_err() {
                    return false;
                }
            }
        }
        true
    }

    /// The instance that should be asked for a key, among the live ones: a hint.
    pub fn owner<'a>(&self, key: Digest, instances: &'a [Instance]) -> Option<&'a Instance> {
        owner(self.lane(key).number, instances)
    }

    /// The state of this ledger.
    pub fn dump(&self) -> Dump {
        let now = Instant::now();
        let lanes = self.inner.lanes.iter();
        Dump {
            owner: self.inner.owner.clone(),
            shards: lanes
                .map(|lane| lane.shard.lock().dump(lane.number, now))
                .collect(),
        }
    }

    async fn ask(&self, want: Want, until: Instant) -> Result<Verdict, Error> {
        let (key, step) = (want.key(), want.step());
        let lane = self.lane(key);
        let now = Instant::now();
        let until = until.min(now + self.inner.timeout);
        let (reply, mut answer) = oneshot::channel();
        let ask = Ask {
            want,
            reply,
            tried: false,
            probed: None,
        };
        let offered = lane.shard.lock().offer(ask, now);
        offered.map_err(|kind| lane.error(step, kind))?;
        lane.wake.notify_one();
        match timeout_at(until, &mut answer).await {
            Ok(Ok(reply)) => return Ok(open(reply)),
            Ok(Err(_)) => return Err(lane.error(step, Kind::Closed)),
            Err(_) => {}
        }
        // A grant can arrive at the last moment. Once the channel is closed none can, and one that
        // comes too late is released by whoever fails to send it.
        answer.close();
        match answer.try_recv() {
            Ok(reply) => Ok(open(reply)),
            Err(_) => Err(lane.error(step, Kind::TimedOut)),
        }
    }

    async fn note(&self, key: Digest, what: What) -> Result<(), Error> {
        let lane = self.lane(key);
        let (reply, written) = oneshot::channel();
        let noted = lane.note(what, Some(reply));
        noted.map_err(|kind| lane.error(Step::End, kind))?;
        let closed = |_| lane.error(Step::End, Kind::Closed);
        written.await.map_err(closed)
    }

    fn lane(&self, key: Digest) -> &Arc<Lane> {
        let shards = u16::try_from(self.inner.lanes.len()).unwrap_or(u16::MAX);
        &self.inner.lanes[usize::from(shard_of(key, shards))]
    }
}

fn open(reply: Reply) -> Verdict {
    match reply {
        Reply::Granted(grant) => {
            grant.take();
            Verdict::Claimed(Claimed::Granted)
        }
        Reply::Other(verdict) => verdict,
    }
}
