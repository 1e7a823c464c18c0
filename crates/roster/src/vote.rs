//! Votes of observers, and the quorum that removes an instance.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::{Incarnation, Instance, Zone};

use crate::entry::Entry;
use crate::record::{Merge, Record};
use crate::roster::Roster;

/// The smallest quorum of distinct observers, for any number of observers.
const MIN_VOTES: usize = 2;
/// The largest quorum.
const MAX_QUORUM: usize = 3;

/// What an observer reports about an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// No heartbeat has arrived from it in time.
    Silent,
    /// Its heartbeats arrive again; withdraws an earlier vote.
    Heard,
}

/// The message in which an observer reports its verdict to the other observers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The observer that votes.
    pub observer: Instance,
    /// The instance voted on.
    pub about: Instance,
    /// The incarnation that the vote is about.
    pub incarnation: Incarnation,
    /// The verdict.
    pub verdict: Verdict,
}

/// The effect of a vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// The vote has no effect: it is out of date, or its sender is not an observer of the instance.
    Ignored,
    /// The vote was counted, and there is no quorum.
    Counted,
    /// The quorum is reached and the instance is removed. The record is to be relayed, and sent to
    /// the instance itself, which refutes it if it is still running.
    Removed(Record),
}

impl Roster {
    /// Counts the vote of an observer.
    ///
    /// An instance is removed by a [quorum](Roster::quorum) of distinct observers of its present
    /// incarnation. A single vote makes it suspect here, so that target selection avoids it, unless
    /// this daemon has itself received something from it recently.
    pub fn count_vote(&mut self, now: Instant, vote: &Vote) -> Finding {
        if !self.is_valid(vote) {
            return Finding::Ignored;
        }
        let Some(entry) = self.entries.get_mut(&vote.about) else {
            return Finding::Ignored;
        };
        match vote.verdict {
            Verdict::Silent => entry.votes.insert(vote.observer.clone(), now),
            Verdict::Heard => entry.votes.remove(&vote.observer),
        };
        self.refresh_suspect(now, &vote.about);
        self.remove_if_quorum(now, &vote.about)
    }

    /// Whether a vote is about the incarnation held here, and from an observer that may vote.
    fn is_valid(&self, vote: &Vote) -> bool {
        let about = self.entries.get(&vote.about);
        let current = about
            .is_some_and(|entry| !entry.is_gone() && entry.record.incarnation == vote.incarnation);
        // Votes about this daemon itself are ignored: it learns of its removal by a record, which
        // it refutes.
        let others = vote.about != self.me && vote.observer != vote.about;
        current && others && self.accepts_observer(&vote.observer, &vote.about)
    }

    /// Removes the instance if its votes form a quorum.
    fn remove_if_quorum(&mut self, now: Instant, about: &Instance) -> Finding {
        let Some(entry) = self.entries.get(about) else {
            return Finding::Ignored;
        };
        if !self.has_quorum(now, entry) {
            return Finding::Counted;
        }
        let gone = entry.record.gone();
        log::warn!(
            "roster: {about} was removed by the votes of {} observers.",
            entry.votes.len()
        );
        match self.upsert(now, gone.clone()) {
            Merge::Old => Finding::Counted,
            Merge::New | Merge::Changed => Finding::Removed(gone),
        }
    }

    /// How many of `observers` must agree: a majority, but at least two and at most three.
    ///
    /// One observer never suffices, since its own link may be what has failed. With more than
    /// three, removal would wait for observers that stopped together with the instance.
    pub fn quorum(observers: usize) -> usize {
        (observers / 2 + 1).clamp(MIN_VOTES, MAX_QUORUM)
    }

    /// Whether the unexpired votes suffice to remove the instance.
    ///
    /// A vote from the instance's own zone shows that the zone is up, so a quorum suffices. Without
    /// one, the whole zone may be cut off. Then a majority of all other zones must agree, so that
    /// the smaller side of a network partition never removes the larger.
    fn has_quorum(&self, now: Instant, entry: &Entry) -> bool {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < self.policy.vote_ttl;
        let votes = entry.votes.iter().filter(|(_, at)| fresh(at));
        let zones: Vec<&Zone> = votes.filter_map(|(name, _)| self.zone_of(name)).collect();
        if zones.contains(&&entry.record.zone) {
            return zones.len() >= Roster::quorum(self.observers(&entry.record.instance).len());
        }
        let agree = zones.iter().collect::<BTreeSet<_>>().len();
        let zones = self.index.zones();
        let others = zones.filter(|zone| **zone != entry.record.zone).count();
        agree >= MIN_VOTES && agree * 2 > others
    }

    fn zone_of(&self, instance: &Instance) -> Option<&Zone> {
        self.get(instance).map(|record| &record.zone)
    }
}
