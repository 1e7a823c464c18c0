//! What a target has begun to run.

use std::sync::Arc;

use http::HeaderMap;
use parking_lot::Mutex;
use tokio::time::Instant;

/// One request that a target began to run.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// Its path, as the target saw it.
    pub path: String,
    /// When its head came.
    pub at: Instant,
    /// The headers with which it came.
    pub headers: HeaderMap,
    /// The limit on requests per second that its answer names. Daemons pass no header of their own
    /// prefix on, so callers don't see it.
    pub max_rate: Option<f64>,
    /// Whether its answer says that the target leaves.
    pub leaving: bool,
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
    /// Notes a run that begins now, and returns its place.
    pub(crate) fn add(&self, path: &str, headers: &HeaderMap) -> usize {
        let run = Run {
            path: path.to_string(),
            at: Instant::now(),
            headers: headers.clone(),
            max_rate: None,
            leaving: false,
        };
        let mut runs = self.runs.lock();
        runs.push(run);
        runs.len() - 1
    }

    /// Notes what the answer of the run at `place` says of the target.
    pub(crate) fn answer(&self, place: usize, max_rate: Option<f64>, leaving: bool) {
        if let Some(run) = self.runs.lock().get_mut(place) {
            run.max_rate = max_rate;
            run.leaving = leaving;
        }
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
