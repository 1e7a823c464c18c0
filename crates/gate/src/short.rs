//! Keeps a slot free for short nested calls where they run beside long work.
//!
//! A nested call starts in any free slot and before all that waits, but it can't start while each
//! slot holds a long run. Beside reads of 750 ms in 9 slots the next one ends after 83 ms on
//! average, and a check of 55 ms that is due in 150 ms is then late in one case of three. One slot
//! that long work does not take is usually free when the next check arrives, as checks leave it
//! soon.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::core::{Core, Held};
use crate::request::Request;

/// Long work takes at least this many times as long as nested calls where a slot is kept. Where they
/// take about as long, the slot that frees next is soon enough.
const LENGTH_RATIO: f64 = 3.0;
/// How long a slot is kept after a nested call has last found none free. Demand that comes back
/// within that time, as in a swing of 13 s, does not pay for its first late calls again.
const PERIOD: Duration = Duration::from_secs(15);
/// Slots below which none is kept: of two or fewer it would be at least half of the capacity.
const MIN_SLOTS: usize = 3;
/// Runs after which a mean time is used.
const MIN_RUNS: u32 = 8;
/// Weight of the newest run in a mean time; the first runs are weighted equally.
const STEP: f64 = 0.05;

/// A smoothed run time.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    us: f64,
    runs: u32,
}

impl Mean {
    fn add(&mut self, latency: Duration) {
        self.runs = self.runs.saturating_add(1);
        let step = STEP.max(1.0 / f64::from(self.runs));
        self.us += (latency.as_secs_f64() * 1e6 - self.us) * step;
    }

    fn known(&self) -> Option<f64> {
        (self.runs >= MIN_RUNS).then_some(self.us)
    }
}

/// What was observed of nested calls and of other work.
#[derive(Debug, Clone, Default)]
pub(crate) struct Short {
    nested: Mean,
    other: Mean,
    /// When a nested call last arrived and found no free slot.
    blocked: Option<Instant>,
}

/// The state of the slot for nested calls in a dump.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct NestedSlot {
    /// Whether a slot is kept for nested calls now.
    pub kept: bool,
    /// Smoothed run time of nested calls in microseconds; `None` if too few have run.
    pub nested_us: Option<u64>,
    /// Smoothed run time of other requests in microseconds; `None` if too few have run.
    pub other_us: Option<u64>,
}

impl Short {
    /// Records an answered run.
    pub(crate) fn record(&mut self, held: &Held, latency: Duration) {
        match held.request.nested {
            true => self.nested.add(latency),
            false => self.other.add(latency),
        }
    }

    /// Whether a slot is worth keeping: nested calls are short beside other work, and one has found
    /// no free slot of late.
    fn is_worthwhile(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < PERIOD;
        let (Some(nested), Some(other)) = (self.nested.known(), self.other.known()) else {
            return false;
        };
        self.blocked.is_some_and(recent) && other >= nested * LENGTH_RATIO
    }
}

impl Core {
    /// Records the arrival of `request`, if it is nested and finds no free slot.
    pub(crate) fn note_blocked_nested(&mut self, now: Instant, request: &Request) {
        if self.setting.nested_slot && request.nested && self.held.len() >= self.limit.slots() {
            self.short.blocked = Some(now);
        }
    }

    /// Whether the only slot that is left is kept for nested calls.
    ///
    /// The kept slot counts among the configured slots. A limit below them leaves slots that only
    /// nested calls may use, so nothing more is kept then.
    pub(crate) fn is_kept_for_nested(&self, now: Instant) -> bool {
        let slots = self.limit.slots();
        if !self.setting.nested_slot || slots < MIN_SLOTS || !self.short.is_worthwhile(now) {
            return false;
        }
        let nested = self.held.values().filter(|held| held.request.nested);
        self.held.len() - nested.count() + 1 >= slots
    }

    pub(crate) fn dump_nested_slot(&self, now: Instant) -> Option<NestedSlot> {
        let known = |mean: Mean| mean.known().map(|us| us as u64);
        self.setting.nested_slot.then(|| NestedSlot {
            kept: self.limit.slots() >= MIN_SLOTS && self.short.is_worthwhile(now),
            nested_us: known(self.short.nested),
            other_us: known(self.short.other),
        })
    }
}
