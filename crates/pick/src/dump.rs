//! The state of a [`Pick`](crate::Pick) for the operator's dump.

use std::collections::BTreeMap;

use serde::Serialize;
use unit::{Report, Zone};

use crate::{Target, traffic};

/// The state of one [`Pick`](crate::Pick).
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// The zone of the entry.
    pub zone: Zone,
    /// Number of targets of the service, before the subset.
    pub known: usize,
    /// Number of those in evacuated zones, which get no requests.
    pub evacuated: usize,
    /// Choices made since the start.
    pub choices: u64,
    /// Smoothed service time over all targets, in microseconds.
    pub service_us: u64,
    /// Calls of this entry by the region of the target, and their bytes.
    pub regions: BTreeMap<String, traffic::Count>,
    /// The targets of the subset, sorted by name.
    pub targets: Vec<Line>,
}

/// The state of one target in a [`Dump`].
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// The target as the roster describes it.
    pub target: Target,
    /// Calls of this entry in flight.
    pub running: usize,
    /// Answers to this entry since the target was added.
    pub answered: u32,
    /// Consecutive failures; from two on its share is capped.
    pub failures: u32,
    /// Smoothed failure rate, 0 to 1.
    pub errors: f64,
    /// Network round-trip time in microseconds: measured where the link to it says so, otherwise as
    /// configured.
    pub round_trip_us: u64,
    /// Smoothed ratio of the time of work here to the mean of the same class over all targets; 1
    /// where it is unknown.
    pub speed: f64,
    /// The last report.
    pub report: Option<Report>,
    /// Age of the last report in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Estimated time of a routine request, in microseconds.
    pub estimate_us: u64,
}
