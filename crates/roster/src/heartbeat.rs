//! Heartbeats between daemons: who beats to whom, how often, and at what cost.
//!
//! Each daemon beats to its own observers: four of its zone and one of each other zone. At the
//! design size, with 8 zones, that is 11 beats each 5 s, and as many received on average. We
//! weighed beats to the zone's three watchers: each would receive from 225 daemons, and its
//! traffic alone would come near the whole allowance; see `docs/design/roster.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::{Era, Incarnation, Instance, Rate, Version};

use crate::roster::Roster;

/// Bytes on the network for one beat: 12 to 28 of payload, a frame and packet of QUIC, the headers
/// of UDP and IP, and the packet that acknowledges it. Measured over a link by the example `link`
/// of the crate `feed`: 240 bytes of UDP payload for a beat with its answer, 359 with headers.
pub const HEARTBEAT_BYTES: u64 = 180;
/// Bytes on the network for the answer to a beat, which is as large.
pub const ACK_BYTES: u64 = 180;
/// By how much of the period a beat comes earlier or later, as its denominator.
const JITTER: u32 = 5;

/// What a heartbeat says. It makes each beat a check that rosters and rules agree.
///
/// A daemon that sees another total asks for the sender's [`Summary`](crate::Summary); one that
/// sees a higher version of the rules asks for these. With two beats a second on average, a
/// daemon that the fan-out tree has missed notices within a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The digest of the sender's roster; see [`Summary::total`](crate::Summary::total).
    pub total: u64,
    /// The version of the rules that the sender has in force.
    pub rules: Version,
    /// The newest era of the store that the sender knows.
    pub era: Option<Era>,
}

/// What heartbeats cost one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Cost {
    /// Beats sent a second.
    pub beats: Rate,
    /// Bytes a second, sent and received, acknowledgements included.
    pub bytes: Rate,
}

/// The cost of sending `out` beats and receiving `in_` beats each period.
pub fn cost(period: Duration, out: usize, in_: usize) -> Cost {
    let each = (HEARTBEAT_BYTES + ACK_BYTES) as f64;
    let seconds = period.as_secs_f64();
    Cost {
        beats: Rate::of(out as f64 / seconds),
        bytes: Rate::of((out + in_) as f64 * each / seconds),
    }
}

impl Roster {
    /// To whom this daemon beats: its observers.
    pub fn heartbeat_receivers(&self) -> Vec<Instance> {
        self.observers(&self.me)
    }

    /// When to beat next: a period from now, give or take a fifth so that beats don't bunch.
    pub fn next_heartbeat(&mut self, now: Instant) -> Instant {
        let period = self.policy.heartbeat_interval;
        let early = period - period / JITTER;
        now + early + self.jitter(period / JITTER * 2)
    }

    /// What to say in a beat, with the rules' version in force here and the store's era.
    pub fn heartbeat(&self, rules: Version, era: Option<Era>) -> Beat {
        Beat {
            incarnation: self.own.record().incarnation,
            total: self.summary.total(),
            rules,
            era,
        }
    }

    /// Notes a beat, and tells whether the sender's roster differs from this one.
    pub fn heartbeat_received(&mut self, now: Instant, from: &Instance, beat: &Beat) -> bool {
        self.mark_seen(now, from);
        self.update_received(now);
        beat.total != self.summary.total()
    }
}
