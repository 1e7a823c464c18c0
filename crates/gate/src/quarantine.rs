//! Runs suspects one at a time and in isolation, for a bounded share of the time.
//!
//! A suspect's turn starts with a drain: no other request starts until the running ones have ended.
//! Each step is bounded, because a suspect that hangs, or a stream of suspects, would otherwise
//! occupy the whole target. If the drain takes too long, it is abandoned and the suspect refused.
//! If the suspect's run takes too long, others may start beside it. Between two turns, the other
//! requests have the target for three times the length of the last turn.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::request::Id;

/// Maximum number of waiting suspects; more are refused.
const MAX_WAITING: usize = 4;
/// Time for the other requests between two turns, as a multiple of the last turn.
const REST_FACTOR: u32 = 3;
/// Longest drain, in service times.
const DRAIN_SERVICE_TIMES: u32 = 5;
const DRAIN_MIN: Duration = Duration::from_millis(10);
const DRAIN_MAX: Duration = Duration::from_millis(250);
/// Longest run in isolation, in service times.
const RUN_SERVICE_TIMES: u32 = 10;
const RUN_MIN: Duration = Duration::from_millis(50);
const RUN_MAX: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
enum Phase {
    Rest {
        until: Instant,
    },
    Drain {
        since: Instant,
        until: Instant,
    },
    Run {
        id: Id,
        since: Instant,
        until: Instant,
    },
}

/// What may start next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    /// Requests that are not suspects may start.
    Others,
    /// Nothing may start.
    Hold,
    /// This suspect may start.
    Start(Id),
    /// The drain took too long; this suspect is to be refused.
    GiveUp(Id),
}

#[derive(Debug)]
pub(crate) struct Quarantine {
    queue: VecDeque<Id>,
    phase: Phase,
}

impl Quarantine {
    pub(crate) fn new(now: Instant) -> Quarantine {
        Quarantine {
            queue: VecDeque::new(),
            phase: Phase::Rest { until: now },
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn has_room(&self) -> bool {
        self.queue.len() < MAX_WAITING
    }

    pub(crate) fn front(&self) -> Option<Id> {
        self.queue.front().copied()
    }

    pub(crate) fn push(&mut self, id: Id) {
        self.queue.push_back(id);
    }

    pub(crate) fn remove(&mut self, id: Id) {
        self.queue.retain(|queued| *queued != id);
    }

    /// Decides what may start. `running` is the number of running requests, and `others` tells
    /// whether requests that are not suspects wait.
    pub(crate) fn step(
        &mut self,
        now: Instant,
        running: usize,
        others: bool,
        service: Duration,
    ) -> Step {
        if let Phase::Run { until, .. } = self.phase {
            return if now < until {
                Step::Hold
            } else {
                Step::Others
            };
        }
        let Some(id) = self.queue.front().copied() else {
            self.end_turn(now);
            return Step::Others;
        };
        match self.phase {
            Phase::Rest { until } if now < until && (others || running > 0) => Step::Others,
            Phase::Drain { until, .. } if running > 0 && now >= until => {
                self.end_turn(now);
                self.queue.pop_front();
                Step::GiveUp(id)
            }
            _ if running == 0 => {
                let since = self.turn_start(now);
                self.queue.pop_front();
                let until = now + (service * RUN_SERVICE_TIMES).clamp(RUN_MIN, RUN_MAX);
                self.phase = Phase::Run { id, since, until };
                Step::Start(id)
            }
            _ => {
                let since = self.turn_start(now);
                let until = since + (service * DRAIN_SERVICE_TIMES).clamp(DRAIN_MIN, DRAIN_MAX);
                if !matches!(self.phase, Phase::Drain { .. }) {
                    self.phase = Phase::Drain { since, until };
                }
                Step::Hold
            }
        }
    }

    /// Ends the turn if the run that has ended is the suspect's.
    pub(crate) fn end(&mut self, now: Instant, id: Id) {
        if matches!(self.phase, Phase::Run { id: running, .. } if running == id) {
            self.end_turn(now);
        }
    }

    fn turn_start(&self, now: Instant) -> Instant {
        match self.phase {
            Phase::Drain { since, .. } => since,
            _ => now,
        }
    }

    /// Ends the current turn, if there is one, and starts the rest after it.
    fn end_turn(&mut self, now: Instant) {
        if let Phase::Drain { since, .. } | Phase::Run { since, .. } = self.phase {
            let until = now + (now - since) * REST_FACTOR;
            self.phase = Phase::Rest { until };
        }
    }

    /// Whether this is the suspect's run and is still isolated.
    pub(crate) fn is_isolated(&self, now: Instant, id: Id) -> bool {
        matches!(self.phase, Phase::Run { id: running, until, .. } if running == id && now < until)
    }

    /// When the result of [`Quarantine::step`] may change through the passage of time alone.
    pub(crate) fn timer(&self, now: Instant) -> Option<Instant> {
        let until = match self.phase {
            Phase::Rest { until } if !self.queue.is_empty() => until,
            Phase::Rest { .. } => return None,
            Phase::Drain { until, .. } | Phase::Run { until, .. } => until,
        };
        (until > now).then_some(until)
    }

    /// Expected time for which the current or next turn still blocks other requests.
    pub(crate) fn expected_hold(&self, now: Instant, service: Duration) -> Duration {
        match self.phase {
            Phase::Run { until, .. } if now < until => service.min(until - now),
            Phase::Drain { .. } => service * 2,
            _ => Duration::ZERO,
        }
    }
}
