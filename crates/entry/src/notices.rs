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
    by_instance: Mutex<HashMap<Instance, Received>>,
}

#[derive(Debug, Clone, Copy)]
struct Received {
    notice: Notice,
    at: Instant,
}

impl Notices {
    /// The notice of the target at `instance`, if there is one.
    pub fn get(&self, instance: &Instance) -> Option<Notice> {
        let notices = self.by_instance.lock();
        if notices.is_empty() {
            return None;
        }
        notices.get(instance).map(|received| received.notice)
    }

    /// Records the notice of an answer, or that it has none. An answer to a call that was sent before
    /// the last notice arrived doesn't end that notice, because it may be older.
    pub fn record(&self, instance: &Instance, notice: Option<&Notice>, sent_at: Instant) {
        let mut notices = self.by_instance.lock();
        let Some(notice) = notice else {
            let is_later = |received: &Received| received.at <= sent_at;
            if notices.get(instance).is_some_and(is_later) {
                notices.remove(instance);
            }
            return;
        };
        if notices.len() >= MAX_NOTICES && !notices.contains_key(instance) {
            drop_oldest(&mut notices);
        }
        let received = Received {
            notice: *notice,
            at: Instant::now(),
        };
        notices.insert(instance.clone(), received);
    }
}

fn drop_oldest(notices: &mut HashMap<Instance, Received>) {
    let oldest = notices.iter().min_by_key(|(_, received)| received.at);
    if let Some(instance) = oldest.map(|(instance, _)| instance.clone()) {
        notices.remove(&instance);
    }
}
