//! One daemon's state for one instance: the record, and what this daemon alone has observed.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use unit::{Instance, Version};

use crate::rank;
use crate::record::{Record, State};
use crate::summary;

/// An instance in a roster.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) record: Record,
    /// The hash of the name, used for ranks.
    pub(crate) key: u64,
    /// The digest of the record, used for summaries.
    pub(crate) digest: u64,
    /// When this incarnation became known here, or when it was found to be gone.
    pub(crate) since: Instant,
    /// The newest revision of the platform's listing that contained the object.
    pub(crate) listed: Option<Version>,
    pub(crate) observation: Observation,
    /// When each observer last voted that this incarnation is silent.
    pub(crate) votes: BTreeMap<Instance, Instant>,
}

/// What this daemon has observed of an instance. None of it is relayed.
#[derive(Debug, Default)]
pub(crate) struct Observation {
    /// When something was last received from it over a link or as a heartbeat.
    pub(crate) last_seen: Option<Instant>,
    /// When a link to it became unresponsive, if nothing was received since.
    pub(crate) link_lost: Option<Instant>,
    /// Since when this daemon has been one of its observers and expects heartbeats.
    pub(crate) expected_since: Option<Instant>,
    /// When this daemon last voted that it is silent.
    pub(crate) voted_at: Option<Instant>,
    /// Whether target selection should avoid it.
    pub(crate) suspect: bool,
}

impl Observation {
    /// For how long expected heartbeats have been missing, or `None` if this daemon expects none.
    pub(crate) fn silence(&self, now: Instant) -> Option<Duration> {
        let expected = self.expected_since?;
        let last = self.last_seen.map_or(expected, |heard| heard.max(expected));
        Some(now.saturating_duration_since(last))
    }

    /// Whether something was received within the last `span`.
    pub(crate) fn seen_within(&self, now: Instant, span: Duration) -> bool {
        let age = self
            .last_seen
            .map(|heard| now.saturating_duration_since(heard));
        age.is_some_and(|age| age < span)
    }

    /// Whether heartbeats have been missing for `span`, or a link has become unresponsive since.
    pub(crate) fn silent_for(&self, now: Instant, span: Duration) -> bool {
        let silent = self.silence(now).is_some_and(|silence| silence >= span);
        silent || self.link_lost.is_some()
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
            observation: Observation::default(),
            votes: BTreeMap::new(),
        }
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.record.state == State::Gone
    }

    pub(crate) fn is_live(&self) -> bool {
        self.record.state == State::Live
    }

    /// Stores a superseding record. A new incarnation starts without observations and votes.
    pub(crate) fn replace(&mut self, now: Instant, record: Record) {
        let new_incarnation = record.incarnation != self.record.incarnation;
        if new_incarnation || record.state == State::Gone {
            self.since = now;
            self.listed = None;
            self.votes.clear();
            self.observation = Observation::default();
        }
        self.digest = summary::digest(&record);
        self.record = record;
    }
}
