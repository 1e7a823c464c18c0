//! Settings that the targets of a service share.

/// The settings of all targets of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Target {
    /// The path of the target's health check.
    pub health: Option<String>,
    /// Maximum number of connections to a target from all its callers.
    pub connections: Option<u32>,
}
