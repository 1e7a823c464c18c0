//! Recent writes of a shard, which are replayed if the store loses them.
//!
//! A store restored from an older copy has lost the claims of its last seconds. A process that has
//! written or read them still knows them. Without the replay, their keys would be granted again and
//! their requests run twice.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use unit::{Digest, Token};

use crate::claim::{Claim, Moment, Record};
use crate::head::Head;
use crate::request::Change;
use crate::slot::{Event, Generation, fold};

/// How long a write is kept for replay.
pub(crate) const WINDOW: Duration = Duration::from_secs(60);

/// Maximum number of writes kept for replay; the oldest are dropped first.
const MAX_WRITES: usize = 20_000;

/// A claim or a change that the store has confirmed.
#[derive(Debug, Clone)]
pub(crate) enum Written {
    Claim(Claim, Moment),
    Change(Change, Moment),
}

/// Maximum number of heads of earlier eras that are kept until their contents are replayed.
const MAX_SNAPSHOTS: usize = 3;

/// The cached head at the time when the store was restored from an older copy.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub(crate) head: Head,
    /// Tokens of claims whose write was in flight. Their requests are queued again or abandoned, so
    /// they are not replayed.
    pub(crate) unconfirmed: Vec<Token>,
}

/// The most recent writes, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    writes: VecDeque<(Instant, Written)>,
    /// The newest first.
    snapshots: VecDeque<Snapshot>,
    /// Whether the store may have lost them.
    is_pending: bool,
}

/// The progress of a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Replay {
    /// The head lacks nothing.
    Nothing,
    /// All that the head lacked was added.
    All,
    /// The head became full before all was added.
    Part,
}

impl Recent {
    pub(crate) fn push(&mut self, now: Instant, written: Written) {
        self.prune(now);
        self.writes.push_back((now, written));
    }

    fn prune(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > WINDOW;
        while self.writes.len() >= MAX_WRITES
            || self.writes.front().is_some_and(|(at, _)| is_old(*at))
        {
            self.writes.pop_front();
        }
    }

    /// Records that the store was restored from an older copy.
    pub(crate) fn rolled_back(&mut self, now: Instant, snapshot: Option<Snapshot>) {
        self.prune(now);
        if let Some(snapshot) = snapshot {
            self.snapshots.push_front(snapshot);
        }
        self.snapshots.truncate(MAX_SNAPSHOTS);
        self.is_pending = !self.writes.is_empty() || !self.snapshots.is_empty();
    }

    pub(crate) fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Records that the store holds all of them again.
    pub(crate) fn confirm(&mut self) {
        self.is_pending = false;
        self.snapshots.clear();
    }

    /// Adds the writes that `head` lacks, as long as it has fewer than `max_bytes`.
    pub(crate) fn replay(&self, head: &mut Head, max_bytes: usize) -> Replay {
        let mut replay = Replay::Nothing;
        for (_, written) in &self.writes {
            if head.size_bound() >= max_bytes {
                return Replay::Part;
            }
            if self.replay_write(head, written) {
                replay = Replay::All;
            }
        }
        for event in self.snapshots.iter().flat_map(Snapshot::events) {
            if replay_event(head, event) {
                replay = Replay::All;
                if head.size_bound() >= max_bytes {
                    return Replay::Part;
                }
            }
        }
        replay
    }

    /// Adds a write to `head`; returns whether `head` lacked it.
    fn replay_write(&self, head: &mut Head, written: &Written) -> bool {
        let key = written.key();
        let before = head.active.event(key);
        match written {
            Written::Claim(claim, at) => self.replay_claim(head, claim, *at),
            Written::Change(Change::End(end), _) => head.active.end(key, end.token, &end.ended()),
            Written::Change(Change::Release(_, token), at) => head.active.release(key, *token, *at),
        }
        head.active.event(key) != before
    }

    /// Adds a claim, unless its key is held by the same claim or by a later one.
    fn replay_claim(&self, head: &mut Head, claim: &Claim, at: Moment) {
        match fold(head.events(claim.key)) {
            None => head.active.claim(claim, at),
            Some(record) if self.has_written(claim.key, record.token) => {}
            Some(record) => log::error!(
                "ledger: claim {} of key {} was lost by the store, and its key was granted to {}.",
                claim.token,
                claim.key,
                record.token,
            ),
        }
    }

    fn has_written(&self, key: Digest, token: Token) -> bool {
        let mut writes = self.writes.iter();
        writes.any(|(_, written)| written.is_claim(key, token))
    }
}

impl Snapshot {
    /// The events of the head, except for claims whose write was in flight.
    fn events(&self) -> impl Iterator<Item = (Digest, Event, Moment)> {
        let of = |generation: &Generation| {
            let events = generation
                .keys()
                .filter_map(|key| Some((key, generation.event(key)?, generation.newest())));
            events.collect::<Vec<_>>()
        };
        let events = self.head.generations().flat_map(of);
        let is_unconfirmed = |event: &Event| {
            let Event::Claim(Record { token, .. }) = event else {
                return false;
            };
            self.unconfirmed.contains(token)
        };
        events.filter(move |(_, event, _)| !is_unconfirmed(event))
    }
}

/// Adds an event of an earlier era to `head`; returns whether `head` lacked it. `newest` is the
/// time of the newest event in its generation.
fn replay_event(head: &mut Head, (key, event, newest): (Digest, Event, Moment)) -> bool {
    match (event, fold(head.events(key))) {
        (Event::Claim(record), None) if !head.has_released(key, record.token) => {
            head.active.insert(&record);
        }
        (
            Event::Claim(Record {
                token,
                end: Some(end),
                ..
            })
            | Event::End(token, end),
            Some(current),
        ) if current.token == token && current.end.is_none() => {
            head.active.end(key, token, &end);
        }
        (Event::Release(tokens), Some(current))
            if current.end.is_none() && tokens.contains(&current.token) =>
        {
            head.active.release(key, current.token, newest);
        }
        _ => return false,
    }
    true
}

impl Written {
    fn key(&self) -> Digest {
        match self {
            Written::Claim(claim, _) => claim.key,
            Written::Change(change, _) => change.key(),
        }
    }

    fn is_claim(&self, key: Digest, token: Token) -> bool {
        matches!(self, Written::Claim(claim, _) if claim.key == key && claim.token == token)
    }
}
