//! Limits on what callers may send.

use std::time::Duration;

use unit::Size;

/// Limits on what callers may send; one that is not set keeps the default of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum size of a request's head.
    pub head: Option<Size>,
    /// Maximum size of a request's body.
    pub body: Option<Size>,
    /// Maximum time to receive a request's head, from its first byte.
    pub head_timeout: Option<Duration>,
    /// Maximum time that a connection may be idle between two requests.
    pub idle: Option<Duration>,
}
