//! The origin of a request.

use std::net::IpAddr;

use nest::Parent;

/// The port that a request arrived on, and its sender.
#[derive(Debug, Clone)]
pub enum Origin {
    /// A caller on the callers' port, by its IP address.
    Outside(IpAddr),
    /// This instance's own target, with the running call that the request belongs to; `None` if it
    /// names no running call.
    Nested(Option<Parent>),
}
