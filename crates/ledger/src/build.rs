//! Building a batch: which asks are answered from the state, and which go into the write.

use std::collections::{HashSet, VecDeque};

use store::Condition;
use tokio::time::Instant;

use crate::ask::{Ask, Note, Probed, Verdict, Want, What};
use crate::claim::{Claimed, Moment, Record, body_part};
use crate::recent::Replay;
use crate::shard::{Flight, Known, Shard, Turn};
use crate::slot::{Piece, fold};

/// Bytes of a head above which it takes no more claims; the platform holds a megabyte.
const MAX_HEAD: usize = 900_000;

/// Bytes of a head above which it takes no more ends and releases either.
const MAX_NOTES: usize = 950_000;

/// What the state says of an ask.
enum Look {
    Free,
    Record(Record),
    /// These segments must be read first.
    Probe(Vec<u64>),
}

impl Shard {
    /// Builds the next batch, or answers `None` when there is nothing to write.
    pub(crate) fn build(
        &mut self,
        now: Instant,
        moment: Moment,
        turn: &mut Turn,
    ) -> Option<Flight> {
        let mut known = self.known.take()?;
        self.keep_house(&mut known, moment);
        let replay = self.replay(&mut known);
        let notes = self.take_notes(&mut known, moment);
        let mut batch = Batch::default();
        let mut queue = std::mem::take(&mut self.queue);
        while batch.asks.len() < self.limit.batch && known.head.weight() < MAX_HEAD {
            let Some(ask) = queue.pop_front() else {
                break;
            };
            self.sort(ask, &mut known, now, moment, &mut batch, turn);
        }
        batch.later.append(&mut queue);
        self.queue = batch.later;
        let empty = batch.asks.is_empty() && notes.is_empty() && replay == Replay::Nothing;
        // An answer from an old state needs the store's word first. A batch gives it as well.
        self.reload = empty && batch.stale;
        let bytes = known.head.encode();
        let when = known.version.map_or(Condition::Absent, Condition::Match);
        self.known = Some(known);
        if empty {
            return None;
        }
        Some(Flight {
            asks: batch.asks,
            notes,
            // Plain numbers and texts can't fail to encode.
            bytes: bytes?,
            when,
            open: false,
            moment,
            replays: replay == Replay::All,
        })
    }

    /// Adds what the store has lost, before anything is answered from the head.
    fn replay(&mut self, known: &mut Known) -> Replay {
        if !self.recent.is_pending() {
            return Replay::Nothing;
        }
        let replay = self.recent.replay(&mut known.head, MAX_HEAD);
        if replay == Replay::Nothing {
            self.recent.confirm();
        }
        replay
    }

    /// Adds ends and releases, as many as a batch and the head can take.
    fn take_notes(&mut self, known: &mut Known, moment: Moment) -> Vec<Note> {
        let mut taken = 0;
        for note in self.notes.iter().take(self.limit.batch) {
            if known.head.weight() >= MAX_NOTES {
                break;
            }
            apply(known, note, moment);
            taken += 1;
        }
        self.notes.drain(..taken).collect()
    }

    /// Drops what is out of the retention, counts a sealed segment in, and freezes a large
    /// generation. All of it rides on the write of a batch.
    fn keep_house(&mut self, known: &mut Known, moment: Moment) {
        let head = &mut known.head;
        while let Some(newest) = self.index.newest(head.first)
            && newest.after(self.limit.retention) < moment
        {
            self.index.remove(head.first);
            head.first += 1;
        }
        if self.sealed == Some(head.next)
            && let Some(old) = head.old.take()
        {
            self.index.insert(head.next, &old);
            head.next += 1;
            known.frozen = None;
            self.sealed = None;
        }
        if head.old.is_none() && head.new.weight() >= self.limit.segment_size {
            head.old = Some(std::mem::take(&mut head.new));
        }
    }

    /// Answers an ask, puts it into the batch, or lays it aside.
    fn sort(
        &mut self,
        ask: Ask,
        known: &mut Known,
        now: Instant,
        moment: Moment,
        batch: &mut Batch,
        turn: &mut Turn,
    ) {
        // Nobody waits, and the claim can't have been written.
        if ask.reply.is_closed() && !ask.tried {
            self.count.given_up += 1;
            return;
        }
        let key = ask.want.key();
        if batch.keys.contains(&key) {
            batch.later.push_back(ask);
            return;
        }
        if was_released(&ask, known) {
            turn.released.push(ask);
            return;
        }
        let look = self.look(&ask, known);
        let stale = now.saturating_duration_since(known.confirmed) > self.limit.max_staleness;
        match (look, &ask.want) {
            (Look::Probe(numbers), _) => turn.probes.push((ask, numbers)),
            // The claim was sent, has not landed, and the newer version keeps it from landing.
            (Look::Free, Want::Claim(_)) if ask.reply.is_closed() => self.count.given_up += 1,
            (Look::Free, Want::Claim(claim)) => {
                known.head.new.take(claim, moment);
                batch.keys.insert(key);
                batch.asks.push(ask);
            }
            (Look::Record(record), Want::Claim(claim))
                if ask.tried && record.token == claim.token =>
            {
                let verdict = Verdict::Claimed(Claimed::Granted);
                turn.answers.push((ask, verdict));
            }
            _ if stale => {
                batch.stale = true;
                batch.later.push_back(ask);
            }
            (Look::Record(record), Want::Claim(claim)) => {
                let verdict = Verdict::Claimed(taken(record, body_part(claim.body)));
                turn.answers.push((ask, verdict));
            }
            (Look::Record(record), Want::Look(_)) => {
                turn.answers.push((ask, Verdict::Found(Some(record))));
            }
            (Look::Free, Want::Look(_)) => turn.answers.push((ask, Verdict::Found(None))),
        }
    }

    fn look(&self, ask: &Ask, known: &Known) -> Look {
        let key = ask.want.key();
        let mut pieces: Vec<Piece> = known.head.pieces(key).collect();
        let claimed = pieces.iter().any(|piece| matches!(piece, Piece::Claim(_)));
        if !claimed {
            let hits = self.index.hits(key);
            match &ask.probed {
                Some(probed) if covers(probed, &hits) => pieces.extend(probed.pieces.clone()),
                _ if hits.is_empty() => {}
                _ => return Look::Probe(hits),
            }
        }
        fold(pieces).map_or(Look::Free, Look::Record)
    }
}

/// What is gathered while a batch is built.
#[derive(Default)]
struct Batch {
    asks: Vec<Ask>,
    keys: HashSet<unit::Digest>,
    later: VecDeque<Ask>,
    stale: bool,
}

/// Whether the claim was released before it was written.
///
/// An entry that loses the owner of a key tells its caller "not run" and has the next owner release
/// the claim, while that waits here for a slow store or for a paused process. Granted then, it would
/// never be released again, and the key would be dead though nothing ran. Its token stands among
/// the released ones, and the version check shows us these before we write.
fn was_released(ask: &Ask, known: &Known) -> bool {
    let Want::Claim(claim) = &ask.want else {
        return false;
    };
    known.head.has_released(claim.key, claim.token)
}

fn covers(probed: &Probed, hits: &[u64]) -> bool {
    hits.iter().all(|number| probed.numbers.contains(number))
}

fn taken(record: Record, body: u64) -> Claimed {
    if record.body != body {
        return Claimed::Mismatch;
    }
    if record.end.is_some() {
        return Claimed::Done(record);
    }
    Claimed::Running(record)
}

fn apply(known: &mut Known, note: &Note, moment: Moment) {
    let new = &mut known.head.new;
    let (key, token) = (note.what.key(), note.what.token());
    match &note.what {
        What::End(end) => new.end(key, token, &end.ended()),
        What::Free(..) => new.free(key, token, moment),
    }
}
