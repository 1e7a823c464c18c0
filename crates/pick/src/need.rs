//! What a request asks of the choice.

use unit::{Instance, Urgency};

/// What a request asks of the choice.
#[derive(Debug, Clone, Copy, Default)]
pub struct Need<'a> {
    /// Urgent requests look at all targets, others at a sample.
    pub urgency: Urgency,
    /// How much the zone of the target matters.
    pub zone: Preference,
    /// Instances that this request has already tried, or that must not run it.
    pub exclude: &'a [Instance],
}

/// How much the zone of the target matters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Preference {
    /// The way to another zone is counted as waiting time.
    #[default]
    Near,
    /// All zones are alike.
    Any,
    /// Only targets in the entry's zone.
    Only,
}

impl Need<'_> {
    /// A request of `urgency` without further wishes.
    pub fn of(urgency: Urgency) -> Need<'static> {
        Need {
            urgency,
            zone: Preference::Near,
            exclude: &[],
        }
    }
}
