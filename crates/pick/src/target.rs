//! A target as the roster describes it.

use serde::Serialize;
use unit::{Incarnation, Instance, Zone};

/// A target as the roster describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Its instance.
    pub instance: Instance,
    /// The zone in which it runs.
    pub zone: Zone,
    /// The region of that zone.
    pub region: String,
    /// Its incarnation; statistics of an earlier one are dropped.
    pub incarnation: Incarnation,
    /// Whether it has announced that it leaves; then it gets no new requests.
    pub leaving: bool,
    /// Whether its zone is evacuated; then it gets no requests at all.
    pub evacuated: bool,
}
