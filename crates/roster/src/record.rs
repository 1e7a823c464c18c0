//! What is announced of an instance, and how two announcements merge.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use unit::{Fingerprint, Incarnation, Instance, Service, Zone};

/// Where an instance is in its life; within one incarnation it only moves down this list.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes new work.
    #[display("live")]
    Live,
    /// It finishes what runs and takes no new work.
    #[display("leaving")]
    Leaving,
    /// It has stopped, or was removed by a quorum of observers.
    #[display("gone")]
    Gone,
}

/// The announcement of one instance.
///
/// The same shape is stored on the platform as JSON under `instances/NAME` and relayed between
/// daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The instance that the record is about.
    pub instance: Instance,
    /// Which of its lives the record is about.
    pub incarnation: Incarnation,
    /// Where the instance is in this life.
    pub state: State,
    /// The availability zone it runs in.
    pub zone: Zone,
    /// The region of that zone.
    pub region: String,
    /// The service whose requests its target answers.
    pub service: Service,
    /// Where its daemon accepts links.
    pub link: SocketAddr,
    /// The certificate that its daemon shows on links.
    pub fingerprint: Fingerprint,
}

/// What became of a record that was merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The instance was not known.
    New,
    /// The record replaced an earlier one of the same instance.
    Changed,
    /// What was known is as new or newer.
    Old,
}

impl Record {
    /// Tells whether this record replaces `other`, which is about the same instance.
    ///
    /// The higher incarnation wins, then the later state. What is left is a fixed order over the
    /// other fields: two processes under one name and incarnation are an operator's mistake, but
    /// all daemons must still agree on one of them.
    pub fn supersedes(&self, other: &Record) -> bool {
        self.precedence() > other.precedence()
    }

    /// The later of two records about one instance: commutative, associative and idempotent.
    pub fn join(self, other: Record) -> Record {
        if other.supersedes(&self) { other } else { self }
    }

    /// Whether both say the same of where the instance is, whichever lives of it they are about.
    pub fn same_place(&self, other: &Record) -> bool {
        let place = |record: &Record| (record.link, record.zone.clone(), record.service.clone());
        self.instance == other.instance && place(self) == place(other)
    }

    /// The same record with the instance gone.
    pub(crate) fn gone(&self) -> Record {
        Record {
            state: State::Gone,
            ..self.clone()
        }
    }

    fn precedence(&self) -> impl Ord + '_ {
        (
            self.incarnation,
            self.state,
            self.fingerprint,
            self.link,
            &self.service,
            &self.zone,
            &self.region,
        )
    }
}
