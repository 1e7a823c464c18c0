//! What callers may send, as the rules bound it.

use std::time::Duration;

use unit::Size;

/// Limits on what callers may send; one that is not set keeps the default of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Most bytes of a request's head.
    pub head: Option<Size>,
    /// Most bytes of a request's body.
    pub body: Option<Size>,
    /// Longest time that a head may take to come, from its first byte.
    pub head_timeout: Option<Duration>,
    /// Longest time that a connection may lie idle between two requests.
    pub idle: Option<Duration>,
}
