//! Loopback addresses that no other test uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

static NEXT: AtomicU16 = AtomicU16::new(0);

const FIRST_PORT: u16 = 10_000;
const PORTS_EACH: u16 = 10;
const BLOCKS: u16 = 2_000;

/// One port of each instance of a mesh.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Address {
    /// Requests from callers.
    Callers,
    /// Nested calls of the target.
    Outbound,
    /// Links of other daemons.
    Link,
    /// The operator's port.
    Operator,
    /// The target itself.
    Target,
    /// The platform's stand-in.
    Store,
}

/// A block of addresses.
///
/// The process id makes the network and a counter makes the ports, so that tests that run at the
/// same time, in one process or several, never meet. The ports lie below those that the system
/// hands out by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    network: [u8; 2],
    port: u16,
}

impl Block {
    /// The next unused block.
    pub fn next() -> Block {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let count = NEXT.fetch_add(1, Ordering::Relaxed) % BLOCKS;
        Block {
            network: [high, low],
            port: FIRST_PORT + count * PORTS_EACH,
        }
    }

    /// The address of `what` at instance `index` (0 to 199).
    pub fn of(self, index: usize, what: Address) -> SocketAddr {
        let [high, low] = self.network;
        let host = u8::try_from(index + 1).unwrap_or(u8::MAX);
        let ip = IpAddr::V4(Ipv4Addr::new(127, high, low, host));
        SocketAddr::new(ip, self.port + what as u16)
    }
}
