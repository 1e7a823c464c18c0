//! What the daemon reports of its target: whether it takes work, and how fast it works.

use tokio::time::Instant;
use unit::Cause;

use crate::core::Core;
use crate::knee::Knee;
use crate::warmup::Warmup;

impl Core {
    /// Starts the shutdown of the target: waiting and new requests are refused, running ones may
    /// finish.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.refuse_all(now, Cause::Leaving);
    }

    /// Marks the target as unreachable: waiting and new requests are refused.
    pub fn target_down(&mut self, now: Instant) {
        self.down = true;
        self.refuse_all(now, Cause::Down);
    }

    /// Marks the target as reachable again. Its limit starts low and grows with each answer.
    pub fn target_up(&mut self, now: Instant) {
        if std::mem::take(&mut self.down) {
            self.limit.reset_cold();
            self.advance(now);
        }
    }

    /// Records that the target has just started and will be slower than usual for a while.
    pub fn target_cold(&mut self) {
        self.pace.reset_cold();
    }

    /// Resets what was learnt about the target's speed and capacity, because its process has
    /// restarted.
    ///
    /// The count of answers starts again from zero, so that entries send it little at first. Tokens
    /// are kept, because requests sent to the previous process may have run. Suspicions are kept
    /// too, because a request that crashed the previous process would crash this one.
    pub fn target_restarted(&mut self, now: Instant) {
        self.answered = 0;
        self.knee = Knee::new(now, self.limit.slots());
        self.limit.reset_cold();
        self.limit.follow_knee(self.knee.best());
        self.paused_until = None;
        self.advance(now);
    }

    /// Marks the target as accepting work with this many slots, possibly after a restart.
    pub fn target_ready(&mut self, now: Instant, slots: u16) {
        self.leaving = false;
        if self.limit.slots() != usize::from(slots.max(1)) {
            self.knee = Knee::new(now, usize::from(slots.max(1)));
        }
        self.limit.resize(slots);
        self.limit.follow_knee(self.knee.best());
        if std::mem::take(&mut self.down) {
            self.limit.reset_cold();
        }
        self.advance(now);
    }

    /// Starts or ends the evacuation of the target's zone. While it lasts, waiting and new requests
    /// are refused; running ones may finish.
    pub fn set_evacuated(&mut self, now: Instant, evacuated: bool) {
        self.evacuated = evacuated;
        if evacuated {
            self.refuse_all(now, Cause::Evacuated);
        }
        self.advance(now);
    }

    /// Sets the maximum number of requests sent to a cold target within any second; `None` if
    /// cold targets need no bound, which is the default.
    pub fn set_max_cold_starts(&mut self, now: Instant, max: Option<usize>) {
        self.cold_start.set_max(max);
        self.advance(now);
    }

    /// Updates what is known of the target's warm-up. By default it is warm.
    pub fn set_warmup(&mut self, now: Instant, warmup: Warmup) {
        self.cold_start.set_warmup(warmup);
        self.advance(now);
    }

    /// Records that a former gate may have sent requests to the same target until now. They count
    /// towards the bound on a cold target.
    pub fn inherit_cold_starts(&mut self, now: Instant) {
        self.cold_start.inherit(now);
    }

    /// Records that no former gate has sent requests to the target while it was cold.
    pub fn no_former_starts(&mut self) {
        self.cold_start.no_former_starts();
    }

    /// Number of requests that hold a slot and were not sent yet.
    pub(crate) fn unsent(&self) -> usize {
        self.held.values().filter(|held| !held.sent).count()
    }

    /// Whether the bound on a cold target lets one more request start.
    pub(crate) fn has_cold_room(&self, now: Instant) -> bool {
        self.cold_start.has_room(now, self.unsent())
    }

    /// Updates the target's reported pace: run time relative to the usual one, in hundredths.
    pub fn set_pace(&mut self, now: Instant, pace: u16) {
        if self.pace.update(now, pace) {
            self.refuse_delayed(now);
        }
        self.advance(now);
    }
}
