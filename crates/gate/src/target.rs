//! What the daemon reports of its target: whether it takes work, and how fast it works.

use std::time::Duration;

use tokio::time::Instant;
use unit::{Cause, Rate};

use crate::core::Core;
use crate::knee::Knee;
use crate::request::Id;
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
        self.starts.cold.set_max(max);
        self.update_bounds(now);
    }

    /// Updates what is known of the target's warm-up. By default it is warm.
    pub fn set_warmup(&mut self, now: Instant, warmup: Warmup) {
        self.starts.cold.set_warmup(warmup);
        self.update_bounds(now);
    }

    /// Sets the rate of requests to which the target limits itself; `None` if it does not.
    pub fn set_max_rate(&mut self, now: Instant, max_rate: Option<Rate>) {
        self.starts.set_max_rate(max_rate);
        self.update_bounds(now);
    }

    /// Records that a former gate may have sent requests to the same target until now. They count
    /// towards the bound on a cold target.
    pub fn inherit_cold_starts(&mut self, now: Instant) {
        self.starts.cold.inherit(now);
    }

    /// Records that no former gate has sent requests to the target while it was cold.
    pub fn no_former_starts(&mut self) {
        self.starts.cold.no_former_starts();
    }

    /// Number of requests that hold a slot and were not sent yet, if a bound counts them.
    pub(crate) fn unsent(&self, now: Instant) -> usize {
        if !self.starts.is_bounded(now) {
            return 0;
        }
        self.held.values().filter(|held| !held.sent).count()
    }

    /// Whether the bounds on starts allow one more now.
    pub(crate) fn has_start_room(&self, now: Instant) -> bool {
        self.starts.room(now, self.unsent(now)) != Some(0)
    }

    /// Whether the target's own limit holds requests up now.
    pub(crate) fn is_throttled(&self, now: Instant) -> bool {
        self.starts.throttle_room(now, self.unsent(now)) == Some(0)
    }

    /// Applies a changed bound on starts: refuses the waiting requests that it holds up for too long,
    /// and starts those that it lets go.
    ///
    /// They were admitted under the former bound, and would otherwise wait here until shortly before
    /// their deadlines, while another target may have room.
    fn update_bounds(&mut self, now: Instant) {
        if self.starts.is_bounded(now) {
            self.refuse_held_up(now);
        }
        self.advance(now);
    }

    fn refuse_held_up(&mut self, now: Instant) {
        let mut waiting: Vec<(bool, usize, Id)> = self
            .waiting
            .iter()
            .map(|(id, request)| (!request.nested, request.urgency.rank(), *id))
            .collect();
        waiting.sort();
        let unsent = self.unsent(now);
        let mut ahead = 0;
        for (_, _, id) in waiting {
            let Some(request) = self.waiting.get(&id) else {
                continue;
            };
            let delay = self.starts.delay(now, unsent, ahead + 1);
            let latest = request.goal.unwrap_or(request.deadline);
            if delay > Duration::ZERO && now + delay + self.run_time(now, request) > latest {
                let cause = self.cause_of_wait(now, Cause::Full);
                self.refuse_waiting(now, id, cause);
            } else {
                ahead += 1;
            }
        }
    }

    /// Updates the target's reported pace: run time relative to the usual one, in hundredths.
    pub fn set_pace(&mut self, now: Instant, pace: u16) {
        if self.pace.update(now, pace) {
            self.refuse_delayed(now);
        }
        self.advance(now);
    }
}
