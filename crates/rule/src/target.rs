//! Settings that the targets of a service share.

use std::time::Duration;

use unit::Rate;

/// The settings of all targets of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Target {
    /// The path of the target's health check.
    pub health: Option<String>,
    /// Maximum number of connections to a target from all its callers.
    pub connections: Option<u32>,
    /// Requests that a target bears while it is cold.
    pub cold_rate: Option<Rate>,
    /// How long a target stays cold after it has become so.
    pub warmup: Option<Duration>,
}
