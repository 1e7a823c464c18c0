//! Runs suspects one at a time with nothing beside them, for a bounded share of the time.
//!
//! A suspect's turn begins with a drain: no other request starts until those under way have
//! ended. Each step is bounded, else one suspect that hangs, or a stream of suspects, would take
//! the whole target: a drain that takes too long is given up and the suspect refused; a run that
//! takes too long is joined by others; and between two turns the rest has the target for three
//! times as long as the last turn took.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::request::Id;

/// Most suspects that wait; more are refused.
const QUEUE: usize = 4;
/// Time for the others between two turns, in lengths of the last turn.
const REST: u32 = 3;
/// Longest drain, in service times.
const DRAIN: u32 = 5;
const DRAIN_LEAST: Duration = Duration::from_millis(10);
const DRAIN_MOST: Duration = Duration::from_millis(250);
/// Longest run with nothing beside it, in service times.
const HOLD: u32 = 10;
const HOLD_LEAST: Duration = Duration::from_millis(50);
const HOLD_MOST: Duration = Duration::from_secs(1);

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

/// What the suspects allow to be done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    /// Others may start.
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
        self.queue.len() < QUEUE
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

    /// Decides what may start, given how many run and whether others wait.
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
            self.settle(now);
            return Step::Others;
        };
        match self.phase {
            Phase::Rest { until } if now < until && (others || running > 0) => Step::Others,
            Phase::Drain { until, .. } if running > 0 && now >= until => {
                self.settle(now);
                self.queue.pop_front();
                Step::GiveUp(id)
            }
            _ if running == 0 => {
                let since = self.turn_began(now);
                self.queue.pop_front();
                let until = now + (service * HOLD).clamp(HOLD_LEAST, HOLD_MOST);
                self.phase = Phase::Run { id, since, until };
                Step::Start(id)
            }
            _ => {
                let since = self.turn_began(now);
                let until = since + (service * DRAIN).clamp(DRAIN_LEAST, DRAIN_MOST);
                if !matches!(self.phase, Phase::Drain { .. }) {
                    self.phase = Phase::Drain { since, until };
                }
                Step::Hold
            }
        }
    }

    /// A run has ended; if it was the suspect's, the others' time begins.
    pub(crate) fn end(&mut self, now: Instant, id: Id) {
        if matches!(self.phase, Phase::Run { id: running, .. } if running == id) {
            self.settle(now);
        }
    }

    fn turn_began(&self, now: Instant) -> Instant {
        match self.phase {
            Phase::Drain { since, .. } => since,
            _ => now,
        }
    }

    /// Ends a turn, if there is one.
    fn settle(&mut self, now: Instant) {
        if let Phase::Drain { since, .. } | Phase::Run { since, .. } = self.phase {
            let until = now + (now - since) * REST;
            self.phase = Phase::Rest { until };
        }
    }

    /// Whether this run is the suspect's with nothing beside it.
    pub(crate) fn is_alone(&self, now: Instant, id: Id) -> bool {
        matches!(self.phase, Phase::Run { id: running, until, .. } if running == id && now < until)
    }

    /// When [`Quarantine::step`] may decide otherwise by time alone.
    pub(crate) fn timer(&self, now: Instant) -> Option<Instant> {
        let until = match self.phase {
            Phase::Rest { until } if !self.queue.is_empty() => until,
            Phase::Rest { .. } => return None,
            Phase::Drain { until, .. } | Phase::Run { until, .. } => until,
        };
        (until > now).then_some(until)
    }

    /// Time that the present or next turn may still keep the others waiting.
    pub(crate) fn hold(&self, now: Instant, service: Duration) -> Duration {
        match self.phase {
            Phase::Run { until, .. } if now < until => service.min(until - now),
            Phase::Drain { .. } => service * 2,
            _ => Duration::ZERO,
        }
    }
}
