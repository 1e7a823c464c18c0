//! The state of the own watch on the rules.

use parking_lot::Mutex;
use tokio::time::Instant;

/// Since when the own watch on the rules has been waiting.
#[derive(Debug, Default)]
pub(crate) struct RulesWatch {
    begun: Mutex<Option<Instant>>,
}

impl RulesWatch {
    /// Notes that a call has begun to wait; it ends when the guard is dropped.
    pub(crate) fn begin(&self) -> Waiting<'_> {
        *self.begun.lock() = Some(Instant::now());
        Waiting(self)
    }

    /// Milliseconds for which the call has waited; `None` if there is none.
    pub(crate) fn waited_ms(&self) -> Option<u64> {
        let begun = *self.begun.lock();
        begun.map(|begun| u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// A call that waits.
pub(crate) struct Waiting<'w>(&'w RulesWatch);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        *self.0.begun.lock() = None;
    }
}
