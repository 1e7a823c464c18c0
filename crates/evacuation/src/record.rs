//! What is known of the evacuation of one zone.

use serde::{Deserialize, Serialize};
use unit::{Version, Zone};

/// What is known of the evacuation of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The zone.
    pub zone: Zone,
    /// The store's revision at which this was so.
    pub version: Version,
    /// Whether the zone is evacuated; false if its evacuation has ended.
    pub evacuated: bool,
}

impl Record {
    /// Whether this record replaces `other`, which is about the same zone.
    ///
    /// At the same version the end of an evacuation wins: a store may report a deletion with the
    /// revision of the object that was deleted.
    pub(crate) fn supersedes(&self, other: &Record) -> bool {
        (self.version, !self.evacuated) > (other.version, !other.evacuated)
    }
}
