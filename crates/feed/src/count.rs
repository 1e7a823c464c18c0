//! Counts messages and bytes by kind, to check them against the control budget.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde::Serialize;

use crate::message::Kind;

/// Bytes that a message of one packet adds to its payload: 100 of QUIC, as the example `link`
/// prints them, and the IP and UDP headers of the packet and of its acknowledgement.
pub const MESSAGE_OVERHEAD: u64 = 160;
/// Bytes that each further packet adds, from the same example.
pub const PACKET_OVERHEAD: u64 = 90;
/// Payload in bytes that fits in one packet.
const PACKET_PAYLOAD: u64 = 1_200;

/// The traffic of one kind of message, answers included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Flow {
    /// Messages and answers sent.
    pub sent: u64,
    /// Payload bytes sent.
    pub sent_bytes: u64,
    /// Messages and answers received.
    pub received: u64,
    /// Payload bytes received.
    pub received_bytes: u64,
    /// Payload bytes plus [`MESSAGE_OVERHEAD`] and [`PACKET_OVERHEAD`], both ways; without
    /// handshakes.
    pub network_bytes: u64,
    /// Messages without an answer.
    pub failed: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Count {
    flows: Mutex<BTreeMap<Kind, Flow>>,
}

impl Count {
    pub(crate) fn sent(&self, kind: Kind, bytes: usize) {
        self.add(kind, |flow| {
            flow.sent += 1;
            flow.sent_bytes += bytes as u64;
            flow.network_bytes += with_overhead(bytes as u64);
        });
    }

    pub(crate) fn received(&self, kind: Kind, bytes: usize) {
        self.add(kind, |flow| {
            flow.received += 1;
            flow.received_bytes += bytes as u64;
            flow.network_bytes += with_overhead(bytes as u64);
        });
    }

    pub(crate) fn failed(&self, kind: Kind) {
        self.add(kind, |flow| flow.failed += 1);
    }

    /// The number of messages and answers received, of all kinds.
    pub(crate) fn total_received(&self) -> u64 {
        self.flows.lock().values().map(|flow| flow.received).sum()
    }

    pub(crate) fn flows(&self) -> BTreeMap<Kind, Flow> {
        self.flows.lock().clone()
    }

    fn add(&self, kind: Kind, with: impl FnOnce(&mut Flow)) {
        with(self.flows.lock().entry(kind).or_default());
    }
}

fn with_overhead(bytes: u64) -> u64 {
    bytes + MESSAGE_OVERHEAD + bytes.saturating_sub(1) / PACKET_PAYLOAD * PACKET_OVERHEAD
}
