//! An instance as a choice for work.

use std::net::SocketAddr;

use serde::Serialize;
use unit::{Incarnation, Instance, Zone};

use crate::record::Record;

/// A live instance of a service, as the choice of target reads it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// The instance.
    pub instance: Instance,
    /// Which of its lives is live.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: String,
    /// Where its daemon accepts links.
    pub link: SocketAddr,
    /// It has fallen silent, here or at an observer. Avoid it while others are left; it has not
    /// been removed, and may answer.
    pub suspect: bool,
}

impl Target {
    pub(crate) fn of(record: &Record, suspect: bool) -> Target {
        Target {
            instance: record.instance.clone(),
            incarnation: record.incarnation,
            zone: record.zone.clone(),
            region: record.region.clone(),
            link: record.link,
            suspect,
        }
    }
}
