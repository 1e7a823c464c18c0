//! The decisions of one shard, without I/O.
//!
//! A turn answers the requests that can be answered, and decides the next step: wait, load the
//! head, or write one batch. At most one write is in flight; requests that arrive meanwhile are
//! collected for the next one.
//!
//! The cached head is ahead of the store by the batch in flight. If the write fails definitely, the
//! head is reloaded and the batch is queued again. If its result is unknown, the same bytes are
//! written again under the same condition until the store reports success or a conflict; from then
//! on, a delayed first write can have no effect of its own.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use store::{Bucket, Condition};
use tokio::time::Instant;
use unit::{Era, Version};

use crate::claim::{Claim, Claimed, Moment};
use crate::dump::Count;
use crate::error::Kind;
use crate::head::Head;
use crate::index::Index;
use crate::recent::{self, Recent, Snapshot, Written};
use crate::request::{Operation, Request, Response, Update};
use crate::setting::Limit;
use crate::slot::Generation;

/// The state of one shard.
pub(crate) struct Shard {
    pub(crate) limit: Limit,
    pub(crate) cached: Option<CachedHead>,
    pub(crate) index: Index,
    pub(crate) bucket: Bucket,
    /// The share of the writes that is reserved for maintenance.
    pub(crate) maintenance_bucket: Bucket,
    pub(crate) queue: VecDeque<Request>,
    pub(crate) updates: Vec<Update>,
    pub(crate) in_flight: Option<Batch>,
    pub(crate) recent: Recent,
    /// The newest known era of the store.
    era: Option<Era>,
    pub(crate) count: Count,
    /// Whether the head must be loaded before the next batch.
    pub(crate) needs_load: bool,
    /// The number of the segment that was written for the frozen generation of the head.
    pub(crate) sealed: Option<u64>,
    /// Since when the store has been failing.
    pub(crate) failing_since: Option<Instant>,
    paused_until: Option<Instant>,
    last_active: Option<Instant>,
}

/// The head in memory.
pub(crate) struct CachedHead {
    pub(crate) head: Head,
    pub(crate) version: Option<Version>,
    /// When the store last confirmed that the stored head has this version.
    pub(crate) confirmed_at: Instant,
    /// `head.first` in the stored head.
    pub(crate) stored_first: u64,
    /// The segment number of the frozen generation in the stored head.
    pub(crate) stored_frozen: Option<u64>,
}

/// A batch that is being written.
pub(crate) struct Batch {
    pub(crate) requests: Vec<Request>,
    pub(crate) updates: Vec<Update>,
    pub(crate) bytes: Bytes,
    pub(crate) condition: Condition,
    /// Whether the result of an attempt is unknown, so that its write may still take effect at any
    /// time.
    pub(crate) may_land: bool,
    pub(crate) moment: Moment,
    /// Whether it restores all that an older copy of the store has lost.
    pub(crate) completes_replay: bool,
}

impl Batch {
    fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.requests
            .iter()
            .filter_map(|request| match &request.operation {
                Operation::Claim(claim) => Some(claim),
                _ => None,
            })
    }
}

/// The next step of the driver.
pub(crate) enum Next {
    Wait(Option<Instant>),
    Load,
    Write(Bytes, Condition),
}

/// A response with the request that it answers.
pub(crate) type Answer = (Request, Response);

/// The result of a turn.
pub(crate) struct Turn {
    pub(crate) next: Next,
    pub(crate) answers: Vec<Answer>,
    pub(crate) probes: Vec<(Request, Vec<u64>)>,
    /// Claims that were released through another owner before they were written.
    pub(crate) released: Vec<Request>,
}

/// A frozen generation that is to be written to its segment.
pub(crate) struct Seal {
    pub(crate) number: u64,
    pub(crate) bytes: Bytes,
    /// The era of the store in which the head with the frozen generation was read.
    pub(crate) era: Option<Era>,
}

/// Background work on segments.
pub(crate) enum Maintenance {
    Seal(Seal),
    Delete(u64),
    Wait(Option<Instant>),
}

impl Shard {
    pub(crate) fn new(limit: Limit, bucket: Bucket, maintenance_bucket: Bucket) -> Shard {
        Shard {
            limit,
            cached: None,
            index: Index::default(),
            bucket,
            maintenance_bucket,
            queue: VecDeque::new(),
            updates: Vec::new(),
            in_flight: None,
            recent: Recent::default(),
            era: None,
            count: Count::default(),
            needs_load: true,
            sealed: None,
            failing_since: None,
            paused_until: None,
            last_active: None,
        }
    }

    /// Queues a request, or refuses it at once.
    pub(crate) fn enqueue(&mut self, request: Request, now: Instant) -> Result<(), Kind> {
        let refused = self.refusal(now);
        if let Some(kind) = refused {
            self.count.refused += 1;
            return Err(kind);
        }
        self.last_active = Some(now);
        self.queue.push_back(request);
        Ok(())
    }

    fn refusal(&self, now: Instant) -> Option<Kind> {
        if self.queue.len() >= self.limit.queue {
            return Some(Kind::Full);
        }
        if self.is_down(now) {
            return Some(Kind::Down);
        }
        (self.keys() >= self.limit.max_keys).then_some(Kind::TooManyKeys)
    }

    /// Whether the store has been failing for longer than a claim would wait.
    pub(crate) fn is_down(&self, now: Instant) -> bool {
        let since = |since| now.saturating_duration_since(since);
        self.failing_since
            .is_some_and(|at| since(at) >= self.limit.timeout)
    }

    /// Queues an end or a release, to be written with a later batch.
    pub(crate) fn push_update(&mut self, update: Update) -> Result<(), Kind> {
        // The release of an abandoned claim has no requester that could be told of a refusal. The
        // queue bounds the number of such releases.
        if update.reply.is_some() && self.updates.len() >= self.limit.queue {
            return Err(Kind::Full);
        }
        self.last_active = Some(update.since);
        self.updates.push(update);
        Ok(())
    }

    /// How long to wait before the next attempt.
    pub(crate) fn retry_after(&self, now: Instant) -> Duration {
        let pause = self
            .paused_until
            .map(|until| until.saturating_duration_since(now));
        pause
            .unwrap_or_default()
            .max(Duration::from_millis(100))
            .min(self.limit.timeout)
    }

    /// The number of keys in the head and in the segments.
    pub(crate) fn keys(&self) -> usize {
        let head = self.cached.as_ref().map_or(0, |cached| cached.head.len());
        self.index.len() + head
    }

    /// Answers the requests that can be answered, and decides the next step.
    pub(crate) fn turn(&mut self, now: Instant, moment: Moment) -> Turn {
        let mut turn = Turn {
            next: Next::Wait(None),
            answers: Vec::new(),
            probes: Vec::new(),
            released: Vec::new(),
        };
        turn.next = self.decide(now, moment, &mut turn);
        turn
    }

    fn decide(&mut self, now: Instant, moment: Moment, turn: &mut Turn) -> Next {
        if let Some(until) = self.paused_until.filter(|until| *until > now) {
            return Next::Wait(Some(until));
        }
        self.paused_until = None;
        let has_work = !self.queue.is_empty() || !self.updates.is_empty();
        let has_work = has_work || self.recent.is_pending();
        if self.in_flight.is_none() && (self.needs_load || self.cached.is_none()) {
            let load = has_work || self.failing_since.is_some();
            return if load { Next::Load } else { Next::Wait(None) };
        }
        if self.in_flight.is_none() && !self.is_due(now) {
            return Next::Wait(self.idle_wait(now));
        }
        if let Err(wait) = self.bucket.ready(now) {
            self.paused_until = Some(now + wait);
            return Next::Wait(self.paused_until);
        }
        if self.in_flight.is_none() {
            self.in_flight = self.build_batch(now, moment, turn);
        }
        let Some(batch) = &self.in_flight else {
            return self.after_empty_batch(now);
        };
        let next = Next::Write(batch.bytes.clone(), batch.condition);
        // The bucket was found ready under the same lock.
        let _ = self.bucket.take(now);
        self.count.writes += 1;
        next
    }

    /// Whether a request is queued, or an update that has waited long enough for one.
    fn is_due(&self, now: Instant) -> bool {
        let oldest = self.updates.first().map(|update| update.since);
        let due = oldest.is_some_and(|since| now >= since + self.limit.linger);
        let due = due || self.recent.is_pending();
        due || !self.queue.is_empty() || self.updates.len() >= self.limit.batch
    }

    /// When to wake up without requests; a shard that is idle for long drops its cached state.
    ///
    /// Otherwise a daemon that owns many shards in turn would keep the keys of all of them in
    /// memory.
    fn idle_wait(&mut self, now: Instant) -> Option<Instant> {
        if let Some(update) = self.updates.first() {
            return Some(update.since + self.limit.linger);
        }
        let until = self.last_active? + self.limit.idle_timeout;
        if until > now {
            return Some(until);
        }
        self.cached = None;
        self.index = Index::default();
        self.needs_load = true;
        self.last_active = None;
        None
    }

    fn after_empty_batch(&mut self, now: Instant) -> Next {
        if self.needs_load {
            return Next::Load;
        }
        if self.queue.is_empty() && self.updates.is_empty() {
            return Next::Wait(self.idle_wait(now));
        }
        // The head is full until its frozen generation is sealed.
        self.paused_until = Some(now + self.limit.linger);
        Next::Wait(self.paused_until)
    }

    /// Handles the store's confirmation of the batch.
    pub(crate) fn written(&mut self, now: Instant, version: Version) -> (Vec<Answer>, Vec<Update>) {
        self.failing_since = None;
        let Some(batch) = self.in_flight.take() else {
            return (Vec::new(), Vec::new());
        };
        if let Some(cached) = &mut self.cached {
            cached.version = Some(version);
            cached.confirm(now);
        }
        self.count.claims += batch.requests.len() as u64;
        if batch.completes_replay {
            self.recent.confirm();
        }
        self.record_writes(now, &batch);
        let grant = |request: Request| (request, Response::Claimed(Claimed::Granted));
        (
            batch.requests.into_iter().map(grant).collect(),
            batch.updates,
        )
    }

    fn record_writes(&mut self, now: Instant, batch: &Batch) {
        for claim in batch.claims() {
            let written = Written::Claim(claim.clone(), batch.moment);
            self.recent.push(now, written);
        }
        for update in &batch.updates {
            let written = Written::Change(update.change.clone(), batch.moment);
            self.recent.push(now, written);
        }
    }

    /// Sets the era of the store. When it rises, the head is reloaded, and the recent writes that
    /// it lacks are written again.
    pub(crate) fn enter_era(&mut self, era: Option<Era>, now: Instant) {
        if self.era.is_some() && era > self.era {
            let recently_confirmed =
                |cached: &&CachedHead| cached.confirmed_at + recent::WINDOW > now;
            let cached = self.cached.as_ref().filter(recently_confirmed);
            let snapshot = cached.map(|cached| Snapshot {
                head: cached.head.clone(),
                unconfirmed: self
                    .in_flight
                    .iter()
                    .flat_map(Batch::claims)
                    .map(|claim| claim.token)
                    .collect(),
            });
            self.recent.rolled_back(now, snapshot);
            self.needs_load = true;
            self.sealed = None;
        }
        self.era = era;
    }

    /// Handles a conflict: another write came first, of another owner or of this one with an
    /// unknown result.
    pub(crate) fn conflicted(&mut self) {
        self.failing_since = None;
        self.count.conflicts += 1;
        self.requeue(true);
    }

    /// Handles a failed write; if `lost`, its result is unknown.
    pub(crate) fn failed(&mut self, now: Instant, pause: Duration, lost: bool) {
        self.failing_since.get_or_insert(now);
        self.paused_until = Some(now + pause);
        if lost {
            self.count.lost += 1;
        }
        let may_land = match &mut self.in_flight {
            Some(batch) => {
                batch.may_land |= lost;
                batch.may_land
            }
            None => false,
        };
        if !may_land {
            self.requeue(false);
        }
    }

    /// Queues the batch again, and has the head reloaded.
    fn requeue(&mut self, maybe_written: bool) {
        self.needs_load = true;
        let Some(batch) = self.in_flight.take() else {
            return;
        };
        for mut request in batch.requests.into_iter().rev() {
            request.maybe_written |= maybe_written;
            self.queue.push_front(request);
        }
        self.updates.splice(0..0, batch.updates);
    }

    /// Handles a failure to load the head or a segment.
    pub(crate) fn load_failed(&mut self, now: Instant, pause: Duration) {
        self.failing_since.get_or_insert(now);
        self.paused_until = Some(now + pause);
    }

    /// The segments of a head that the index lacks.
    pub(crate) fn missing(&self, head: &Head) -> Vec<u64> {
        let named = head.first..head.next;
        named.filter(|n| !self.index.contains(*n)).collect()
    }

    /// Handles a loaded head; the index must hold all of its segments.
    pub(crate) fn loaded(&mut self, now: Instant, head: Head, version: Option<Version>) {
        self.failing_since = None;
        self.needs_load = false;
        self.count.loads += 1;
        self.index.retain(head.first..head.next);
        if self.sealed != Some(head.next) {
            self.sealed = None;
        }
        let mut cached = CachedHead {
            head,
            version,
            confirmed_at: now,
            stored_first: 0,
            stored_frozen: None,
        };
        cached.confirm(now);
        self.cached = Some(cached);
    }

    /// The next background work that the stored head requires.
    pub(crate) fn maintenance(&mut self, now: Instant) -> Maintenance {
        let cached = self.cached.as_ref().filter(|_| !self.needs_load);
        let Some(cached) = cached else {
            return Maintenance::Wait(None);
        };
        let seal = cached
            .stored_frozen
            .filter(|number| self.sealed != Some(*number));
        let frozen = cached
            .head
            .frozen
            .as_ref()
            .and_then(crate::head::encode_segment);
        if let (Some(number), Some(bytes)) = (seal, frozen) {
            // A seal beyond the maintenance share is charged to the batches. They would otherwise
            // take each write as it becomes available, and the head would grow until it accepts no
            // more claims.
            if self.maintenance_bucket.take(now).is_err() {
                self.bucket.charge(now);
            }
            let era = self.era;
            return Maintenance::Seal(Seal { number, bytes, era });
        }
        if cached.head.deleted >= cached.stored_first {
            return Maintenance::Wait(None);
        }
        match self.maintenance_bucket.take(now) {
            Ok(()) => Maintenance::Delete(cached.head.deleted),
            Err(wait) => Maintenance::Wait(Some(now + wait)),
        }
    }

    /// Records that a segment was written, unless the store was restored from an older copy since.
    pub(crate) fn sealed(&mut self, seal: &Seal) {
        if self.era == seal.era {
            self.sealed = Some(seal.number);
        }
    }

    pub(crate) fn deleted(&mut self, number: u64) {
        if let Some(cached) = &mut self.cached {
            cached.head.deleted = cached.head.deleted.max(number + 1);
        }
    }
}

impl CachedHead {
    /// Records the state of the stored head, which the store has just confirmed.
    fn confirm(&mut self, now: Instant) {
        self.confirmed_at = now;
        self.stored_first = self.head.first;
        let frozen: Option<&Generation> = self.head.frozen.as_ref();
        self.stored_frozen = frozen.map(|_| self.head.next);
    }
}
