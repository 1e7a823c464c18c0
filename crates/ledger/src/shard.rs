//! The decisions of one shard: state in, batch out. It does no I/O.
//!
//! A turn answers what can be answered, and says what to do next: wait, load the head, or write
//! one batch. One write is in flight at most; what arrives meanwhile gathers for the next.
//!
//! The state runs ahead of the store by the batch in flight. When that write fails for certain the
//! head is loaded anew, and the batch goes back into the queue. When its answer is lost, the very
//! same bytes are written again under the same condition until the store says yes or conflict:
//! from then on a delayed first write can have no effect of its own.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use store::{Bucket, Condition};
use tokio::time::Instant;
use unit::{Era, Version};

use crate::ask::{Ask, Note, Verdict, Want};
use crate::claim::{Claim, Claimed, Moment};
use crate::dump::Count;
use crate::error::Kind;
use crate::head::Head;
use crate::index::Index;
use crate::recent::{self, Former, Recent, Written};
use crate::setting::Limit;
use crate::slot::Generation;

/// The state of one shard.
pub(crate) struct Shard {
    pub(crate) limit: Limit,
    pub(crate) known: Option<Known>,
    pub(crate) index: Index,
    pub(crate) bucket: Bucket,
    /// The part of the writes that is kept for chores.
    pub(crate) chores: Bucket,
    pub(crate) queue: VecDeque<Ask>,
    pub(crate) notes: Vec<Note>,
    pub(crate) flight: Option<Flight>,
    pub(crate) recent: Recent,
    /// The newest era of the store that is known.
    era: Option<Era>,
    pub(crate) count: Count,
    /// The head must be loaded before the next batch.
    pub(crate) reload: bool,
    /// The segment that was written for the old generation of the head.
    pub(crate) sealed: Option<u64>,
    /// Since when the store has failed.
    pub(crate) failing: Option<Instant>,
    pause: Option<Instant>,
    worked: Option<Instant>,
}

/// What the shard knows of its head.
pub(crate) struct Known {
    pub(crate) head: Head,
    pub(crate) version: Option<Version>,
    /// When the store last confirmed that the head is of this version.
    pub(crate) confirmed: Instant,
    /// `head.first`, as the store has it.
    pub(crate) first: u64,
    /// The number of the old generation, as the store has it.
    pub(crate) frozen: Option<u64>,
}

/// A batch that is being written.
pub(crate) struct Flight {
    pub(crate) asks: Vec<Ask>,
    pub(crate) notes: Vec<Note>,
    pub(crate) bytes: Bytes,
    pub(crate) when: Condition,
    /// An answer was lost, so that the write may land at any time.
    pub(crate) open: bool,
    pub(crate) moment: Moment,
    /// It holds all that an older copy of the store has lost.
    pub(crate) replays: bool,
}

impl Flight {
    fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.asks.iter().filter_map(|ask| match &ask.want {
            Want::Claim(claim) => Some(claim),
            _ => None,
        })
    }
}

/// What is to be done next.
pub(crate) enum Next {
    Wait(Option<Instant>),
    Load,
    Write(Bytes, Condition),
}

/// A verdict and who waits for it.
pub(crate) type Answer = (Ask, Verdict);

/// What a turn came to.
pub(crate) struct Turn {
    pub(crate) next: Next,
    pub(crate) answers: Vec<Answer>,
    pub(crate) probes: Vec<(Ask, Vec<u64>)>,
    /// Claims that were released elsewhere before they were written.
    pub(crate) released: Vec<Ask>,
}

/// A frozen generation on its way into its segment.
pub(crate) struct Seal {
    pub(crate) number: u64,
    pub(crate) bytes: Bytes,
    /// The era of the store in which the head was read that has frozen it.
    pub(crate) era: Option<Era>,
}

/// Work that is not urgent.
pub(crate) enum Chore {
    Seal(Seal),
    Sweep(u64),
    Wait(Option<Instant>),
}

impl Shard {
    pub(crate) fn new(limit: Limit, bucket: Bucket, chores: Bucket) -> Shard {
        Shard {
            limit,
            known: None,
            index: Index::default(),
            bucket,
            chores,
            queue: VecDeque::new(),
            notes: Vec::new(),
            flight: None,
            recent: Recent::default(),
            era: None,
            count: Count::default(),
            reload: true,
            sealed: None,
            failing: None,
            pause: None,
            worked: None,
        }
    }

    /// Takes an ask in, or refuses it at once.
    pub(crate) fn offer(&mut self, ask: Ask, now: Instant) -> Result<(), Kind> {
        let refused = self.refusal(now);
        if let Some(kind) = refused {
            self.count.refused += 1;
            return Err(kind);
        }
        self.worked = Some(now);
        self.queue.push_back(ask);
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

    /// Whether the store has failed for longer than a claim would wait.
    pub(crate) fn is_down(&self, now: Instant) -> bool {
        let since = |since| now.saturating_duration_since(since);
        self.failing
            .is_some_and(|at| since(at) >= self.limit.timeout)
    }

    /// Takes an end or a release in, to be written with a later batch.
    pub(crate) fn note(&mut self, note: Note) -> Result<(), Kind> {
        // A release of a claim that was given up has no one to refuse it to, and the queue bounds
        // how many there can be.
        if note.reply.is_some() && self.notes.len() >= self.limit.queue {
            return Err(Kind::Full);
        }
        self.worked = Some(note.since);
        self.notes.push(note);
        Ok(())
    }

    /// When it is worth asking again.
    pub(crate) fn retry_after(&self, now: Instant) -> Duration {
        let pause = self.pause.map(|until| until.saturating_duration_since(now));
        pause
            .unwrap_or_default()
            .max(Duration::from_millis(100))
            .min(self.limit.timeout)
    }

    /// Keys in the head and in the segments.
    pub(crate) fn keys(&self) -> usize {
        let head = self.known.as_ref().map_or(0, |known| known.head.len());
        self.index.len() + head
    }

    /// Answers what can be answered, and decides what to do next.
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
        if let Some(until) = self.pause.filter(|until| *until > now) {
            return Next::Wait(Some(until));
        }
        self.pause = None;
        let works = !self.queue.is_empty() || !self.notes.is_empty();
        let works = works || self.recent.is_pending();
        if self.flight.is_none() && (self.reload || self.known.is_none()) {
            let load = works || self.failing.is_some();
            return if load { Next::Load } else { Next::Wait(None) };
        }
        if self.flight.is_none() && !self.is_due(now) {
            return Next::Wait(self.rest(now));
        }
        if let Err(wait) = self.bucket.ready(now) {
            self.pause = Some(now + wait);
            return Next::Wait(self.pause);
        }
        if self.flight.is_none() {
            self.flight = self.build(now, moment, turn);
        }
        let Some(flight) = &self.flight else {
            return self.after_empty(now);
        };
        let next = Next::Write(flight.bytes.clone(), flight.when);
        // The bucket was found ready under the same lock.
        let _ = self.bucket.take(now);
        self.count.writes += 1;
        next
    }

    /// Whether there is an ask, or a note that has waited long enough for one.
    fn is_due(&self, now: Instant) -> bool {
        let oldest = self.notes.first().map(|note| note.since);
        let due = oldest.is_some_and(|since| now >= since + self.limit.linger);
        let due = due || self.recent.is_pending();
        due || !self.queue.is_empty() || self.notes.len() >= self.limit.batch
    }

    /// How long to rest without work; a shard that rests for long forgets its state.
    ///
    /// Without that a daemon that owned many shards in turn would hold the keys of all of them.
    fn rest(&mut self, now: Instant) -> Option<Instant> {
        if let Some(note) = self.notes.first() {
            return Some(note.since + self.limit.linger);
        }
        let until = self.worked? + self.limit.idle_timeout;
        if until > now {
            return Some(until);
        }
        self.known = None;
        self.index = Index::default();
        self.reload = true;
        self.worked = None;
        None
    }

    fn after_empty(&mut self, now: Instant) -> Next {
        if self.reload {
            return Next::Load;
        }
        if self.queue.is_empty() && self.notes.is_empty() {
            return Next::Wait(self.rest(now));
        }
        // The head is too heavy for more until its old generation is sealed.
        self.pause = Some(now + self.limit.linger);
        Next::Wait(self.pause)
    }

    /// The store has confirmed the batch.
    pub(crate) fn written(&mut self, now: Instant, version: Version) -> (Vec<Answer>, Vec<Note>) {
        self.failing = None;
        let Some(flight) = self.flight.take() else {
            return (Vec::new(), Vec::new());
        };
        if let Some(known) = &mut self.known {
            known.version = Some(version);
            known.confirm(now);
        }
        self.count.claims += flight.asks.len() as u64;
        if flight.replays {
            self.recent.confirm();
        }
        self.remember(now, &flight);
        let grant = |ask: Ask| (ask, Verdict::Claimed(Claimed::Granted));
        (flight.asks.into_iter().map(grant).collect(), flight.notes)
    }

    fn remember(&mut self, now: Instant, flight: &Flight) {
        for claim in flight.claims() {
            let written = Written::Claim(claim.clone(), flight.moment);
            self.recent.push(now, written);
        }
        for note in &flight.notes {
            let written = Written::Note(note.what.clone(), flight.moment);
            self.recent.push(now, written);
        }
    }

    /// Notes the era of the store. In one after the first the head is loaded again, and what it lacks
    /// of the last writes is written again.
    pub(crate) fn enter(&mut self, era: Option<Era>, now: Instant) {
        if self.era.is_some() && era > self.era {
            let lately = |known: &&Known| known.confirmed + recent::KEPT > now;
            let known = self.known.as_ref().filter(lately);
            let former = known.map(|known| Former {
                head: known.head.clone(),
                open: self
                    .flight
                    .iter()
                    .flat_map(Flight::claims)
                    .map(|claim| claim.token)
                    .collect(),
            });
            self.recent.rolled_back(now, former);
            self.reload = true;
            self.sealed = None;
        }
        self.era = era;
    }

    /// Another write came before the batch: somebody else's, or our own whose answer was lost.
    pub(crate) fn conflicted(&mut self) {
        self.failing = None;
        self.count.conflicts += 1;
        self.unbuild(true);
    }

    /// The batch was not written, or its answer was lost.
    pub(crate) fn failed(&mut self, now: Instant, pause: Duration, lost: bool) {
        self.failing.get_or_insert(now);
        self.pause = Some(now + pause);
        if lost {
            self.count.lost += 1;
        }
        let open = match &mut self.flight {
            Some(flight) => {
                flight.open |= lost;
                flight.open
            }
            None => false,
        };
        if !open {
            self.unbuild(false);
        }
    }

    /// Puts the batch back into the queue, and the state back to what the store will say.
    fn unbuild(&mut self, tried: bool) {
        self.reload = true;
        let Some(flight) = self.flight.take() else {
            return;
        };
        for mut ask in flight.asks.into_iter().rev() {
            ask.tried |= tried;
            self.queue.push_front(ask);
        }
        self.notes.splice(0..0, flight.notes);
    }

    /// Loading the head or a segment has failed.
    pub(crate) fn load_failed(&mut self, now: Instant, pause: Duration) {
        self.failing.get_or_insert(now);
        self.pause = Some(now + pause);
    }

    /// The segments of a head that the index lacks.
    pub(crate) fn missing(&self, head: &Head) -> Vec<u64> {
        let named = head.first..head.next;
        named.filter(|n| !self.index.contains(*n)).collect()
    }

    /// The head was loaded, and the index holds all of its segments.
    pub(crate) fn loaded(&mut self, now: Instant, head: Head, version: Option<Version>) {
        self.failing = None;
        self.reload = false;
        self.count.loads += 1;
        self.index.keep(head.first..head.next);
        if self.sealed != Some(head.next) {
            self.sealed = None;
        }
        let mut known = Known {
            head,
            version,
            confirmed: now,
            first: 0,
            frozen: None,
        };
        known.confirm(now);
        self.known = Some(known);
    }

    /// The next chore that the confirmed head calls for.
    pub(crate) fn chore(&mut self, now: Instant) -> Chore {
        let known = self.known.as_ref().filter(|_| !self.reload);
        let Some(known) = known else {
            return Chore::Wait(None);
        };
        let seal = known.frozen.filter(|number| self.sealed != Some(*number));
        let old = known.head.old.as_ref().and_then(crate::head::segment);
        if let (Some(number), Some(bytes)) = (seal, old) {
            // Beyond the part of the chores on the credit of the batches: those would take each
            // write as it becomes free, and the head would grow until it holds no more claims.
            if self.chores.take(now).is_err() {
                self.bucket.charge(now);
            }
            let era = self.era;
            return Chore::Seal(Seal { number, bytes, era });
        }
        if known.head.swept >= known.first {
            return Chore::Wait(None);
        }
        match self.chores.take(now) {
            Ok(()) => Chore::Sweep(known.head.swept),
            Err(wait) => Chore::Wait(Some(now + wait)),
        }
    }

    /// The segment stands in the store, unless that has come back from an older copy since.
    pub(crate) fn sealed(&mut self, seal: &Seal) {
        if self.era == seal.era {
            self.sealed = Some(seal.number);
        }
    }

    pub(crate) fn swept(&mut self, number: u64) {
        if let Some(known) = &mut self.known {
            known.head.swept = known.head.swept.max(number + 1);
        }
    }
}

impl Known {
    /// Notes what the store has, now that it has confirmed the head.
    fn confirm(&mut self, now: Instant) {
        self.confirmed = now;
        self.first = self.head.first;
        let old: Option<&Generation> = self.head.old.as_ref();
        self.frozen = old.map(|_| self.head.next);
    }
}
