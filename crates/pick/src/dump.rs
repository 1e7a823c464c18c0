//! The state of a choice, for the operator's dump.

use serde::Serialize;
use unit::{Report, Zone};

use crate::Target;

/// The state of one [`Pick`](crate::Pick).
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// The zone of the entry.
    pub zone: Zone,
    /// Targets known, before the subset.
    pub known: usize,
    /// Choices made since the start.
    pub choices: u64,
    /// Smoothed service time over all targets, in microseconds.
    pub service_us: u64,
    /// The targets of the subset, by name.
    pub targets: Vec<Line>,
}

/// The state of one target in a [`Dump`].
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// What the roster says.
    pub target: Target,
    /// Own calls under way.
    pub running: usize,
    /// Own answers since the target came.
    pub answered: u32,
    /// Failures in a row; above zero its share is capped.
    pub failures: u32,
    /// Smoothed share of failures, 0 to 1.
    pub errors: f64,
    /// The last report.
    pub report: Option<Report>,
    /// Its age in milliseconds.
    pub report_age_ms: Option<u64>,
    /// The time that a routine request would take, as estimated, in microseconds.
    pub estimate_us: u64,
}
