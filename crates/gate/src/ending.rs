//! What a gate learns from the end of a run.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::{Core, Held};
use crate::limit::{self, Seq};
use crate::pace;
use crate::request::{End, Id};
use crate::suspect;

/// Longest pause after the target has shed a request.
///
/// `Retry-After` counts whole seconds and is often a fixed number. To honour a long one in full
/// would keep the target idle long after its peak; after a second the halved limit asks again.
const PAUSE_MOST: Duration = Duration::from_secs(1);
/// Shortest pause when the target named none.
const PAUSE_LEAST: Duration = Duration::from_millis(5);

impl Core {
    /// A dispatched request has ended; its slot is free.
    ///
    /// An id that was never dispatched gives its slot back and counts as not run.
    pub fn finish(&mut self, now: Instant, id: Id, end: End) {
        let alone = self.quarantine.is_isolated(now, id);
        let Some(held) = self.release(now, id) else {
            return;
        };
        if held.dispatched {
            self.tokens.done(now, held.request.token);
            self.learn_from(now, &held, alone, end);
        } else {
            self.tokens
                .refuse(held.request.token, held.request.deadline);
        }
        self.advance(now);
    }

    pub(crate) fn release(&mut self, now: Instant, id: Id) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.ages.remove(&(held.since, id));
        self.held_by[held.request.urgency.rank()] -= 1;
        self.quarantine.end(now, id);
        Some(held)
    }

    fn learn_from(&mut self, now: Instant, held: &Held, alone: bool, end: End) {
        let kind = held.request.kind;
        let next = self.next_turn;
        match end {
            End::Answered { latency } => {
                self.answered = self.answered.saturating_add(1);
                self.suspects.clear(kind, held.turn);
                let ratio = self.sample(now, held, latency);
                if ratio <= limit::TOLERANCE {
                    self.last_quick = Some(now);
                    self.pass_stragglers(held.turn);
                }
            }
            End::Failed { latency } => self.sample_if_slow(now, held, latency),
            End::Cancelled => self.sample_if_slow(now, held, now - held.since),
            End::Shed { retry_after } => {
                self.limit.cut(held.turn, next);
                self.pause_for(now, retry_after);
            }
            End::Declined => {}
            End::Crashed => {
                let turn = held.turn;
                let run = suspect::CrashedRun {
                    seq: turn,
                    next,
                    isolated: alone,
                };
                self.suspects.crash(now, kind, run);
                self.refuse_convicted(now, kind);
            }
        }
    }

    /// Takes a service time; returns its ratio to the usual one.
    fn sample(&mut self, now: Instant, held: &Held, latency: Duration) -> f64 {
        // A run that began in a slow spell takes its time from there, and says nothing of how long
        // such work usually takes.
        let latency = latency.div_f64(pace::factor(held.pace));
        let ratio = self.latency.sample(now, &held.request, latency);
        self.limit.record_answer(ratio, held.turn, self.next_turn);
        ratio
    }

    /// Learns from a run that began in no slow spell how much longer it took for the others that ran.
    pub(crate) fn watch_knee(&mut self, now: Instant, run: (u32, usize, u16), work: Duration) {
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

    /// Lets one more start when a quick answer comes to the newest run while the rest, from
    /// worse times, fill the limit.
    fn pass_stragglers(&mut self, turn: Seq) {
        let newest = self.held.values().all(|other| other.turn < turn);
        if newest {
            self.limit.raise_to(self.held.len() + 1);
        }
    }

    /// A run without an answer tells of the service time only that it is not shorter: taken as
    /// an answer, a target that fails fast would look quick.
    fn sample_if_slow(&mut self, now: Instant, held: &Held, latency: Duration) {
        if latency > self.latency.mean() {
            self.sample(now, held, latency);
        }
    }

    fn pause_for(&mut self, now: Instant, retry_after: Option<Duration>) {
        let own = self.latency.mean().max(PAUSE_LEAST);
        let pause = retry_after.unwrap_or(own).min(PAUSE_MOST);
        let until = now + pause;
        self.pause = Some(self.pause.map_or(until, |other| other.max(until)));
    }
}
