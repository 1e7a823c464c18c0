//! The driver of one shard: carries out what the shard decides.

use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use store::{Backoff, Condition, Error, Kind as StoreKind, Store};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};
use unit::{Digest, Token};

use crate::claim::Claimed;
use crate::error::{self, Kind};
use crate::grant::{Grant, Reply};
use crate::head::ObjectKeys;
use crate::load::{self, Layout};
use crate::request::{Change, Operation, Probe, Request, Response, Update};
use crate::setting::Clock;
use crate::shard::{Answer, Maintenance, Next, Seal, Shard};

/// The first pause after a failure of the store.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// The longest pause between tries.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// One shard with all that its driver needs.
pub(crate) struct Driver {
    pub(crate) number: u16,
    pub(crate) store: Store,
    pub(crate) object_keys: ObjectKeys,
    pub(crate) layout: Arc<Layout>,
    pub(crate) clock: Clock,
    pub(crate) seed: u64,
    pub(crate) shard: Mutex<Shard>,
    pub(crate) wake: Notify,
    pub(crate) maintenance: Notify,
    pub(crate) changed: watch::Sender<()>,
    pub(crate) weak: Weak<Driver>,
}

/// Decides and carries out, turn by turn.
pub(crate) async fn run(driver: Arc<Driver>) {
    let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE, driver.seed);
    let eras = driver.store.eras();
    loop {
        let now = Instant::now();
        let era = eras.newest();
        let turn = {
            let mut shard = driver.shard.lock();
            shard.enter_era(era, now);
            shard.turn(now, driver.clock.moment(now))
        };
        driver.deliver(turn.answers);
        driver.fail(turn.released, &Kind::Released);
        for (request, segments) in turn.probes {
            tokio::spawn(probe(driver.clone(), request, segments));
        }
        match turn.next {
            Next::Wait(until) => tokio::select! {
                biased;
                () = wait(&driver.wake, until) => {}
                _ = eras.after(era) => {}
            },
            Next::Load => driver.load(&mut backoff).await,
            Next::Write(bytes, condition) => driver.write(bytes, condition, &mut backoff).await,
        }
    }
}

/// Seals frozen generations and deletes segments out of the retention, beside the writes.
pub(crate) async fn maintain(driver: Arc<Driver>) {
    let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE, !driver.seed);
    loop {
        let task = driver.shard.lock().maintenance(Instant::now());
        let done = match task {
            Maintenance::Wait(until) => {
                wait(&driver.maintenance, until).await;
                continue;
            }
            Maintenance::Seal(seal) => driver.seal(seal).await,
            Maintenance::Delete(number) => driver.delete_segment(number).await,
        };
        match done {
            Ok(()) => backoff.reset(),
            Err(error) => {
                log::debug!("ledger: shard {} could not tidy: {error}.", driver.number);
                sleep(backoff.pause()).await;
            }
        }
    }
}

async fn wait(notify: &Notify, until: Option<Instant>) {
    match until {
        None => notify.notified().await,
        // In a fixed order, so that a run on a paused clock can be repeated.
        Some(until) => tokio::select! {
            biased;
            () = notify.notified() => {}
            () = sleep_until(until) => {}
        },
    }
}

/// Reads the segments that may hold the key of an ask, and queues the ask again.
async fn probe(driver: Arc<Driver>, mut request: Request, segments: Vec<u64>) {
    let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE, driver.seed);
    let key = request.operation.key();
    driver.shard.lock().count.probes += 1;
    loop {
        match load::events(&driver, key, &segments).await {
            Ok(events) => {
                request.probe = events.map(|events| Probe { segments, events });
                driver.shard.lock().queue.push_front(request);
                driver.wake.notify_one();
                return;
            }
            // Whether this claim has landed must be found out, however long that takes.
            Err(_) if request.maybe_written => sleep(backoff.pause()).await,
            Err(kind) => {
                let response = Response::Failed(driver.error(request.operation.step(), kind));
                return driver.deliver(vec![(request, response)]);
            }
        }
    }
}

impl Driver {
    /// Sends verdicts. A grant that can't be sent is dropped here, and so released; therefore no
    /// lock may be held.
    fn deliver(&self, answers: Vec<Answer>) {
        for (request, response) in answers {
            self.shard.lock().count.add(&response);
            let reply = match (response, &request.operation) {
                (Response::Claimed(Claimed::Granted), Operation::Claim(claim)) => {
                    Reply::Granted(Grant::new(self.weak.clone(), claim.key, claim.token))
                }
                (response, _) => Reply::Other(response),
            };
            drop(request.reply.send(reply));
        }
    }

    async fn load(&self, backoff: &mut Backoff) {
        let loaded = load::head(self).await;
        let now = Instant::now();
        match loaded {
            Ok((head, version)) => {
                backoff.reset();
                self.shard.lock().loaded(now, head, version);
                self.head_changed();
            }
            Err(kind) => {
                log::warn!("ledger: shard {} can't be read: {kind}.", self.number);
                self.shard.lock().load_failed(now, backoff.pause());
                self.fail_queued(&kind);
            }
        }
    }

    /// Answers all asks at once when waiting can't help.
    fn fail_queued(&self, kind: &Kind) {
        if !matches!(kind, Kind::LayoutMismatch(_) | Kind::Garbled(_)) {
            return;
        }
        let requests = std::mem::take(&mut self.shard.lock().queue);
        self.fail(requests, kind);
    }

    fn fail(&self, requests: impl IntoIterator<Item = Request>, kind: &Kind) {
        let failed = |request: Request| {
            let error = self.error(request.operation.step(), kind.clone());
            (request, Response::Failed(error))
        };
        self.deliver(requests.into_iter().map(failed).collect());
    }

    async fn write(&self, bytes: Bytes, condition: Condition, backoff: &mut Backoff) {
        let result = self
            .store
            .put(&self.object_keys.head(), bytes, condition)
            .await;
        let now = Instant::now();
        match result {
            Ok(version) => {
                backoff.reset();
                let (answers, updates) = self.shard.lock().written(now, version);
                self.deliver(answers);
                updates
                    .into_iter()
                    .filter_map(|update| update.reply)
                    .for_each(|reply| {
                        // Whoever reported may have stopped waiting; the record stands all the same.
                        let _ = reply.send(());
                    });
                self.head_changed();
            }
            Err(error) if error.is_conflict() => {
                log::info!("ledger: shard {} was written by another.", self.number);
                self.shard.lock().conflicted();
            }
            Err(error) => {
                log::warn!("ledger: shard {} could not write: {error}.", self.number);
                let pause = pause(&error, backoff);
                let lost = error.may_have_written();
                self.shard.lock().failed(now, pause, lost);
            }
        }
    }

    fn head_changed(&self) {
        self.changed.send_replace(());
        self.maintenance.notify_one();
    }

    async fn seal(&self, seal: Seal) -> Result<(), Error> {
        let key = self.object_keys.segment(seal.number);
        let put = self.store.put(&key, seal.bytes.clone(), Condition::Absent);
        match put.await {
            Ok(_) => {}
            Err(error) if error.is_conflict() => self.seal_conflicted(&key, &seal, error).await?,
            Err(error) => return Err(error),
        }
        self.shard.lock().sealed(&seal);
        Ok(())
    }

    /// Seals a segment whose number is taken: by these bytes, which the head fixes, or by those of a
    /// former era of the store, whose write has landed late. In an era after that of the head these
    /// bytes are the late ones.
    async fn seal_conflicted(&self, key: &str, seal: &Seal, conflict: Error) -> Result<(), Error> {
        let found = self.store.get(key).await?.ok_or(conflict.clone())?;
        if found.value == seal.bytes {
            return Ok(());
        }
        if self.store.eras().newest() != seal.era {
            return Err(conflict);
        }
        log::warn!(
            "ledger: segment {} of shard {} is of a former era of the store and is replaced.",
            seal.number,
            self.number
        );
        let condition = Condition::Match(found.version);
        self.store.put(key, seal.bytes.clone(), condition).await?;
        Ok(())
    }

    async fn delete_segment(&self, number: u64) -> Result<(), Error> {
        let key = self.object_keys.segment(number);
        self.store.delete(&key, Condition::Any).await?;
        self.shard.lock().deleted(number);
        Ok(())
    }

    /// Notes that a claim was given up although it stands in the store.
    pub(crate) fn release_abandoned(&self, key: Digest, token: Token) {
        log::info!("ledger: claim {token} was given up and is released.");
        self.shard.lock().count.released += 1;
        // A note without a reply is never refused.
        let _ = self.push_update(Change::Release(key, token), None);
    }

    pub(crate) fn push_update(
        &self,
        change: Change,
        reply: Option<oneshot::Sender<()>>,
    ) -> Result<(), Kind> {
        let since = Instant::now();
        let update = Update {
            change,
            reply,
            since,
        };
        self.shard.lock().push_update(update)?;
        self.changed.send_replace(());
        self.wake.notify_one();
        Ok(())
    }

    pub(crate) fn error(&self, step: error::Step, kind: Kind) -> error::Error {
        let retry_after = self.shard.lock().retry_after(Instant::now());
        error::Error {
            step,
            shard: self.number,
            kind,
            retry_after,
        }
    }
}

fn pause(error: &Error, backoff: &mut Backoff) -> Duration {
    let pause = backoff.pause();
    match error.kind {
        StoreKind::Budget(retry_after) => pause.max(retry_after),
        _ => pause,
    }
}
