//! What targets have said of themselves in the answers that this entry has passed on.
//!
//! Callers have been told, so this entry is bound by it, whatever becomes of the daemon beside the
//! target. It sends a notice along with its calls: a gate that has started since adopts it.

use std::collections::HashMap;

use parking_lot::Mutex;
use tokio::time::Instant;
use unit::Instance;
use wire::Notice;

/// Maximum number of instances whose notices are kept; the oldest is dropped for a new one.
const MAX_NOTICES: usize = 2_048;

/// The last notice of each instance's target, if its last answer had one.
#[derive(Debug, Default)]
pub struct Notices {
    received: Mutex<HashMap<Instance, Received>>,
}

#[derive(Debug, Clone, Copy)]
struct Received {
    notice: Notice,
    at: Instant,
}

impl Notices {
    /// The notice of the target at `instance`, if there is one.
    pub fn get(&self, instance: &Instance) -> Option<Notice> {
        let received = self.received.lock();
        if received.is_empty() {
            return None;
        }
        received.get(instance).map(|received| received.notice)
    }

    /// Records the notice of an answer, or that it has none. An answer to a call that was sent before
    /// the last notice arrived doesn't end that notice, because it may be older.
    pub fn record(&self, instance: &Instance, notice: Option<&Notice>, sent_at: Instant) {
        let mut received = self.received.lock();
        let Some(notice) = notice else {
            if received
                .get(instance)
                .is_some_and(|last| last.at <= sent_at)
            {
                received.remove(instance);
            }
            return;
        };
        if received.len() >= MAX_NOTICES && !received.contains_key(instance) {
            let oldest = received.iter().min_by_key(|(_, received)| received.at);
            let oldest = oldest.map(|(instance, _)| instance.clone());
            oldest.and_then(|instance| received.remove(&instance));
        }
        let at = Instant::now();
        let received_now = Received {
            notice: *notice,
            at,
        };
        received.insert(instance.clone(), received_now);
    }
}
