//! Votes of observers, and when they suffice to remove an instance.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::{Incarnation, Instance, Zone};

use crate::entry::Entry;
use crate::record::{Merge, Record};
use crate::roster::Roster;

/// Fewest distinct observers that may remove an instance, whatever the size.
const LEAST: usize = 2;
/// Most votes that are asked for.
const MOST: usize = 3;

/// What an observer says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Its heartbeats have failed to come.
    Silent,
    /// It is heard again: an earlier vote is withdrawn.
    Heard,
}

/// The message by which an observer tells the others its verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Who votes.
    pub observer: Instance,
    /// The instance voted on.
    pub about: Instance,
    /// Which of its lives was voted on.
    pub incarnation: Incarnation,
    /// The verdict.
    pub verdict: Verdict,
}

/// What a vote led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Nothing: the vote is out of date, or its sender is none of the observers.
    Ignored,
    /// The vote was counted, and does not suffice.
    Counted,
    /// The quorum is reached and the instance removed. The record is to be relayed, and sent to the
    /// instance itself, which refutes it if it lives.
    Removed(Record),
}

impl Roster {
    /// Counts the vote of an observer.
    ///
    /// An instance is removed by a [quorum](Roster::quorum) of distinct observers of its present
    /// incarnation. One vote makes it suspect here, unless it is heard here: avoided by the
    /// choice of target, and no more.
    pub fn count_vote(&mut self, now: Instant, vote: &Vote) -> Finding {
        if !self.counts(vote) {
            return Finding::Ignored;
        }
        let Some(entry) = self.entries.get_mut(&vote.about) else {
            return Finding::Ignored;
        };
        match vote.verdict {
            Verdict::Silent => entry.votes.insert(vote.observer.clone(), now),
            Verdict::Heard => entry.votes.remove(&vote.observer),
        };
        self.refresh(now, &vote.about);
        self.decide(now, &vote.about)
    }

    /// Whether a vote is about what is held now, and from an observer that may vote.
    fn counts(&self, vote: &Vote) -> bool {
        let about = self.entries.get(&vote.about);
        let current = about
            .is_some_and(|entry| !entry.is_gone() && entry.record.incarnation == vote.incarnation);
        // We never count votes on ourselves: a removal reaches us as a record, and is refuted.
        let others = vote.about != self.me && vote.observer != vote.about;
        current && others && self.may_observe(&vote.observer, &vote.about)
    }

    /// Removes the instance if its votes suffice.
    fn decide(&mut self, now: Instant, about: &Instance) -> Finding {
        let Some(entry) = self.entries.get(about) else {
            return Finding::Ignored;
        };
        if !self.suffices(now, entry) {
            return Finding::Counted;
        }
        let gone = entry.record.gone();
        log::warn!(
            "roster: {about} is removed by {} observers.",
            entry.votes.len()
        );
        match self.place(now, gone.clone()) {
            Merge::Old => Finding::Counted,
            Merge::New | Merge::Changed => Finding::Removed(gone),
        }
    }

    /// How many observers must agree, of `observers`: a majority, at most three, at least two.
    ///
    /// One observer never suffices: its own link may be what has failed. More than three would
    /// make removal wait for observers that stopped together with the instance.
    pub fn quorum(observers: usize) -> usize {
        (observers / 2 + 1).clamp(LEAST, MOST)
    }

    /// Whether the votes that still count remove the instance.
    ///
    /// With a vote from its own zone, that zone is up and a quorum suffices. With none, the whole
    /// zone may be cut off: then a majority of all other zones must agree, so that the smaller
    /// side of a parted network never removes the larger.
    fn suffices(&self, now: Instant, entry: &Entry) -> bool {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < self.policy.vote_ttl;
        let votes = entry.votes.iter().filter(|(_, at)| fresh(at));
        let zones: Vec<&Zone> = votes.filter_map(|(name, _)| self.zone_of(name)).collect();
        if zones.contains(&&entry.record.zone) {
            return zones.len() >= Roster::quorum(self.observers(&entry.record.instance).len());
        }
        let agree = zones.iter().collect::<BTreeSet<_>>().len();
        let mut others = self.zones();
        others.remove(&entry.record.zone);
        agree >= LEAST && agree * 2 > others.len()
    }

    fn zone_of(&self, instance: &Instance) -> Option<&Zone> {
        self.get(instance).map(|record| &record.zone)
    }
}
