//! Updates the estimates, the limit and the suspicions when a run ends.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::{Core, Held};
use crate::limit::{self, Seq};
use crate::pace;
use crate::request::{End, Id};
use crate::suspect;

/// Longest pause after the target has shed a request.
///
/// `Retry-After` is in whole seconds and often a fixed number. Honouring a long one in full would
/// leave the target idle long after its peak; after one second the halved limit probes it again.
const PAUSE_MAX: Duration = Duration::from_secs(1);
/// Shortest pause if the target gave no `Retry-After`.
const PAUSE_MIN: Duration = Duration::from_millis(5);

impl Core {
    /// Ends a dispatched request and frees its slot.
    ///
    /// An id that was never dispatched releases its slot and counts as not run.
    pub fn finish(&mut self, now: Instant, id: Id, end: End) {
        let isolated = self.quarantine.is_isolated(now, id);
        let Some(held) = self.release(now, id) else {
            return;
        };
        if held.dispatched {
            if !held.sent {
                // Part of it may have reached the target.
                self.starts.record_sent(now);
            }
            self.tokens.done(now, held.request.token);
            self.learn_from(now, &held, isolated, end);
        } else {
            self.tokens
                .refuse(held.request.token, held.request.deadline);
        }
        self.advance(now);
    }

    pub(crate) fn release(&mut self, now: Instant, id: Id) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.ages.remove(&(held.since, id));
        self.held_by_urgency[held.request.urgency.rank()] -= 1;
        self.quarantine.end(now, id);
        Some(held)
    }

    fn learn_from(&mut self, now: Instant, held: &Held, isolated: bool, end: End) {
        let kind = held.request.kind;
        let next = self.next_seq;
        match end {
            End::Answered { latency } => {
                self.short.record(held, latency);
                self.answered = self.answered.saturating_add(1);
                self.suspects.clear(kind, held.seq);
                let ratio = self.sample(now, held, latency);
                if ratio <= limit::TOLERANCE {
                    self.last_quick_answer = Some(now);
                    self.raise_past_stragglers(held.seq);
                }
            }
            End::Failed { latency } => self.sample_if_slow(now, held, latency),
            End::Cancelled => self.sample_if_slow(now, held, now - held.since),
            End::Shed { retry_after } => {
                self.limit.cut(held.seq, next);
                self.pause_for(now, retry_after);
            }
            End::Declined => {}
            End::Crashed => {
                let seq = held.seq;
                let run = suspect::CrashedRun {
                    seq,
                    next,
                    isolated,
                };
                self.suspects.crash(now, kind, run);
                self.refuse_convicted(now, kind);
            }
        }
    }

    /// Records a service time and returns its ratio to the usual one.
    fn sample(&mut self, now: Instant, held: &Held, latency: Duration) -> f64 {
        // A run that starts during a slowdown is slow from start to end, so its time is scaled back
        // to the usual pace.
        let latency = latency.div_f64(pace::factor(held.pace));
        let ratio = self.latency.sample(now, &held.request, latency);
        self.limit.record_answer(ratio, held.seq, self.next_seq);
        ratio
    }

    /// Records the work of a run that did not start during a slowdown, to learn how the number of
    /// concurrent runs affects it. `run` holds its class, its concurrency and the pace at its
    /// dispatch.
    pub(crate) fn update_knee(&mut self, now: Instant, run: (u32, usize, u16), work: Duration) {
        let (class, concurrency, pace) = run;
        if self.pace.is_slow_at(now, pace) {
            return;
        }
        let work = work.div_f64(pace::factor(pace));
        if self.knee.is_uncontended(concurrency) {
            self.latency.sample_uncontended(now, class, work);
        }
        if let Some(usual) = self.latency.uncontended(class) {
            let ratio = work.as_secs_f64() / usual.as_secs_f64();
            self.knee.sample(now, concurrency, ratio);
            self.limit.follow_knee(self.knee.best());
        }
    }

    /// Raises the limit by one if the newest run is answered quickly while older, slow runs fill
    /// the limit.
    fn raise_past_stragglers(&mut self, seq: Seq) {
        let newest = self.held.values().all(|other| other.seq < seq);
        if newest {
            self.limit.raise_to(self.held.len() + 1);
        }
    }

    /// Records the time of a run without an answer only if it is above the mean: such a time is
    /// only a lower bound on the service time, and counting all of them would make a target that
    /// fails fast look quick.
    fn sample_if_slow(&mut self, now: Instant, held: &Held, latency: Duration) {
        if latency > self.latency.mean() {
            self.sample(now, held, latency);
        }
    }

    fn pause_for(&mut self, now: Instant, retry_after: Option<Duration>) {
        let own = self.latency.mean().max(PAUSE_MIN);
        let pause = retry_after.unwrap_or(own).min(PAUSE_MAX);
        let until = now + pause;
        self.paused_until = Some(self.paused_until.map_or(until, |other| other.max(until)));
    }
}
