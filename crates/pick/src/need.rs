//! The requirements of a request.

use unit::{Instance, Urgency};

/// The requirements of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Need<'a> {
    /// All targets are compared for an urgent request, and a sample for others.
    pub urgency: Urgency,
    /// How much the zone of the target matters.
    pub zone: Preference,
    /// Instances that already had an attempt of this request, or that must not run it.
    pub exclude: &'a [Instance],
    /// Whether the answer is long, so that the backlog of the target's link counts.
    pub bulk: bool,
}

/// How much the zone of the target matters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Preference {
    /// The round trip to another zone, and its cost, are added to the estimate.
    #[default]
    Near,
    /// The zone is ignored.
    Any,
    /// Only targets in the entry's zone.
    Only,
}

impl Need<'_> {
    /// A request of `urgency` without further requirements.
    pub fn of(urgency: Urgency) -> Need<'static> {
        Need {
            urgency,
            zone: Preference::Near,
            exclude: &[],
            bulk: false,
        }
    }
}
