//! The driver of one shard: executes what the shard decides.

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

/// The longest pause between attempts.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// A shard with the resources of its driver.
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

/// Runs the shard: in each turn, delivers its answers and executes its next step.
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

/// Seals frozen generations and deletes segments past the retention, concurrently with the writes.
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
                log::debug!(
                    "ledger: maintenance of shard {} failed: {error}.",
                    driver.number
                );
                sleep(backoff.pause()).await;
            }
        }
    }
}

async fn wait(notify: &Notify, until: Option<Instant>) {
    match until {
        None => notify.notified().await,
        // Polled in a fixed order, so that runs on a paused clock are reproducible.
        Some(until) => tokio::select! {
            biased;
            () = notify.notified() => {}
            () = sleep_until(until) => {}
        },
    }
}

/// Reads the segments that may hold the key of a request, and queues the request again.
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
            // The claim may have been written, so it must be found out whether it was, however long
            // that takes.
            Err(_) if request.maybe_written => sleep(backoff.pause()).await,
            Err(kind) => {
                let response = Response::Failed(driver.error(request.operation.step(), kind));
                return driver.deliver(vec![(request, response)]);
            }
        }
    }
}

impl Driver {
    /// Sends responses. A grant that can't be sent is dropped here and thereby released, which
    /// takes the lock of the shard; so the caller must not hold it.
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
                log::warn!("ledger: loading shard {} failed: {kind}.", self.number);
                self.shard.lock().load_failed(now, backoff.pause());
                self.fail_queued(&kind);
            }
        }
    }

    /// Fails all queued requests at once if waiting can't help.
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
                        // The reporter may have stopped waiting; the record is stored all the same.
                        let _ = reply.send(());
                    });
                self.head_changed();
            }
            Err(error) if error.is_conflict() => {
                log::info!(
                    "ledger: write of shard {} conflicted with another write.",
                    self.number
                );
                self.shard.lock().conflicted();
            }
            Err(error) => {
                log::warn!("ledger: write of shard {} failed: {error}.", self.number);
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

    /// Seals a segment whose number is already taken. The stored bytes are either the same ones,
    /// since the head fixes them, or those of an earlier era of the store, written by a delayed
    /// write. If the newest era is past that of the head, the bytes of this seal are the outdated
    /// ones.
    async fn seal_conflicted(&self, key: &str, seal: &Seal, conflict: Error) -> Result<(), Error> {
        let found = self.store.get(key).await?.ok_or(conflict.clone())?;
        if found.value == seal.bytes {
            return Ok(());
        }
        if self.store.eras().newest() != seal.era {
            return Err(conflict);
        }
        log::warn!(
            "ledger: replacing segment {} of shard {}, written in an earlier era of the store.",
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

    /// Queues the release of a claim that was written although its requester has abandoned it.
    pub(crate) fn release_abandoned(&self, key: Digest, token: Token) {
        log::info!("ledger: claim {token} was abandoned by its requester and is released.");
        self.shard.lock().count.released += 1;
        // An update without a reply is never refused.
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
