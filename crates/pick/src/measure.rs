//! The budget for load reports: a limit in bytes and messages per second, whatever the request
//! rate.
//!
//! A report attached to an answer costs bytes; a probe or a notice also costs a message. The bytes
//! of all of them come out of one bucket. Part of it is reserved for reports on urgent answers and
//! to entries that have received none for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use unit::{Instance, Rate, Report, Size, Urgency};

use crate::tokens::Tokens;

/// Bytes that a report adds to an answer, as encoded.
pub const REPORT_BYTES: u64 = 16;
/// Bytes of a probe and its answer, or of a notice, with all headers below.
pub const PROBE_BYTES: u64 = 160;
/// The buckets hold what the rate gives in this time, which bounds bursts.
const BURST: Duration = Duration::from_millis(500);
/// Share of the bucket that is reserved for urgent and overdue reports.
const RESERVED: f64 = 0.5;
/// Time after a report in which an entry gets no other one on a routine answer.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(5);
/// Time without a report after which one for this entry may use the reserved share.
const PRIORITY_AFTER: Duration = Duration::from_millis(250);
/// Most peers whose last report is remembered; beyond it the older half is evicted.
const MAX_PEERS: usize = 4096;

/// Limits on load reports, probes and notices.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Setting {
    /// Bytes per second for attached reports, probes and notices together.
    pub bytes: Size,
    /// Probes and notices per second.
    pub messages: Rate,
}

impl Default for Setting {
    fn default() -> Setting {
        Setting {
            bytes: Size::of(1_000),
            messages: Rate::of(2.0),
        }
    }
}

/// Use of the budget since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Spent {
    /// Bytes of attached reports, probes and notices.
    pub bytes: u64,
    /// Probes and notices.
    pub messages: u64,
    /// Reports attached to answers.
    pub rides: u64,
    /// Reports, probes and notices that were held back by the budget.
    pub held: u64,
}

/// Limits the cost of load reports, whatever the request rate.
#[derive(Debug)]
pub struct Budget {
    bytes: Tokens,
    messages: Tokens,
    capacity: f64,
    peers: BTreeMap<Instance, LastReport>,
    spent: Spent,
}

/// When a peer was last sent a report, and whether it said that the gate is hot.
#[derive(Debug, Clone, Copy)]
struct LastReport {
    at: Instant,
    hot: bool,
}

impl Budget {
    /// A budget that starts empty, so that its use never exceeds the rate times its age.
    pub fn new(setting: Setting) -> Budget {
        let rate = setting.bytes.bytes() as f64;
        let capacity = (rate * BURST.as_secs_f64()).max(PROBE_BYTES as f64);
        let messages = setting.messages.per_second();
        let message_capacity = (messages * BURST.as_secs_f64()).max(1.0);
        Budget {
            bytes: Tokens::new(rate, capacity).with_level(0.0),
            messages: Tokens::new(messages, message_capacity).with_level(0.0),
            capacity,
            peers: BTreeMap::new(),
            spent: Spent::default(),
        }
    }

    /// Whether `report` may be attached to an answer of `urgency` to `entry`; if so, spends its
    /// bytes.
    pub fn try_attach(
        &mut self,
        now: Instant,
        entry: &Instance,
        urgency: Urgency,
        report: &Report,
    ) -> bool {
        let last = self.peers.get(entry).copied();
        let age = last.map_or(Duration::MAX, |last| now.saturating_duration_since(last.at));
        let changed = last.is_some_and(|last| last.hot != report.hot);
        let priority = urgency == Urgency::Urgent || changed || age >= PRIORITY_AFTER;
        if !priority && age < MIN_REPORT_INTERVAL {
            return false;
        }
        let reserve = if priority {
            0.0
        } else {
            self.capacity * RESERVED
        };
        if !self.bytes.holds(now, REPORT_BYTES as f64, reserve) {
            self.spent.held += 1;
            return false;
        }
        self.bytes.try_take(now, REPORT_BYTES as f64);
        self.spent.bytes += REPORT_BYTES;
        self.spent.rides += 1;
        self.record_report(now, entry, report.hot);
        true
    }

    /// Whether a probe or notice may be sent now; if so, spends its bytes and one message.
    ///
    /// With `urgent` it may use the reserved share: for urgent calls, and for peers from which no
    /// report has been received for a while.
    pub fn try_probe(&mut self, now: Instant, urgent: bool) -> bool {
        let cost = PROBE_BYTES as f64;
        let reserve = if urgent {
            0.0
        } else {
            self.capacity * RESERVED
        };
        let reserve = reserve.min(self.capacity - cost);
        let granted = self.bytes.holds(now, cost, reserve) && self.messages.try_take(now, 1.0);
        if !granted {
            self.spent.held += 1;
            return false;
        }
        self.bytes.try_take(now, cost);
        self.spent.bytes += PROBE_BYTES;
        self.spent.messages += 1;
        true
    }

    /// Whether a notice that the gate has become hot, or no longer is, may be sent to `entry`; if
    /// so, spends its bytes and one message.
    pub fn try_notify(&mut self, now: Instant, entry: &Instance, hot: bool) -> bool {
        let known = self.peers.get(entry).is_some_and(|last| last.hot == hot);
        if known || !self.try_probe(now, true) {
            return false;
        }
        self.record_report(now, entry, hot);
        true
    }

    /// Use of the budget since the start.
    pub fn spent(&self) -> Spent {
        self.spent
    }

    fn record_report(&mut self, now: Instant, entry: &Instance, hot: bool) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(entry) {
            self.evict();
        }
        self.peers
            .insert(entry.clone(), LastReport { at: now, hot });
    }

    /// Evicts the half of the peers with the oldest reports.
    fn evict(&mut self) {
        let mut times: Vec<Instant> = self.peers.values().map(|last| last.at).collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.peers.retain(|_, last| last.at > middle);
    }
}
