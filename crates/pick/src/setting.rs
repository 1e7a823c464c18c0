//! Settings of the choice of targets.

use std::time::Duration;

/// Settings of the choice of targets; [`Setting::default`] suits the deployments of both users.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// Targets that are compared for a request that is not urgent: this many in the entry's zone,
    /// and as many in the other zones.
    pub sample: usize,
    /// Number of best targets among which an urgent request is drawn.
    pub best: usize,
    /// Answers after which a new target gets its full share.
    pub ramp: u32,
    /// Time after which it gets its full share with fewer answers. A target of a large fleet gives about
    /// one a second, and would otherwise get less than others for a minute.
    pub ramp_time: Duration,
    /// Age at which a report has half its weight; the mean over the targets has the rest.
    pub half_life: Duration,
    /// Number of targets above which an entry uses a subset of them.
    pub subset_threshold: usize,
    /// Largest number of targets of the entry's zone in the subset.
    pub subset_near: usize,
    /// Number of targets outside the entry's zone in the subset.
    pub subset_remote: usize,
    /// Cost of a call to another zone beside the network delay, in mean service times, since
    /// traffic between zones is billed. A request stays in its zone while the extra wait there is
    /// shorter.
    pub cross_zone_cost: f64,
    /// Number of targets outside the entry's region among [`Setting::subset_remote`].
    pub subset_abroad: usize,
    /// Whether the estimate uses the service time of the request's class at each target instead of
    /// one time for each target.
    pub by_class: bool,
}

impl Default for Setting {
    fn default() -> Setting {
        Setting {
            sample: 3,
            best: 2,
            ramp: 64,
            ramp_time: Duration::from_secs(10),
            half_life: Duration::from_millis(100),
            subset_threshold: 16,
            subset_near: 32,
            subset_remote: 12,
            cross_zone_cost: 0.0,
            subset_abroad: 4,
            by_class: false,
        }
    }
}
