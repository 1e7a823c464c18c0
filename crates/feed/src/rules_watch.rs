//! The state of the own watch on the rules.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use unit::Version;

use crate::{Current, UNREADABLE};

/// Interval of the checks whether the watch has missed a change.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long the watch has been waiting, and what it has brought.
#[derive(Debug, Default)]
pub(crate) struct RulesWatch {
    begun: Mutex<Option<Instant>>,
    /// The newest version that the watch, or the read before it, has brought.
    brought: Mutex<Version>,
    /// How often it has missed a change.
    missed: watch::Sender<u64>,
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

    /// Notes that the watch need not bring versions up to this one.
    pub(crate) fn brought(&self, version: Version) {
        if version == UNREADABLE {
            return;
        }
        let mut brought = self.brought.lock();
        *brought = version.max(*brought);
    }

    /// Resolves once rules have been in force for a while that the watch has not brought: its
    /// connection is lost, and most likely those of the other watches too.
    pub(crate) async fn detect_miss(&self, current: &Current) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let in_force = current.version();
            if in_force <= *self.brought.lock() {
                continue;
            }
            sleep(CHECK_INTERVAL).await;
            if in_force > *self.brought.lock() {
                log::warn!(
                    "feed: the watch on the rules has missed {in_force}, all watches begin anew."
                );
                self.missed.send_modify(|count| *count += 1);
                return;
            }
        }
    }

    /// Resolves once [`RulesWatch::detect_miss`] has found that the watch has missed a change.
    pub(crate) async fn miss_detected(&self) {
        let mut missed = self.missed.subscribe();
        if missed.changed().await.is_err() {
            std::future::pending().await
        }
    }
}

/// A call that waits.
pub(crate) struct Waiting<'w>(&'w RulesWatch);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        *self.0.begun.lock() = None;
    }
}
