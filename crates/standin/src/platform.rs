//! The platform: its memory, its faults, its clients and their counts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use store::{Change, Condition, Consistency, Count, Kind, Listing, MAX_VALUE, Object, Step, Store};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};
use unit::{Era, Size, Version};

use crate::fault::{Fate, Fault};
use crate::link::{self, Link};
use crate::memory::Memory;

/// The time-out of calls through memory, where none is set.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Changes that the log keeps, where no number is set.
const LOG_LENGTH: usize = 10_000;

/// The platform; clones share it.
#[derive(Clone)]
pub struct Platform {
    inner: Arc<Inner>,
}

struct Inner {
    memory: Mutex<Memory>,
    moved: watch::Sender<Version>,
    fault: Fault,
    count: Mutex<Count>,
    clients: Mutex<BTreeMap<String, Client>>,
    timeout: Duration,
    /// How old a serializable read may be, and the copy that such reads see.
    lag: Duration,
    copy: Mutex<Option<(Instant, Memory)>>,
}

/// What a platform held at some time.
#[derive(Debug, Clone)]
pub struct Snapshot(Memory);

#[derive(Clone)]
struct Client {
    fault: Fault,
    count: Arc<Mutex<Count>>,
}

/// The settings of a [`Platform`].
#[derive(Debug, Clone, Copy)]
pub struct Builder {
    timeout: Duration,
    latency: Duration,
    log_length: usize,
    lag: Duration,
}

impl Builder {
    /// How old the answer of a serializable read may be.
    pub fn lag(mut self, lag: Duration) -> Builder {
        self.lag = lag;
        self
    }

    /// How long the callers through memory wait for an answer.
    pub fn timeout(mut self, timeout: Duration) -> Builder {
        self.timeout = timeout;
        self
    }

    /// How long each call takes; [`Fault::slow`] changes it later.
    pub fn latency(mut self, latency: Duration) -> Builder {
        self.latency = latency;
        self
    }

    /// How many changes a watch can reach back.
    pub fn log_length(mut self, length: usize) -> Builder {
        self.log_length = length;
        self
    }

    /// Opens an empty platform.
    pub fn open(self) -> Platform {
        let fault = Fault::new();
        fault.slow(self.latency);
        Platform {
            inner: Arc::new(Inner {
                memory: Mutex::new(Memory::new(self.log_length)),
                moved: watch::Sender::new(Version::NONE),
                fault,
                count: Mutex::new(Count::default()),
                clients: Mutex::new(BTreeMap::new()),
                timeout: self.timeout,
                lag: self.lag,
                copy: Mutex::new(None),
            }),
        }
    }
}

impl Platform {
    /// A builder for a platform that answers at once.
    pub fn builder() -> Builder {
        Builder {
            timeout: TIMEOUT,
            latency: Duration::ZERO,
            log_length: LOG_LENGTH,
            lag: Duration::ZERO,
        }
    }

    /// A store on this platform for a client without a name of its own.
    pub fn store(&self) -> Store {
        self.store_named("client")
    }

    /// A store on this platform for the client of this name.
    pub fn store_named(&self, name: &str) -> Store {
        link::store(&self.link(name), self.inner.timeout)
    }

    /// The era of the platform.
    pub fn era(&self) -> Era {
        self.inner.memory.lock().revision().era
    }

    /// What the platform holds now, to go back to.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.inner.memory.lock().clone())
    }

    /// Comes back from an older copy: a new era begins, and what was written since is gone.
    ///
    /// Calls that have taken effect, and wait for their answers, are answered in the former era. Watches
    /// that wait end as their history is gone. Reads that may be old may still show the former era.
    pub fn restore(&self, snapshot: Snapshot) {
        self.inner.memory.lock().restore(snapshot.0);
        self.announce();
    }

    /// The faults of the whole platform.
    pub fn fault(&self) -> Fault {
        self.inner.fault.clone()
    }

    /// The faults between the platform and the client of this name.
    pub fn fault_of(&self, name: &str) -> Fault {
        self.client(name).fault
    }

    /// The calls of all clients; `refused` are those refused by rate or while down.
    pub fn count(&self) -> Count {
        *self.inner.count.lock()
    }

    /// The calls of the client of this name.
    pub fn count_of(&self, name: &str) -> Count {
        *self.client(name).count.lock()
    }

    pub(crate) fn link(&self, name: &str) -> Link {
        let client = self.client(name);
        Link {
            platform: self.clone(),
            faults: [self.fault(), client.fault],
            count: client.count,
            era: Arc::default(),
        }
    }

    fn client(&self, name: &str) -> Client {
        let mut clients = self.inner.clients.lock();
        let client = clients.entry(name.to_string()).or_insert_with(|| Client {
            fault: Fault::new(),
            count: Arc::default(),
        });
        client.clone()
    }
}

impl Link {
    pub(crate) async fn get(
        &self,
        key: &str,
        consistency: Consistency,
    ) -> Result<Option<Object>, Kind> {
        self.arrive(Step::Get).await?;
        let object = self.read(consistency, |memory| memory.get(key));
        self.leave().await;
        Ok(object)
    }

    pub(crate) async fn list(
        &self,
        prefix: &str,
        consistency: Consistency,
    ) -> Result<Listing, Kind> {
        self.arrive(Step::List).await?;
        let listing = self.read(consistency, |memory| memory.list(prefix));
        self.leave().await;
        Ok(listing)
    }

    pub(crate) async fn put(
        &self,
        key: &str,
        value: Bytes,
        when: Condition,
    ) -> Result<Version, Kind> {
        let size = Size::of(value.len() as u64);
        if size > MAX_VALUE {
            return Err(Kind::TooLarge(size, MAX_VALUE));
        }
        let write = |memory: &mut Memory| memory.put(key, value, when);
        self.write(Step::Put, write).await
    }

    pub(crate) async fn delete(&self, key: &str, when: Condition) -> Result<(), Kind> {
        let write = |memory: &mut Memory| memory.delete(key, when);
        self.write(Step::Delete, write).await
    }

    async fn write<T>(
        &self,
        step: Step,
        write: impl FnOnce(&mut Memory) -> Result<T, Kind>,
    ) -> Result<T, Kind> {
        self.arrive(step).await?;
        let fate = self.fate();
        sleep(fate.delay).await;
        let result = self.memory(write);
        self.platform.announce();
        self.leave().await;
        if fate.lose {
            return Err(Kind::Lost("cut after the write".to_string()));
        }
        result
    }

    pub(crate) async fn watch(
        &self,
        prefix: &str,
        since: Version,
        wait: Duration,
    ) -> Result<Change, Kind> {
        self.arrive(Step::Watch).await?;
        let _counted = Counted::new(self);
        let _held = self.faults.each_ref().map(Fault::wait);
        let until = Instant::now() + wait;
        let mut moved = self.platform.inner.moved.subscribe();
        let lost = self.faults.each_ref().map(Fault::lost_watches);
        loop {
            let change = self.memory(|memory| memory.since(prefix, since))?;
            let empty = change.changed.is_empty() && change.deleted.is_empty();
            let [whole, own] = self.faults.each_ref().map(Fault::turned_away);
            let over = tokio::select! {
                biased;
                kind = whole => return Err(kind),
                kind = own => return Err(kind),
                moved = timeout_at(until, moved.changed()), if empty => moved.is_err(),
                () = std::future::ready(()), if !empty => false,
            };
            // A watch that meets silence is not answered either when its time is over.
            for fault in &self.faults {
                fault.turn().await?;
            }
            let is_lost = lost != self.faults.each_ref().map(Fault::lost_watches);
            if is_lost || self.faults.iter().any(Fault::watches_dropped) {
                std::future::pending::<()>().await;
            }
            if !empty || over {
                self.leave().await;
                return Ok(change);
            }
        }
    }

    /// Counts a call, and lets it in after half of its time.
    async fn arrive(&self, step: Step) -> Result<(), Kind> {
        self.counts(|count| count.add(step));
        for fault in &self.faults {
            let admitted = fault.admit(step.is_write());
            admitted.inspect_err(|_| self.counts(|count| count.refused += 1))?;
        }
        for fault in &self.faults {
            let [before, _] = fault.halves();
            sleep(before).await;
            fault.pass().await;
            let turned = fault.turn().await;
            turned.inspect_err(|_| self.counts(|count| count.refused += 1))?;
        }
        Ok(())
    }

    async fn leave(&self) {
        for fault in &self.faults {
            let [_, after] = fault.halves();
            sleep(after).await;
        }
    }

    fn fate(&self) -> Fate {
        let [whole, own] = self.faults.each_ref().map(Fault::fate);
        Fate {
            delay: whole.delay + own.delay,
            lose: whole.lose || own.lose,
        }
    }

    /// Reads the memory, or a copy of it that may be old.
    fn read<T>(&self, consistency: Consistency, with: impl FnOnce(&Memory) -> T) -> T {
        let inner = &self.platform.inner;
        if consistency == Consistency::Linearizable {
            return self.memory(|memory| with(memory));
        }
        self.counts(|count| count.serializable += 1);
        let now = Instant::now();
        let mut copy = inner.copy.lock();
        let held = copy.take();
        let held = held.filter(|(at, _)| now.saturating_duration_since(*at) < inner.lag);
        let held = held.unwrap_or_else(|| (now, inner.memory.lock().clone()));
        *self.era.lock() = Some(inner.memory.lock().revision().era);
        let result = with(&held.1);
        *copy = Some(held);
        result
    }

    fn memory<T>(&self, with: impl FnOnce(&mut Memory) -> T) -> T {
        let mut memory = self.platform.inner.memory.lock();
        *self.era.lock() = Some(memory.revision().era);
        with(&mut memory)
    }

    fn counts(&self, with: impl Fn(&mut Count)) {
        with(&mut self.platform.inner.count.lock());
        with(&mut self.count.lock());
    }
}

impl Platform {
    /// Wakes the watches after a write.
    fn announce(&self) {
        let revision = self.inner.memory.lock().revision();
        self.inner.moved.send_replace(revision);
    }
}

/// A waiting watch in the counts, until it is dropped.
struct Counted<'a>(&'a Link);

impl<'a> Counted<'a> {
    fn new(link: &'a Link) -> Counted<'a> {
        link.counts(|count| count.waiting += 1);
        Counted(link)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.counts(|count| count.waiting -= 1);
    }
}
