//! The bytes of one call.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{Moved, Pick};

/// Counts the bytes of one call to a target; dropped, it records them.
#[derive(Debug)]
#[must_use = "a transfer that is dropped at once records no bytes"]
pub struct Transfer {
    /// `None` if regions are ignored or the target has left the subset; then nothing is recorded.
    counted: Option<Box<Counted>>,
}

#[derive(Debug)]
struct Counted {
    pick: Arc<Mutex<Pick>>,
    /// The region of the target.
    region: String,
    moved: Moved,
}

impl Transfer {
    pub(crate) fn new(pick: Arc<Mutex<Pick>>, region: Option<String>, class: u32) -> Transfer {
        let moved = Moved {
            class,
            ..Moved::default()
        };
        let counted = region.map(|region| {
            Box::new(Counted {
                pick,
                region,
                moved,
            })
        });
        Transfer { counted }
    }

    /// Adds bytes that were sent or received.
    pub fn add(&mut self, bytes: usize) {
        if let Some(counted) = &mut self.counted {
            counted.moved.bytes += bytes as u64;
        }
    }

    /// Records that the answer has arrived in full. Only then do the bytes tell what further
    /// requests of the class will move.
    pub fn complete(&mut self) {
        if let Some(counted) = &mut self.counted {
            counted.moved.complete = true;
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut pick = self.pick.lock();
        pick.record_bytes(Instant::now(), &self.region, &self.moved);
    }
}
