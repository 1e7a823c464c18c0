//! The roster as operators see it.

use serde::Serialize;
use tokio::time::Instant;
use unit::{Incarnation, Instance, Service, Version, Zone};

use crate::entry::Entry;
use crate::record::State;
use crate::roster::Roster;

/// A whole roster at one moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// Whose roster it is.
    pub me: Instance,
    /// The zone of that instance.
    pub zone: Zone,
    /// The counter of changes.
    pub version: Version,
    /// The digest by which two rosters are compared, in hex.
    pub total: String,
    /// Whether this daemon takes itself to be cut off, and casts no votes.
    pub cut_off: bool,
    /// Whether a newer process has taken this instance's name.
    pub replaced: bool,
    /// Who watches the platform for this zone.
    pub watchers: Vec<Instance>,
    /// To whom this daemon beats.
    pub beats: Vec<Instance>,
    /// Whose beats this daemon expects.
    pub subjects: Vec<Instance>,
    /// Every instance known, by name.
    pub instances: Vec<Line>,
}

/// One instance in a [`Dump`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// The instance.
    pub instance: Instance,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it is in this life.
    pub state: State,
    /// Its zone.
    pub zone: Zone,
    /// Its service.
    pub service: Service,
    /// Whether the choice of target avoids it.
    pub suspect: bool,
    /// Seconds since something was heard of it, if ever.
    pub heard_s: Option<f64>,
    /// The observers whose votes against it count now.
    pub votes: Vec<Instance>,
}

impl Roster {
    /// All that is known at `now`, for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        let line = |entry: &Entry| self.line(now, entry);
        Dump {
            me: self.me.clone(),
            zone: self.zone().clone(),
            version: self.version(),
            total: format!("{:016x}", self.summary.total()),
            cut_off: self.cut_off(now),
            replaced: self.replaced(),
            watchers: self.watchers(self.zone(), self.policy.watchers),
            beats: self.heartbeat_receivers(),
            subjects: self.subjects.names.iter().cloned().collect(),
            instances: self.entries.values().map(line).collect(),
        }
    }

    fn line(&self, now: Instant, entry: &Entry) -> Line {
        let age = |at: Instant| now.saturating_duration_since(at).as_secs_f64();
        Line {
            instance: entry.record.instance.clone(),
            incarnation: entry.record.incarnation,
            state: entry.record.state,
            zone: entry.record.zone.clone(),
            service: entry.record.service.clone(),
            suspect: entry.sight.suspect,
            heard_s: entry.sight.last_seen.map(age),
            votes: entry.votes.keys().cloned().collect(),
        }
    }
}
