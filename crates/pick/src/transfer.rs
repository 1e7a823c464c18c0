//! The bytes of one call.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{Moved, Pick};

/// Counts the bytes of one call to a target; dropped, it records them.
#[derive(Debug)]
#[must_use = "a transfer that is dropped at once records no bytes"]
pub struct Transfer {
    pick: Arc<Mutex<Pick>>,
    /// The region of the target; `None` if regions are ignored or the target has left the subset.
    /// Then nothing is recorded.
    region: Option<String>,
    moved: Moved,
}

impl Transfer {
    pub(crate) fn new(pick: Arc<Mutex<Pick>>, region: Option<String>, class: u32) -> Transfer {
        let moved = Moved {
            class,
            ..Moved::default()
        };
        Transfer {
            pick,
            region,
            moved,
        }
    }

    /// Adds bytes that were sent or received.
    pub fn add(&mut self, bytes: usize) {
        self.moved.bytes += bytes as u64;
    }

    /// Records that the answer has arrived in full. Only then do the bytes tell what further
    /// requests of the class will move.
    pub fn complete(&mut self) {
        self.moved.complete = true;
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        if let Some(region) = &self.region {
            let mut pick = self.pick.lock();
            pick.record_bytes(Instant::now(), region, &self.moved);
        }
    }
}
