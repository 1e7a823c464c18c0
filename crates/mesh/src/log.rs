//! What a target has begun to run.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

/// One request that a target began to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Its path, as the target saw it.
    pub path: String,
    /// When its head came.
    pub at: Instant,
}

/// The runs of one target, in order; clones share it, so that it outlives a killed target.
#[derive(Debug, Clone, Default)]
pub struct Log {
    runs: Arc<Mutex<Vec<Run>>>,
    limits: Arc<Mutex<Vec<Limit>>>,
}

/// A limit that a target named from some moment on, or the end of one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// From when on.
    pub from: Instant,
    /// Requests per second.
    pub max_rate: Option<f64>,
}

impl Log {
    /// Notes a run that begins now.
    pub(crate) fn add(&self, path: &str) {
        let run = Run {
            path: path.to_string(),
            at: Instant::now(),
        };
        self.runs.lock().push(run);
    }

    pub(crate) fn set_max_rate(&self, max_rate: Option<f64>) {
        let from = Instant::now();
        self.limits.lock().push(Limit { from, max_rate });
    }

    /// The limits so far, in order.
    pub fn limits(&self) -> Vec<Limit> {
        self.limits.lock().clone()
    }

    /// The runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().clone()
    }
}
