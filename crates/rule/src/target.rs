//! How the targets of a service are asked after their health.

/// What all targets of one service have in common.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Target {
    /// The path that answers whether the target is well.
    pub health: Option<String>,
    /// Most connections that a target takes from all its callers.
    pub connections: Option<u32>,
}
