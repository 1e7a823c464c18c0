//! What one daemon holds of one instance: the record, and what it alone knows.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use unit::{Instance, Version};

use crate::rank;
use crate::record::{Record, State};
use crate::summary;

/// One instance in a roster.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) record: Record,
    /// The hash of the name, for ranks.
    pub(crate) key: u64,
    /// The digest of the record, for summaries.
    pub(crate) digest: u64,
    /// When this incarnation was first known here, or when it was gone.
    pub(crate) since: Instant,
    /// The newest revision of the platform's listing that has shown the object.
    pub(crate) listed: Option<Version>,
    pub(crate) sight: Sight,
    /// When each observer last voted that this incarnation is silent.
    pub(crate) votes: BTreeMap<Instance, Instant>,
}

/// What this daemon has seen of an instance; none of it is relayed.
#[derive(Debug, Default)]
pub(crate) struct Sight {
    /// When a link or heartbeat last brought something from it.
    pub(crate) last_seen: Option<Instant>,
    /// When a link to it went silent, if nothing was heard since.
    pub(crate) link_lost: Option<Instant>,
    /// Since when this daemon has been one of its observers, and expects heartbeats.
    pub(crate) expected: Option<Instant>,
    /// When this daemon last voted that it is silent.
    pub(crate) voted: Option<Instant>,
    /// Whether the choice of target should avoid it.
    pub(crate) suspect: bool,
}

impl Sight {
    /// For how long heartbeats that this daemon should get have failed to come.
    pub(crate) fn silence(&self, now: Instant) -> Option<Duration> {
        let expected = self.expected?;
        let last = self.last_seen.map_or(expected, |heard| heard.max(expected));
        Some(now.saturating_duration_since(last))
    }

    /// Whether something was heard within the last `span`.
    pub(crate) fn seen_within(&self, now: Instant, span: Duration) -> bool {
        let age = self
            .last_seen
            .map(|heard| now.saturating_duration_since(heard));
        age.is_some_and(|age| age < span)
    }

    /// Whether heartbeats have failed for `span`, or a link has gone silent since.
    pub(crate) fn silent_for(&self, now: Instant, span: Duration) -> bool {
        let quiet = self.silence(now).is_some_and(|silence| silence >= span);
        quiet || self.link_lost.is_some()
    }
}

impl Entry {
    pub(crate) fn new(now: Instant, record: Record) -> Entry {
        Entry {
            key: rank::key(record.instance.as_str()),
            digest: summary::digest(&record),
            record,
            since: now,
            listed: None,
            sight: Sight::default(),
            votes: BTreeMap::new(),
        }
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.record.state == State::Gone
    }

    pub(crate) fn is_live(&self) -> bool {
        self.record.state == State::Live
    }

    /// Takes a superseding record in. A new incarnation starts with a clean sight and no votes.
    pub(crate) fn replace(&mut self, now: Instant, record: Record) {
        let reborn = record.incarnation != self.record.incarnation;
        if reborn || record.state == State::Gone {
            self.since = now;
            self.listed = None;
            self.votes.clear();
            self.sight = Sight::default();
        }
        self.digest = summary::digest(&record);
        self.record = record;
    }
}
