//! Learns how many bytes a request of each class of work moves: head, body and answer.
//!
//! A request to another region is billed by its bytes, and the entry has to know them before it
//! has sent the request.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Largest number of classes remembered; the one without requests for the longest time is evicted.
const MAX_CLASSES: usize = 256;
/// Weight of the newest size, reached after as many requests; earlier ones are weighted equally.
const STEP: f64 = 0.05;
/// Age after which a size counts as unknown, since routes and their answers change.
const EXPIRY: Duration = Duration::from_secs(600);

#[derive(Debug, Clone, Copy)]
struct Size {
    bytes: f64,
    count: u32,
    last: Instant,
}

/// Smoothed bytes of a request by class of work, bounded in number and age.
#[derive(Debug, Clone, Default)]
pub struct Table {
    sizes: BTreeMap<u32, Size>,
}

impl Table {
    /// Records a request of `class` that moved `bytes` in both directions. Class 0 is unknown work
    /// and is not recorded.
    pub fn record(&mut self, now: Instant, class: u32, bytes: u64) {
        if class == 0 {
            return;
        }
        if self.sizes.len() >= MAX_CLASSES && !self.sizes.contains_key(&class) {
            let oldest = self.sizes.iter().min_by_key(|(_, size)| size.last);
            if let Some(oldest) = oldest.map(|(class, _)| *class) {
                self.sizes.remove(&oldest);
            }
        }
        let size = self.sizes.entry(class).or_insert(Size {
            bytes: 0.0,
            count: 0,
            last: now,
        });
        if now.saturating_duration_since(size.last) > EXPIRY {
            size.count = 0;
        }
        size.count = size.count.saturating_add(1);
        size.last = now;
        let step = STEP.max(1.0 / f64::from(size.count));
        size.bytes += (bytes as f64 - size.bytes) * step;
    }

    /// The bytes of a request of `class`; `None` if it is unknown.
    pub fn bytes(&self, now: Instant, class: u32) -> Option<f64> {
        let size = self.sizes.get(&class)?;
        let fresh = now.saturating_duration_since(size.last) <= EXPIRY;
        fresh.then_some(size.bytes)
    }

    /// Number of classes remembered.
    pub fn len(&self) -> usize {
        self.sizes.len()
    }

    /// Whether no class is remembered.
    pub fn is_empty(&self) -> bool {
        self.sizes.is_empty()
    }
}
