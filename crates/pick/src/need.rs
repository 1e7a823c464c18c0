//! The requirements of a request.

use unit::{Instance, Region, Urgency};

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
    /// The class of work, for its bytes and its service time; 0 if it is unknown.
    pub class: u32,
    /// Whether another request waits for this one; gates start it before all that wait.
    pub nested: bool,
    /// The regions in which the request may be served; `None` if it may be served anywhere.
    pub regions: Option<&'a [Region]>,
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
            class: 0,
            nested: false,
            regions: None,
        }
    }
}
