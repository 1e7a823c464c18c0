//! The ledger as its users see it.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use store::{Bucket, Store};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};
use unit::{Digest, Instance, Outcome, Rate, Token};

use crate::claim::{Claim, Claimed, End, Record};
use crate::driver::{self, Driver};
use crate::dump::Dump;
use crate::error::{Error, Kind, Step};
use crate::grant::Reply;
use crate::head::{ObjectKeys, shard_of};
use crate::load::Layout;
use crate::owner::owner;
use crate::request::{Change, Operation, Request, Response};
use crate::setting::Builder;
use crate::shard::Shard;

/// Writes of all shards that may come together, so that a few claims at once need not wait.
const BURST: u32 = 16;

/// The part of the writes that is kept for sealing and deleting segments. Taken from the batches'
/// part instead, each segment would hold up the claims of a whole batch.
const MAINTENANCE_SHARE: f64 = 0.1;

/// Chores of one shard that may come together.
const MAINTENANCE_BURST: u32 = 2;

/// A handle on the ledger; clones share it, and the last one stops its work when dropped.
#[derive(Clone)]
pub struct Ledger {
    inner: Arc<Inner>,
}

struct Inner {
    drivers: Vec<Arc<Driver>>,
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
        let rate = builder.writes.per_second() / f64::from(builder.shards);
        let burst = (BURST / u32::from(builder.shards)).max(1);
        let driver = |number: u16| {
            let bucket = Bucket::new(Rate::of(rate * (1.0 - MAINTENANCE_SHARE)), burst);
            let maintenance = Bucket::new(Rate::of(rate * MAINTENANCE_SHARE), MAINTENANCE_BURST);
            let shard = Shard::new(builder.limit, bucket, maintenance);
            Arc::new_cyclic(|weak| Driver {
                number,
                store: builder.store.clone(),
                object_keys: ObjectKeys::new(&builder.prefix, number),
                layout: layout.clone(),
                clock: builder.clock,
                seed: builder.seed.wrapping_add(u64::from(number)),
                shard: Mutex::new(shard),
                wake: Notify::new(),
                maintenance: Notify::new(),
                changed: watch::Sender::new(()),
                weak: weak.clone(),
            })
        };
        let drivers: Vec<Arc<Driver>> = (0..builder.shards).map(driver).collect();
        let mut tasks = Vec::new();
        for driver in &drivers {
            tasks.push(tokio::spawn(driver::run(driver.clone())));
            tasks.push(tokio::spawn(driver::maintain(driver.clone())));
        }
        Ledger {
            inner: Arc::new(Inner {
                drivers,
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
        match self.submit(Operation::Claim(claim), until).await? {
            Response::Claimed(claimed) => Ok(claimed),
            Response::Failed(error) => Err(error),
            // A claim is never answered with a look's verdict.
            Response::Found(_) => Ok(Claimed::Mismatch),
        }
    }

    /// The record of a key, or `None` when the key is free.
    ///
    /// # Errors
    ///
    /// When the store gives no answer in time.
    pub async fn find(&self, key: Digest) -> Result<Option<Record>, Error> {
        let until = Instant::now() + self.inner.timeout;
        match self.submit(Operation::Find(key), until).await? {
            Response::Found(record) => Ok(record),
            Response::Failed(error) => Err(error),
            // A look is never answered with a claim's verdict.
            Response::Claimed(_) => Ok(None),
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
        let change = match end.outcome {
            Outcome::NotRun => Change::Release(key, end.token),
            Outcome::Ran | Outcome::Unknown | Outcome::AlreadyRun => Change::End(end),
        };
        self.record(key, change).await
    }

    /// Frees the key of a claim whose request certainly never ran.
    ///
    /// # Errors
    ///
    /// As [`Ledger::end`].
    pub async fn release(&self, key: Digest, token: Token) -> Result<(), Error> {
        self.record(key, Change::Release(key, token)).await
    }

    /// Waits until an end or a release of this try is reported here, or seen in the store.
    ///
    /// Answers the record as it is then: `None` when the key has become free, or at `until`. Another
    /// process's end is seen when this process next loads the head.
    pub async fn wait(&self, key: Digest, token: Token, until: Instant) -> Option<Record> {
        let driver = self.driver(key);
        let mut changed = driver.changed.subscribe();
        loop {
            let (finished, peek) = {
                let shard = driver.shard.lock();
                (shard.is_finished(key, token), shard.peek(key))
            };
            if finished && peek.is_some() {
                return peek;
            }
            if finished {
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
        for driver in &self.inner.drivers {
            let mut changed = driver.changed.subscribe();
            while !driver.shard.lock().is_flushed() {
                if timeout_at(until, changed.changed()).await.is_err() {
                    return false;
                }
            }
        }
        true
    }

    /// The instance that should be asked for a key, among the live ones: a hint.
    pub fn owner<'a>(&self, key: Digest, instances: &'a [Instance]) -> Option<&'a Instance> {
        owner(self.driver(key).number, instances)
    }

    /// The state of this ledger.
    pub fn dump(&self) -> Dump {
        let now = Instant::now();
        let drivers = self.inner.drivers.iter();
        Dump {
            owner: self.inner.owner.clone(),
            shards: drivers
                .map(|driver| driver.shard.lock().dump(driver.number, now))
                .collect(),
        }
    }

    async fn submit(&self, operation: Operation, until: Instant) -> Result<Response, Error> {
        let (key, step) = (operation.key(), operation.step());
        let driver = self.driver(key);
        let now = Instant::now();
        let until = until.min(now + self.inner.timeout);
        let (reply, mut answer) = oneshot::channel();
        let request = Request {
            operation,
            reply,
            maybe_written: false,
            probe: None,
        };
        let enqueued = driver.shard.lock().enqueue(request, now);
        enqueued.map_err(|kind| driver.error(step, kind))?;
        driver.wake.notify_one();
        match timeout_at(until, &mut answer).await {
            Ok(Ok(reply)) => return Ok(accept(reply)),
            Ok(Err(_)) => return Err(driver.error(step, Kind::Closed)),
            Err(_) => {}
        }
        // A grant can arrive at the last moment. Once the channel is closed none can, and one that
        // comes too late is released by whoever fails to send it.
        answer.close();
        match answer.try_recv() {
            Ok(reply) => Ok(accept(reply)),
            Err(_) => Err(driver.error(step, Kind::TimedOut)),
        }
    }

    async fn record(&self, key: Digest, change: Change) -> Result<(), Error> {
        let driver = self.driver(key);
        let (reply, written) = oneshot::channel();
        let queued = driver.push_update(change, Some(reply));
        queued.map_err(|kind| driver.error(Step::End, kind))?;
        let closed = |_| driver.error(Step::End, Kind::Closed);
        written.await.map_err(closed)
    }

    fn driver(&self, key: Digest) -> &Arc<Driver> {
        let shards = u16::try_from(self.inner.drivers.len()).unwrap_or(u16::MAX);
        &self.inner.drivers[usize::from(shard_of(key, shards))]
    }
}

fn accept(reply: Reply) -> Response {
    match reply {
        Reply::Granted(grant) => {
            grant.accept();
            Response::Claimed(Claimed::Granted)
        }
        Reply::Other(response) => response,
    }
}
