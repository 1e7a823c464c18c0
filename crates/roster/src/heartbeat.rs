//! Heartbeats between daemons: receivers, interval, contents and network cost.
//!
//! Each daemon sends heartbeats to its own observers: four of its zone and one of each other zone.
//! With 1,800 instances in 8 zones that is 11 heartbeats each 5 s, and as many received on average.
//! Sending them to the zone's three watchers instead would make each watcher receive from 225
//! daemons, and that traffic alone would come near the whole allowance of a daemon; see
//! `docs/design/roster.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::{Era, Incarnation, Instance, Rate, Version};

use crate::roster::Roster;

/// Bytes on the network for one heartbeat: 12 to 28 of payload, the frame and packet of QUIC, the
/// headers of UDP and IP, and the packet that acknowledges it. A heartbeat and its answer together
/// take 240 bytes of UDP payload, or 359 with headers, as reported by the example `link` of the
/// crate `feed`.
pub const HEARTBEAT_BYTES: u64 = 180;
/// Bytes on the network for the answer to a heartbeat, which is as large.
pub const ACK_BYTES: u64 = 180;
/// The denominator of the jitter: a heartbeat is sent up to a fifth of the interval early or late.
const JITTER: u32 = 5;

/// The contents of a heartbeat, by which daemons check that their rosters and rules agree.
///
/// A daemon that receives another total asks for the sender's [`Summary`](crate::Summary); one that
/// receives a higher version of the rules asks for these. With two heartbeats received a second on
/// average, a daemon that the fan-out tree has missed notices within a second.
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
    /// The digest of the evacuations that the sender knows; 0 if there were none.
    pub evacuations: u64,
}

/// The network cost of heartbeats for one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Cost {
    /// Heartbeats sent per second.
    pub beats: Rate,
    /// Bytes sent and received per second, acknowledgements included.
    pub bytes: Rate,
}

/// Returns the cost of sending `sent` and receiving `received` heartbeats each `interval`.
pub fn cost(interval: Duration, sent: usize, received: usize) -> Cost {
    let each = (HEARTBEAT_BYTES + ACK_BYTES) as f64;
    let seconds = interval.as_secs_f64();
    Cost {
        beats: Rate::of(sent as f64 / seconds),
        bytes: Rate::of((sent + received) as f64 * each / seconds),
    }
}

impl Roster {
    /// The instances to which this daemon sends heartbeats: its observers.
    pub fn heartbeat_receivers(&self) -> Vec<Instance> {
        self.observers(&self.me)
    }

    /// When to send the next heartbeat: after the interval, plus or minus a fifth so that
    /// heartbeats don't synchronise.
    pub fn next_heartbeat(&mut self, now: Instant) -> Instant {
        let interval = self.policy.heartbeat_interval;
        let earliest = interval - interval / JITTER;
        now + earliest + self.jitter(interval / JITTER * 2)
    }

    /// Returns the heartbeat to send, given the version of the rules in force here, the store's era
    /// and the digest of the evacuations.
    pub fn heartbeat(&self, rules: Version, era: Option<Era>, evacuations: u64) -> Beat {
        Beat {
            incarnation: self.own.record().incarnation,
            total: self.summary.total(),
            rules,
            era,
            evacuations,
        }
    }

    /// Records a heartbeat, and returns whether the sender's roster differs from this one.
    pub fn heartbeat_received(&mut self, now: Instant, from: &Instance, beat: &Beat) -> bool {
        self.mark_seen(now, from);
        self.update_received(now);
        beat.total != self.summary.total()
    }
}
