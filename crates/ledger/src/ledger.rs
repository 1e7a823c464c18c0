//! The public interface of the ledger.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use store::{Bucket, Store};
use timer::timeout_at;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
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

/// Writes of all shards that may be sent in a burst, so that a few concurrent claims need not wait.
const BURST: u32 = 16;

/// The share of the writes that is reserved for sealing and deleting segments. If these drew on the
/// share of the batches, each segment would delay a whole batch of claims.
const MAINTENANCE_SHARE: f64 = 0.1;

/// Maintenance writes of one shard that may be sent in a burst.
const MAINTENANCE_BURST: u32 = 2;

/// A handle to the ledger. Clones share it; dropping the last one stops its tasks.
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

    /// Claims a key, and waits until the store has confirmed the claim or the key is found taken.
    ///
    /// The wait ends after the configured timeout or at the claim's deadline. Dropping the future
    /// abandons the claim.
    ///
    /// # Errors
    ///
    /// After an error the request must not run; it may be claimed again with a fresh token.
    /// [`Error::retry_after`] says how long to wait before that.
    pub async fn claim(&self, claim: Claim) -> Result<Claimed, Error> {
        let until = claim.deadline;
        match self.submit(Operation::Claim(claim), until).await? {
            Response::Claimed(claimed) => Ok(claimed),
            Response::Failed(error) => Err(error),
            // Claims are never answered with the result of a lookup.
            Response::Found(_) => Ok(Claimed::Mismatch),
        }
    }

    /// The record of a key, or `None` when the key is free.
    ///
    /// # Errors
    ///
    /// If the store does not answer in time.
    pub async fn find(&self, key: Digest) -> Result<Option<Record>, Error> {
        let until = Instant::now() + self.inner.timeout;
        match self.submit(Operation::Find(key), until).await? {
            Response::Found(record) => Ok(record),
            Response::Failed(error) => Err(error),
            // Lookups are never answered with the result of a claim.
            Response::Claimed(_) => Ok(None),
        }
    }

    /// Records how a claimed request ended, and waits until the store holds the record.
    ///
    /// The end is written with a later batch, even if the future is dropped before.
    /// [`Outcome::NotRun`] frees the key; after any other outcome the key stays taken.
    ///
    /// # Errors
    ///
    /// If too many ends are queued, or the ledger closes.
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
    /// Same as [`Ledger::end`].
    pub async fn release(&self, key: Digest, token: Token) -> Result<(), Error> {
        self.record(key, Change::Release(key, token)).await
    }

    /// Waits until an end or a release of the claim with this token is reported here or read from
    /// the store.
    ///
    /// Returns the record as it is then; `None` when the key has become free, or when `until` has
    /// passed. An end reported to another process is noticed when this process next loads the head.
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
                // The claim is in a sealed segment, or it was released.
                return timeout_at(until, self.find(key)).await.ok()?.ok()?;
            }
            timeout_at(until, changed.changed()).await.ok()?.ok()?;
        }
    }

    /// Waits until all queued work is written, for a planned stop; returns whether that was so
    /// before `until`.
    ///
    /// This includes the releases of abandoned claims, for which no caller waits.
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

    /// The preferred owner of a key among the live instances. It is only a hint.
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
        // A grant may arrive at the last moment. After the channel is closed, a later one can't be
        // sent and is released by its sender.
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
