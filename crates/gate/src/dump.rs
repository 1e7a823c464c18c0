//! The diagnostic dump of a gate.

use serde::Serialize;
use tokio::time::Instant;
use unit::Report;

use crate::core::Core;
use crate::lane::Waiting;
use crate::limit::Law;
use crate::short::NestedSlot;
use crate::suspect::Suspicion;
use crate::throttle::Throttle;
use crate::warmup::ColdStart;

/// Maximum number of callers listed in a dump.
const MAX_CALLERS: usize = 20;

/// A snapshot of a gate's state for operators.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// Counts, limit and service time as reported to entries.
    pub report: Report,
    /// Number of configured slots.
    pub slots: usize,
    /// How the limit follows the latency.
    pub law: Law,
    /// Smoothed ratio of recent latencies to the usual latency.
    pub strain: f64,
    /// The 20 callers with the longest queues, or fewer.
    pub callers: Vec<Waiting>,
    /// Number of suspects waiting to run in isolation.
    pub quarantine: usize,
    /// Number of tokens that are queued, running, done or fenced.
    pub tokens: usize,
    /// Number of fenced tokens, included in `tokens`.
    pub fences: usize,
    /// Kinds of requests that are suspected or convicted.
    pub suspects: Vec<Suspicion>,
    /// Whether the target has asked for a pause.
    pub paused: bool,
    /// Whether the target is unreachable.
    pub down: bool,
    /// Whether the target is shutting down.
    pub leaving: bool,
    /// Whether the target's zone is evacuated.
    pub evacuated: bool,
    /// The slot that is kept for nested calls; `None` if none ever is.
    pub nested_slot: Option<NestedSlot>,
    /// The bound on a cold target; `None` if it does not apply.
    pub cold_start: Option<ColdStart>,
    /// The bound on a target that limits its requests; `None` if it does not.
    pub throttle: Option<Throttle>,
}

impl Core {
    /// Returns a snapshot of this gate's state.
    pub fn dump(&self, now: Instant) -> Dump {
        let mut callers: Vec<Waiting> = self.lanes.iter().flat_map(|lane| lane.waiting()).collect();
        callers.sort_by(|a, b| b.queued.cmp(&a.queued).then(a.caller.cmp(&b.caller)));
        callers.truncate(MAX_CALLERS);
        Dump {
            report: self.report(now),
            slots: self.limit.slots(),
            law: self.setting.law,
            strain: self.limit.strain(),
            callers,
            quarantine: self.quarantine.len(),
            tokens: self.tokens.kept(),
            fences: self.tokens.fences(),
            suspects: self.suspects(now),
            paused: self.paused_until.is_some_and(|until| until > now),
            down: self.down,
            leaving: self.leaving,
            evacuated: self.evacuated,
            nested_slot: self.dump_nested_slot(now),
            cold_start: self.starts.dump_cold(now, self.unsent(now)),
            throttle: self.starts.dump_throttle(now, self.unsent(now)),
        }
    }
}
