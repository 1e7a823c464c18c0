//! Drawn schedules of arrivals, sends and answers at a gate.

use std::collections::VecDeque;

use gate::{Cause, Core, End, Event, Id, Request, Verdict};
use proptest::prelude::*;
use tokio::time::Instant;
use unit::Urgency;

use crate::common::{ms, request};

/// What happens next at a gate.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// A request arrives, nested or not.
    Arrive(Urgency, bool),
    /// The oldest request with a slot is sent.
    Send,
    /// The oldest request that was sent is answered.
    End,
    /// The entry of the oldest request with a slot has disconnected.
    Drop,
    Wait(u16),
    /// The target names this limit, in requests per second.
    Limit(f64),
}

pub fn arrive(nested: impl Strategy<Value = bool>) -> impl Strategy<Value = Step> {
    let urgency = prop::sample::select(Urgency::ALL.to_vec());
    (urgency, nested).prop_map(|(urgency, nested)| Step::Arrive(urgency, nested))
}

pub fn wait() -> impl Strategy<Value = Step> {
    (0..400_u16).prop_map(Step::Wait)
}

/// A request with much time left.
pub fn patient(now: Instant, token: u128) -> Request {
    Request {
        deadline: now + ms(10_000),
        ..request(now, token, "desk")
    }
}

/// A gate that is played through a schedule.
pub struct Play {
    pub core: Core,
    pub now: Instant,
    /// When requests were sent. A request arrives between its dispatch and that moment.
    pub arrivals: Vec<Instant>,
    slots: VecDeque<Id>,
    sent: VecDeque<Id>,
    token: u128,
}

impl Play {
    pub fn new(core: Core, now: Instant) -> Play {
        Play {
            core,
            now,
            arrivals: Vec::new(),
            slots: VecDeque::new(),
            sent: VecDeque::new(),
            token: 0,
        }
    }

    pub fn step(&mut self, step: Step) {
        let (core, now) = (&mut self.core, self.now);
        match step {
            Step::Arrive(urgency, nested) => {
                self.token += 1;
                let request = Request {
                    urgency,
                    nested,
                    ..patient(now, self.token)
                };
                if let Verdict::Start(id) = core.offer(now, request) {
                    self.slots.push_back(id);
                }
            }
            Step::Send => {
                if let Some(id) = self.slots.pop_front() {
                    core.dispatch(now, id);
                    core.record_sent(now, id);
                    self.arrivals.push(now);
                    self.sent.push_back(id);
                }
            }
            Step::End => {
                if let Some(id) = self.sent.pop_front() {
                    core.finish(now, id, End::Answered { latency: ms(10) });
                }
            }
            Step::Drop => {
                if let Some(id) = self.slots.pop_front() {
                    core.refuse(now, id, Cause::Shed);
                }
            }
            Step::Wait(time) => self.now += ms(time.into()),
            Step::Limit(rate) => core.set_max_rate(now, Some(unit::Rate::of(rate))),
        }
        for event in self.core.poll(self.now) {
            if let Event::Start { id } = event {
                self.slots.push_back(id);
            }
        }
    }
}
