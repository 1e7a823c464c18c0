//! What the roster tells of a target.

use serde::Serialize;
use unit::{Incarnation, Instance, Zone};

/// What the roster tells of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Which instance it is.
    pub instance: Instance,
    /// Where it runs.
    pub zone: Zone,
    /// Which of its lives this is; statistics of an earlier one are dropped.
    pub incarnation: Incarnation,
    /// It has announced that it leaves: it gets no new requests.
    pub leaving: bool,
}
