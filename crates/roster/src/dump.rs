//! A dump of the roster for operators.

use serde::Serialize;
use tokio::time::Instant;
use unit::{Incarnation, Instance, Service, Version, Zone};

use crate::entry::Entry;
use crate::record::State;
use crate::roster::Roster;

/// The contents of a roster at one moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// The instance whose roster it is.
    pub me: Instance,
    /// The zone of that instance.
    pub zone: Zone,
    /// The counter of changes; see [`Roster::version`].
    pub version: Version,
    /// The digest by which two rosters are compared, in hexadecimal.
    pub total: String,
    /// Whether this daemon assumes that it is cut off, and casts no votes.
    pub cut_off: bool,
    /// Whether a newer process has taken this instance's name.
    pub replaced: bool,
    /// The instances that watch the platform for this zone.
    pub watchers: Vec<Instance>,
    /// The instances to which this daemon sends heartbeats.
    pub beats: Vec<Instance>,
    /// The instances from which this daemon expects heartbeats.
    pub subjects: Vec<Instance>,
    /// All known instances, ordered by name.
    pub instances: Vec<Line>,
}

/// One instance in a [`Dump`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// The instance.
    pub instance: Instance,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The state of this incarnation.
    pub state: State,
    /// Its zone.
    pub zone: Zone,
    /// Its service.
    pub service: Service,
    /// Whether target selection avoids it.
    pub suspect: bool,
    /// Seconds since something was last received from it, if ever.
    pub heard_s: Option<f64>,
    /// The observers that have an unexpired vote against it.
    pub votes: Vec<Instance>,
}

impl Roster {
    /// Returns the state of the roster at `now`, for operators.
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
            suspect: entry.observation.suspect,
            heard_s: entry.observation.last_seen.map(age),
            votes: entry.votes.keys().cloned().collect(),
        }
    }
}
