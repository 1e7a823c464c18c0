//! Building a batch: which requests are answered from the cached head, and which are written.

use std::collections::{HashSet, VecDeque};

use store::Condition;
use tokio::time::Instant;

use crate::claim::{Claimed, Moment, Record, body_part};
use crate::recent::Replay;
use crate::request::{Change, Operation, Probe, Request, Response, Update};
use crate::shard::{Batch, CachedHead, Shard, Turn};
use crate::slot::{Event, fold};

/// Size of a head in bytes above which it accepts no more claims; the platform limits an object to
/// a megabyte.
const MAX_HEAD_BYTES: usize = 900_000;

/// Size of a head in bytes above which it accepts no more ends and releases either.
const MAX_HEAD_BYTES_FOR_UPDATES: usize = 950_000;

/// The state of a key in the head and in the sealed segments that were read.
enum Lookup {
    Free,
    Record(Record),
    /// These sealed segments must be read first.
    Probe(Vec<u64>),
}

impl Shard {
    /// Builds the next batch, or returns `None` when there is nothing to write.
    pub(crate) fn build_batch(
        &mut self,
        now: Instant,
        moment: Moment,
        turn: &mut Turn,
    ) -> Option<Batch> {
        let mut cached = self.cached.take()?;
        self.rotate(&mut cached, moment);
        let replay = self.replay(&mut cached);
        let updates = self.take_updates(&mut cached, moment);
        let mut draft = Draft::default();
        let mut queue = std::mem::take(&mut self.queue);
        while draft.requests.len() < self.limit.batch && cached.head.size_bound() < MAX_HEAD_BYTES {
            let Some(request) = queue.pop_front() else {
                break;
            };
            self.dispatch(request, &mut cached, now, moment, &mut draft, turn);
        }
        draft.deferred.append(&mut queue);
        self.queue = draft.deferred;
        let empty = draft.requests.is_empty() && updates.is_empty() && replay == Replay::Nothing;
        // A response from stale state must be confirmed by the store first. A write confirms it as
        // well, so the head is reloaded only when there is nothing to write.
        self.needs_load = empty && draft.stale;
        let bytes = cached.head.encode();
        let condition = cached.version.map_or(Condition::Absent, Condition::Match);
        self.cached = Some(cached);
        if empty {
            return None;
        }
        Some(Batch {
            requests: draft.requests,
            updates,
            // Encoding integers and strings can't fail.
            bytes: bytes?,
            condition,
            may_land: false,
            moment,
            completes_replay: replay == Replay::All,
        })
    }

    /// Adds the writes that the store has lost, before any request is answered from the head.
    fn replay(&mut self, cached: &mut CachedHead) -> Replay {
        if !self.recent.is_pending() {
            return Replay::Nothing;
        }
        let replay = self.recent.replay(&mut cached.head, MAX_HEAD_BYTES);
        if replay == Replay::Nothing {
            self.recent.confirm();
        }
        replay
    }

    /// Adds ends and releases, as many as the batch and the head can take.
    fn take_updates(&mut self, cached: &mut CachedHead, moment: Moment) -> Vec<Update> {
        let mut taken = 0;
        for update in self.updates.iter().take(self.limit.batch) {
            if cached.head.size_bound() >= MAX_HEAD_BYTES_FOR_UPDATES {
                break;
            }
            apply(cached, update, moment);
            taken += 1;
        }
        self.updates.drain(..taken).collect()
    }

    /// Drops segments past the retention, counts a newly sealed segment, and freezes a large
    /// generation. These changes are written together with the next batch.
    fn rotate(&mut self, cached: &mut CachedHead, moment: Moment) {
        let head = &mut cached.head;
        while let Some(newest) = self.index.newest(head.first)
            && newest.after(self.limit.retention) < moment
        {
            self.index.remove(head.first);
            head.first += 1;
        }
        if self.sealed == Some(head.next)
            && let Some(frozen) = head.frozen.take()
        {
            self.index.insert(head.next, &frozen);
            head.next += 1;
            cached.stored_frozen = None;
            self.sealed = None;
        }
        if head.frozen.is_none() && head.active.size_bound() >= self.limit.segment_size {
            head.frozen = Some(std::mem::take(&mut head.active));
        }
    }

    /// Answers a request, adds it to the batch, or defers it.
    fn dispatch(
        &mut self,
        request: Request,
        cached: &mut CachedHead,
        now: Instant,
        moment: Moment,
        draft: &mut Draft,
        turn: &mut Turn,
    ) {
        // The requester is gone, and the claim can't have been written.
        if request.reply.is_closed() && !request.maybe_written {
            self.count.given_up += 1;
            return;
        }
        let key = request.operation.key();
        if draft.keys.contains(&key) {
            draft.deferred.push_back(request);
            return;
        }
        if was_released(&request, cached) {
            turn.released.push(request);
            return;
        }
        let lookup = self.lookup(&request, cached);
        let stale = now.saturating_duration_since(cached.confirmed_at) > self.limit.max_staleness;
        match (lookup, &request.operation) {
            (Lookup::Probe(segments), _) => turn.probes.push((request, segments)),
            // The claim was sent but not written, and the newer version prevents a delayed write.
            (Lookup::Free, Operation::Claim(_)) if request.reply.is_closed() => {
                self.count.given_up += 1;
            }
            (Lookup::Free, Operation::Claim(claim)) => {
                cached.head.active.claim(claim, moment);
                draft.keys.insert(key);
                draft.requests.push(request);
            }
            (Lookup::Record(record), Operation::Claim(claim))
                if request.maybe_written && record.token == claim.token =>
            {
                let response = Response::Claimed(Claimed::Granted);
                turn.answers.push((request, response));
            }
            _ if stale => {
                draft.stale = true;
                draft.deferred.push_back(request);
            }
            (Lookup::Record(record), Operation::Claim(claim)) => {
                let response = Response::Claimed(existing(record, body_part(claim.body)));
                turn.answers.push((request, response));
            }
            (Lookup::Record(record), Operation::Find(_)) => {
                turn.answers.push((request, Response::Found(Some(record))));
            }
            (Lookup::Free, Operation::Find(_)) => {
                turn.answers.push((request, Response::Found(None)));
            }
        }
    }

    fn lookup(&self, request: &Request, cached: &CachedHead) -> Lookup {
        let key = request.operation.key();
        let mut events: Vec<Event> = cached.head.events(key).collect();
        let claimed = events.iter().any(|event| matches!(event, Event::Claim(_)));
        if !claimed {
            let candidates = self.index.candidates(key);
            match &request.probe {
                Some(probe) if covers(probe, &candidates) => events.extend(probe.events.clone()),
                _ if candidates.is_empty() => {}
                _ => return Lookup::Probe(candidates),
            }
        }
        fold(events).map_or(Lookup::Free, Lookup::Record)
    }
}

/// The state collected while a batch is built.
#[derive(Default)]
struct Draft {
    requests: Vec<Request>,
    keys: HashSet<unit::Digest>,
    deferred: VecDeque<Request>,
    stale: bool,
}

/// Whether the claim was released before it was written.
///
/// An entry that loses the owner of a key answers its caller "not run" and has the next owner
/// release the claim, which may still be queued here because the store is slow or this process was
/// paused. If it were granted afterwards, no other release would follow, and the key would stay
/// taken although nothing ran. The head holds the released tokens, and the version check ensures
/// that this owner has read them before its write succeeds.
fn was_released(request: &Request, cached: &CachedHead) -> bool {
    let Operation::Claim(claim) = &request.operation else {
        return false;
    };
    cached.head.has_released(claim.key, claim.token)
}

fn covers(probe: &Probe, candidates: &[u64]) -> bool {
    candidates
        .iter()
        .all(|number| probe.segments.contains(number))
}

fn existing(record: Record, body: u64) -> Claimed {
    if record.body != body {
        return Claimed::Mismatch;
    }
    if record.end.is_some() {
        return Claimed::Done(record);
    }
    Claimed::Running(record)
}

fn apply(cached: &mut CachedHead, update: &Update, moment: Moment) {
    let active = &mut cached.head.active;
    let (key, token) = (update.change.key(), update.change.token());
    match &update.change {
        Change::End(end) => active.end(key, token, &end.ended()),
        Change::Release(..) => active.release(key, token, moment),
    }
}
