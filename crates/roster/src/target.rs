//! A live instance as target selection sees it.

use std::net::SocketAddr;

use serde::Serialize;
use unit::{Incarnation, Instance, Zone};

use crate::record::Record;

/// A live instance of a service, for target selection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// The instance.
    pub instance: Instance,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: String,
    /// The address at which its daemon accepts links.
    pub link: SocketAddr,
    /// Whether the instance is silent, as seen here or by an observer. Target selection avoids it
    /// while there are others. It has not been removed, and may still answer.
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
