//! What a shard has written lately, to be written again if the store loses it.
//!
//! A store that comes back from an older copy has lost the claims of its last seconds. Whoever has
//! written or read them still knows them; else their keys would be granted again, and their requests
//! run twice.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use unit::{Digest, Token};

use crate::ask::What;
use crate::claim::{Claim, Moment, Record};
use crate::head::Head;
use crate::slot::{Generation, Piece, fold};

/// How long a write is remembered.
pub(crate) const KEPT: Duration = Duration::from_secs(60);

/// Most writes that are remembered, the last ones.
const MOST: usize = 20_000;

/// One part of a batch that the store has confirmed.
#[derive(Debug, Clone)]
pub(crate) enum Written {
    Claim(Claim, Moment),
    Note(What, Moment),
}

/// Most heads of former eras that are kept until the store holds again what they held.
const FORMERS: usize = 3;

/// A head as it was known when the store came back from an older copy.
#[derive(Debug)]
pub(crate) struct Former {
    pub(crate) head: Head,
    /// Claims in it that were being written; they are asked for again, or given up.
    pub(crate) open: Vec<Token>,
}

/// The writes of the last seconds, in their order.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    writes: VecDeque<(Instant, Written)>,
    /// The last one first.
    formers: VecDeque<Former>,
    /// The store may have lost them.
    is_pending: bool,
}

/// How far writing again has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Replay {
    /// The head lacks nothing.
    Nothing,
    /// The head has taken all that it lacked.
    All,
    /// The head is full before all are in it.
    Part,
}

impl Recent {
    pub(crate) fn push(&mut self, now: Instant, written: Written) {
        self.prune(now);
        self.writes.push_back((now, written));
    }

    fn prune(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > KEPT;
        while self.writes.len() >= MOST || self.writes.front().is_some_and(|(at, _)| is_old(*at)) {
            self.writes.pop_front();
        }
    }

    /// Notes that the store has come back from an older copy.
    pub(crate) fn rolled_back(&mut self, now: Instant, former: Option<Former>) {
        self.prune(now);
        if let Some(former) = former {
            self.formers.push_front(former);
        }
        self.formers.truncate(FORMERS);
        self.is_pending = !self.writes.is_empty() || !self.formers.is_empty();
    }

    pub(crate) fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Notes that the store holds them again.
    pub(crate) fn confirm(&mut self) {
        self.is_pending = false;
        self.formers.clear();
    }

    /// Adds to `head` what it lacks of the writes, as long as it has fewer bytes than `most`.
    pub(crate) fn replay(&self, head: &mut Head, most: usize) -> Replay {
        let mut replay = Replay::Nothing;
        for (_, written) in &self.writes {
            if head.weight() >= most {
                return Replay::Part;
            }
            if self.rewrite(head, written) {
                replay = Replay::All;
            }
        }
        for said in self.formers.iter().flat_map(Former::pieces) {
            if restore(head, said) {
                replay = Replay::All;
                if head.weight() >= most {
                    return Replay::Part;
                }
            }
        }
        replay
    }

    /// Adds a write to `head`; whether it lacked that.
    fn rewrite(&self, head: &mut Head, written: &Written) -> bool {
        let key = written.key();
        let before = head.new.piece(key);
        match written {
            Written::Claim(claim, at) => self.claim(head, claim, *at),
            Written::Note(What::End(end), _) => head.new.end(key, end.token, &end.ended()),
            Written::Note(What::Free(_, token), at) => head.new.free(key, *token, *at),
        }
        head.new.piece(key) != before
    }

    /// Adds a claim, unless its key is held: by this one, or by one that came after it.
    fn claim(&self, head: &mut Head, claim: &Claim, at: Moment) {
        match fold(head.pieces(claim.key)) {
            None => head.new.take(claim, at),
            Some(record) if self.has_written(claim.key, record.token) => {}
            Some(record) => log::error!(
                "ledger: claim {} of key {} was lost, and the key granted to {}.",
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

impl Former {
    /// What the head said of each key, but for claims that were being written.
    fn pieces(&self) -> impl Iterator<Item = (Digest, Piece, Moment)> {
        let of = |held: &Generation| {
            let pieces = held
                .keys()
                .filter_map(|key| Some((key, held.piece(key)?, held.newest())));
            pieces.collect::<Vec<_>>()
        };
        let pieces = self.head.generations().flat_map(of);
        let is_open = |piece: &Piece| {
            let Piece::Claim(Record { token, .. }) = piece else {
                return false;
            };
            self.open.contains(token)
        };
        pieces.filter(move |(_, piece, _)| !is_open(piece))
    }
}

/// Adds to `head` what was said of a key until `newest` in a former era; whether it lacked that.
fn restore(head: &mut Head, (key, piece, newest): (Digest, Piece, Moment)) -> bool {
    match (piece, fold(head.pieces(key))) {
        (Piece::Claim(record), None) if !head.has_released(key, record.token) => {
            head.new.insert(&record);
        }
        (
            Piece::Claim(Record {
                token,
                end: Some(end),
                ..
            })
            | Piece::End(token, end),
            Some(held),
        ) if held.token == token && held.end.is_none() => {
            head.new.end(key, token, &end);
        }
        (Piece::Free(tokens), Some(held)) if held.end.is_none() && tokens.contains(&held.token) => {
            head.new.free(key, held.token, newest);
        }
        _ => return false,
    }
    true
}

impl Written {
    fn key(&self) -> Digest {
        match self {
            Written::Claim(claim, _) => claim.key,
            Written::Note(what, _) => what.key(),
        }
    }

    fn is_claim(&self, key: Digest, token: Token) -> bool {
        matches!(self, Written::Claim(claim, _) if claim.key == key && claim.token == token)
    }
}
