//! What a shard has written lately, to be written again if the store loses it.
//!
//! A store that comes back from an older copy has lost the claims of its last seconds. Their owner
//! still knows them; without it their keys would be granted again, and their requests run twice.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use unit::{Digest, Token};

use crate::ask::What;
use crate::claim::{Claim, Moment};
use crate::head::Head;
use crate::slot::fold;

/// How long a write is remembered.
const KEPT: Duration = Duration::from_secs(60);

/// Most writes that are remembered, the last ones.
const MOST: usize = 20_000;

/// One part of a batch that the store has confirmed.
#[derive(Debug, Clone)]
pub(crate) enum Written {
    Claim(Claim, Moment),
    Note(What, Moment),
}

/// The writes of the last seconds, in their order.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    writes: VecDeque<(Instant, Written)>,
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
    pub(crate) fn rolled_back(&mut self, now: Instant) {
        self.prune(now);
        self.is_pending = !self.writes.is_empty();
    }

    pub(crate) fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Notes that the store holds them again.
    pub(crate) fn confirm(&mut self) {
        self.is_pending = false;
    }

    /// Adds to `head` what it lacks of the writes, as long as it has fewer bytes than `most`.
    pub(crate) fn replay(&self, head: &mut Head, most: usize) -> Replay {
        let mut replay = Replay::Nothing;
        for (_, written) in &self.writes {
            if head.weight() >= most {
                return Replay::Part;
            }
            let key = written.key();
            let before = head.new.piece(key);
            match written {
                Written::Claim(claim, at) => self.claim(head, claim, *at),
                Written::Note(What::End(end), _) => head.new.end(key, end.token, &end.ended()),
                Written::Note(What::Free(_, token), at) => head.new.free(key, *token, *at),
            }
            if head.new.piece(key) != before {
                replay = Replay::All;
            }
        }
        replay
    }

    /// Adds a claim, unless its key is held: by this one, or by one that came after it.
    fn claim(&self, head: &mut Head, claim: &Claim, at: Moment) {
        let pieces = head.generations().filter_map(|held| held.piece(claim.key));
        match fold(pieces) {
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
