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

    /// The runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().clone()
    }
}
