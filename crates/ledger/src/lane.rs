//! The driver of one shard: carries out what the shard decides.

use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use store::{Backoff, Condition, Error, Kind as StoreKind, Store};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};
use unit::{Digest, Token};

use crate::ask::{Ask, Note, Probed, Verdict, Want, What};
use crate::claim::Claimed;
use crate::error::{self, Kind};
use crate::grant::{Grant, Reply};
use crate::head::Path;
use crate::load::{self, Layout};
use crate::setting::Clock;
use crate::shard::{Answer, Chore, Next, Seal, Shard};

/// The first pause after a failure of the store.
const PAUSE: Duration = Duration::from_millis(20);

/// The longest pause between tries.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// One shard with all that its driver needs.
pub(crate) struct Lane {
    pub(crate) number: u16,
    pub(crate) store: Store,
    pub(crate) path: Path,
    pub(crate) layout: Arc<Layout>,
    pub(crate) clock: Clock,
    pub(crate) seed: u64,
    pub(crate) shard: Mutex<Shard>,
    pub(crate) wake: Notify,
    pub(crate) chore: Notify,
    pub(crate) changed: watch::Sender<()>,
    pub(crate) me: Weak<Lane>,
}

/// Decides and carries out, turn by turn.
pub(crate) async fn run(lane: Arc<Lane>) {
    let mut backoff = Backoff::new(PAUSE, MAX_PAUSE, lane.seed);
    let eras = lane.store.eras();
    loop {
        let now = Instant::now();
        let era = eras.newest();
        let turn = {
            let mut shard = lane.shard.lock();
            shard.enter(era, now);
            shard.turn(now, lane.clock.moment(now))
        };
        lane.deliver(turn.answers);
        lane.fail(turn.released, &Kind::Released);
        for (ask, numbers) in turn.probes {
            tokio::spawn(probe(lane.clone(), ask, numbers));
        }
        match turn.next {
            Next::Wait(until) => tokio::select! {
                biased;
                () = rest(&lane.wake, until) => {}
                _ = eras.after(era) => {}
            },
            Next::Load => lane.load(&mut backoff).await,
            Next::Write(bytes, when) => lane.write(bytes, when, &mut backoff).await,
        }
    }
}

/// Seals frozen generations and deletes segments out of the retention, beside the writes.
pub(crate) async fn keep(lane: Arc<Lane>) {
    let mut backoff = Backoff::new(PAUSE, MAX_PAUSE, !lane.seed);
    loop {
        let chore = lane.shard.lock().chore(Instant::now());
        let done = match chore {
            Chore::Wait(until) => {
                rest(&lane.chore, until).await;
                continue;
            }
            Chore::Seal(seal) => lane.seal(seal).await,
            Chore::Sweep(number) => lane.sweep(number).await,
        };
        match done {
            Ok(()) => backoff.reset(),
            Err(error) => {
                log::debug!("ledger: shard {} could not tidy: {error}.", lane.number);
                sleep(backoff.pause()).await;
            }
        }
    }
}

async fn rest(notify: &Notify, until: Option<Instant>) {
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
async fn probe(lane: Arc<Lane>, mut ask: Ask, numbers: Vec<u64>) {
    let mut backoff = Backoff::new(PAUSE, MAX_PAUSE, lane.seed);
    let key = ask.want.key();
    lane.shard.lock().count.probes += 1;
    loop {
        match load::pieces(&lane, key, &numbers).await {
            Ok(pieces) => {
                ask.probed = pieces.map(|pieces| Probed { numbers, pieces });
                lane.shard.lock().queue.push_front(ask);
                lane.wake.notify_one();
                return;
            }
            // Whether this claim has landed must be found out, however long that takes.
            Err(_) if ask.tried => sleep(backoff.pause()).await,
            Err(kind) => {
                let verdict = Verdict::Failed(lane.error(ask.want.step(), kind));
                return lane.deliver(vec![(ask, verdict)]);
            }
        }
    }
}

impl Lane {
    /// Sends verdicts. A grant that can't be sent is dropped here, and so released; therefore no
    /// lock may be held.
    fn deliver(&self, answers: Vec<Answer>) {
        for (ask, verdict) in answers {
            self.shard.lock().count.add(&verdict);
            let reply = match (verdict, &ask.want) {
                (Verdict::Claimed(Claimed::Granted), Want::Claim(claim)) => {
                    Reply::Granted(Grant::new(self.me.clone(), claim.key, claim.token))
                }
                (verdict, _) => Reply::Other(verdict),
            };
            drop(ask.reply.send(reply));
        }
    }

    async fn load(&self, backoff: &mut Backoff) {
        let loaded = load::head(self).await;
        let now = Instant::now();
        match loaded {
            Ok((head, version)) => {
                backoff.reset();
                self.shard.lock().loaded(now, head, version);
                self.moved();
            }
            Err(kind) => {
                log::warn!("ledger: shard {} can't be read: {kind}.", self.number);
                self.shard.lock().load_failed(now, backoff.pause());
                self.refuse(&kind);
            }
        }
    }

    /// Answers all asks at once when waiting can't help.
    fn refuse(&self, kind: &Kind) {
        if !matches!(kind, Kind::LayoutMismatch(_) | Kind::Garbled(_)) {
            return;
        }
        let asks = std::mem::take(&mut self.shard.lock().queue);
        self.fail(asks, kind);
    }

    fn fail(&self, asks: impl IntoIterator<Item = Ask>, kind: &Kind) {
        let failed = |ask: Ask| {
            let error = self.error(ask.want.step(), kind.clone());
            (ask, Verdict::Failed(error))
        };
        self.deliver(asks.into_iter().map(failed).collect());
    }

    async fn write(&self, bytes: Bytes, when: Condition, backoff: &mut Backoff) {
        let result = self.store.put(&self.path.head(), bytes, when).await;
        let now = Instant::now();
        match result {
            Ok(version) => {
                backoff.reset();
                let (answers, notes) = self.shard.lock().written(now, version);
                self.deliver(answers);
                notes
                    .into_iter()
                    .filter_map(|note| note.reply)
                    .for_each(|reply| {
                        // Whoever reported may have stopped waiting; the record stands all the same.
                        let _ = reply.send(());
                    });
                self.moved();
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

    fn moved(&self) {
        self.changed.send_replace(());
        self.chore.notify_one();
    }

    async fn seal(&self, seal: Seal) -> Result<(), Error> {
        let key = self.path.segment(seal.number);
        let put = self.store.put(&key, seal.bytes.clone(), Condition::Absent);
        match put.await {
            Ok(_) => {}
            Err(error) if error.is_conflict() => self.seal_over(&key, &seal, error).await?,
            Err(error) => return Err(error),
        }
        self.shard.lock().sealed(&seal);
        Ok(())
    }

    /// Seals a segment whose number is taken: by these bytes, which the head fixes, or by those of a
    /// former era of the store, whose write has landed late. In an era after that of the head these
    /// bytes are the late ones.
    async fn seal_over(&self, key: &str, seal: &Seal, conflict: Error) -> Result<(), Error> {
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
        let when = Condition::Match(found.version);
        self.store.put(key, seal.bytes.clone(), when).await?;
        Ok(())
    }

    async fn sweep(&self, number: u64) -> Result<(), Error> {
        let key = self.path.segment(number);
        self.store.delete(&key, Condition::Any).await?;
        self.shard.lock().swept(number);
        Ok(())
    }

    /// Notes that a claim was given up although it stands in the store.
    pub(crate) fn give_up(&self, key: Digest, token: Token) {
        log::info!("ledger: claim {token} was given up and is released.");
        self.shard.lock().count.released += 1;
        // A note without a reply is never refused.
        let _ = self.note(What::Free(key, token), None);
    }

    pub(crate) fn note(&self, what: What, reply: Option<oneshot::Sender<()>>) -> Result<(), Kind> {
        let since = Instant::now();
        let note = Note { what, reply, since };
        self.shard.lock().note(note)?;
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
