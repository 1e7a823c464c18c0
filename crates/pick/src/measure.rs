//! The budget for measuring: bytes and messages per second that no request rate raises.
//!
//! A report that rides on an answer costs bytes, a probe or a notice costs a message besides.
//! Both come out of the same bucket. Reports for urgent calls, and to entries that have not heard
//! for long, go first: the last part of the bucket is kept for them.

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
/// The bucket holds this long of the rate, so a burst is bounded too.
const BURST: Duration = Duration::from_millis(500);
/// This part of the bucket is kept for urgent calls and those not heard from.
const KEPT: f64 = 0.5;
/// An entry that has heard less than this ago gets no report on a routine answer.
const RECENT: Duration = Duration::from_millis(5);
/// An entry that has heard nothing for this long may draw on the kept part.
const LONG: Duration = Duration::from_millis(250);
/// Peers whose last report is remembered; beyond these the oldest is forgotten.
const MAX_PEERS: usize = 4096;

/// What may be spent on measuring.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Setting {
    /// Bytes per second for riding reports, probes and notices together.
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

/// What has been spent since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Spent {
    /// Bytes of riding reports, probes and notices.
    pub bytes: u64,
    /// Probes and notices.
    pub messages: u64,
    /// Reports that rode on answers.
    pub rides: u64,
    /// Reports, probes and notices that the budget held back.
    pub held: u64,
}

/// Holds the cost of measuring whatever the request rate.
#[derive(Debug)]
pub struct Budget {
    bytes: Tokens,
    messages: Tokens,
    full: f64,
    told: BTreeMap<Instance, Told>,
    spent: Spent,
}

/// What a peer was last told.
#[derive(Debug, Clone, Copy)]
struct Told {
    at: Instant,
    hot: bool,
}

impl Budget {
    /// An empty budget, so that no more than its rate is spent over its whole life.
    pub fn new(setting: Setting) -> Budget {
        let rate = setting.bytes.bytes() as f64;
        let full = (rate * BURST.as_secs_f64()).max(PROBE_BYTES as f64);
        let messages = setting.messages.per_second();
        let most = (messages * BURST.as_secs_f64()).max(1.0);
        Budget {
            bytes: Tokens::new(rate, full).at_level(0.0),
            messages: Tokens::new(messages, most).at_level(0.0),
            full,
            told: BTreeMap::new(),
            spent: Spent::default(),
        }
    }

    /// Whether `report` rides on an answer of `urgency` to `entry`; it is then counted as spent.
    pub fn try_attach(
        &mut self,
        now: Instant,
        entry: &Instance,
        urgency: Urgency,
        report: &Report,
    ) -> bool {
        let told = self.told.get(entry).copied();
        let age = told.map_or(Duration::MAX, |told| now.saturating_duration_since(told.at));
        let turned = told.is_some_and(|told| told.hot != report.hot);
        let first = urgency == Urgency::Urgent || turned || age >= LONG;
        if !first && age < RECENT {
            return false;
        }
        let keep = if first { 0.0 } else { self.full * KEPT };
        if !self.bytes.holds(now, REPORT_BYTES as f64, keep) {
            self.spent.held += 1;
            return false;
        }
        self.bytes.take(now, REPORT_BYTES as f64);
        self.spent.bytes += REPORT_BYTES;
        self.spent.rides += 1;
        self.tell(now, entry, report.hot);
        true
    }

    /// Whether a probe or notice may go to `peer` now; it is then counted as spent.
    ///
    /// Only urgent calls, and peers not heard from, are worth one: pass `urgent` for these.
    pub fn try_probe(&mut self, now: Instant, urgent: bool) -> bool {
        let cost = PROBE_BYTES as f64;
        let keep = if urgent { 0.0 } else { self.full * KEPT };
        let keep = keep.min(self.full - cost);
        let may = self.bytes.holds(now, cost, keep) && self.messages.take(now, 1.0);
        if !may {
            self.spent.held += 1;
            return false;
        }
        self.bytes.take(now, cost);
        self.spent.bytes += PROBE_BYTES;
        self.spent.messages += 1;
        true
    }

    /// Whether a notice that the gate turned hot or cold may go to `entry`; it is then counted.
    pub fn try_notify(&mut self, now: Instant, entry: &Instance, hot: bool) -> bool {
        let known = self.told.get(entry).is_some_and(|told| told.hot == hot);
        if known || !self.try_probe(now, true) {
            return false;
        }
        self.tell(now, entry, hot);
        true
    }

    /// What has been spent since the start.
    pub fn spent(&self) -> Spent {
        self.spent
    }

    fn tell(&mut self, now: Instant, entry: &Instance, hot: bool) {
        if self.told.len() >= MAX_PEERS && !self.told.contains_key(entry) {
            self.forget();
        }
        self.told.insert(entry.clone(), Told { at: now, hot });
    }

    /// Forgets the half of the peers that were told the longest ago.
    fn forget(&mut self) {
        let mut times: Vec<Instant> = self.told.values().map(|told| told.at).collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.told.retain(|_, told| told.at > middle);
    }
}
