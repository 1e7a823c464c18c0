//! What may be set about the choice.

use std::time::Duration;

/// What may be set about the choice; [`Setting::default`] suits both users' sizes of today.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// Targets that a routine request looks at, in the entry's zone and in the others each.
    pub sample: usize,
    /// An urgent request draws among this many of the best.
    pub best: usize,
    /// Answers after which a new target has its full share.
    pub ramp: u32,
    /// A report of this age counts half; the rest is the mean over the targets.
    pub half_life: Duration,
    /// More targets than this are cut down to a subset.
    pub subset_threshold: usize,
    /// Targets in the subset outside the entry's zone.
    pub subset_remote: usize,
    /// What a call to another zone costs beside the way there, in mean service times: bytes between
    /// zones are paid for. A request stays in its zone while the wait there is longer by less.
    pub cross_zone_cost: f64,
}

impl Default for Setting {
    fn default() -> Setting {
        Setting {
            sample: 3,
            best: 2,
            ramp: 64,
            half_life: Duration::from_millis(100),
            subset_threshold: 16,
            subset_remote: 12,
            cross_zone_cost: 0.0,
        }
    }
}
