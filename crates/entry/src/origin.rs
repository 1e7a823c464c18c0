//! Where a request comes from.

use std::net::IpAddr;

use nest::Parent;

/// Where a request comes from.
#[derive(Debug, Clone)]
pub enum Origin {
    /// A caller on the callers' port, with its address.
    Outside(IpAddr),
    /// This instance's own target on the outbound port, with the running call that it named.
    Nested(Option<Parent>),
}
