//! The state of a gate as its operator sees it.

use serde::Serialize;
use tokio::time::Instant;
use unit::Report;

use crate::core::Core;
use crate::lane::Waiting;
use crate::limit::Law;
use crate::suspect::Suspicion;

/// Most callers named in a dump.
const CALLERS: usize = 20;

/// The state of a gate.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// Counts, limit and service time as entries hear them.
    pub report: Report,
    /// Configured slots.
    pub slots: usize,
    /// How the limit follows the latency.
    pub law: Law,
    /// Mean ratio of the last answers' latency to the usual one.
    pub strain: f64,
    /// Callers with the longest queues, at most 20.
    pub callers: Vec<Waiting>,
    /// Suspects that wait to run alone.
    pub quarantine: usize,
    /// Tokens that are queued, running, done or fenced.
    pub tokens: usize,
    /// Tokens among them that are fenced.
    pub fences: usize,
    /// What is held against kinds of requests.
    pub suspects: Vec<Suspicion>,
    /// The target has asked for a pause.
    pub paused: bool,
    /// The target can't be reached.
    pub down: bool,
    /// The target leaves.
    pub leaving: bool,
}

impl Core {
    /// The state of this gate.
    pub fn dump(&self, now: Instant) -> Dump {
        let mut callers: Vec<Waiting> = self.lanes.iter().flat_map(|lane| lane.waiting()).collect();
        callers.sort_by(|a, b| b.queued.cmp(&a.queued).then(a.caller.cmp(&b.caller)));
        callers.truncate(CALLERS);
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
            paused: self.pause.is_some_and(|until| until > now),
            down: self.down,
            leaving: self.leaving,
        }
    }
}
