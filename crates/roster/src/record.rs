//! The announcement of an instance, and the merging of two of them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use unit::{Fingerprint, Incarnation, Instance, Service, Zone};

/// The state of an instance. Within one incarnation it only moves down this list.
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
    /// It finishes running requests and takes no new work.
    #[display("leaving")]
    Leaving,
    /// It has stopped, or was removed by a quorum of observers.
    #[display("gone")]
    Gone,
}

/// The announcement of one instance.
///
/// It has the same form on the platform, where it is stored as JSON under `instances/NAME`, and
/// between daemons, which relay it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The instance that the record is about.
    pub instance: Instance,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
    /// The state of this incarnation.
    pub state: State,
    /// The availability zone it runs in.
    pub zone: Zone,
    /// The region of that zone.
    pub region: String,
    /// The service whose requests its target answers.
    pub service: Service,
    /// The address at which its daemon accepts links.
    pub link: SocketAddr,
    /// The fingerprint of the certificate that its daemon presents on links.
    pub fingerprint: Fingerprint,
}

/// The result of merging a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The instance was not known.
    New,
    /// The record replaced an earlier one of the same instance.
    Changed,
    /// The record held is as new or newer.
    Old,
}

impl Record {
    /// Whether this record replaces `other`, which is about the same instance.
    ///
    /// The higher incarnation wins, then the later state, then a fixed order over the other fields.
    /// Two processes under one name and incarnation are an operator's mistake, but all daemons must
    /// still agree on one of them.
    pub fn supersedes(&self, other: &Record) -> bool {
        self.precedence() > other.precedence()
    }

    /// The record that supersedes the other: commutative, associative and idempotent.
    pub fn join(self, other: Record) -> Record {
        if other.supersedes(&self) { other } else { self }
    }

    /// Whether both records have the same address, zone and service, in whichever incarnations.
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
