//! The target's part: its gate, its service time, and what it tells of its load.

use std::time::Duration;

use gate::{End, Id, Request, Verdict};
use pick::Kind;
use unit::{Digest, Rate, Report, Token};

use super::{CALLERS, COLD, SILENCE, World, parsed};
use crate::policy::scenario::{Fault, Part, ms};

impl World {
    pub(super) fn reach(&mut self, number: usize) {
        let target = self.tries[number].target;
        if !self.living(ms(0)).contains(&target) {
            return self.after(SILENCE, move |world| world.back(number, Kind::Lost, None));
        }
        let request = self.request(number);
        self.tries[number].reached = Some(self.now);
        let place = &mut self.places[target];
        let verdict = place.gate.offer(self.now, request);
        if let Verdict::Start(id) | Verdict::Wait(id) = verdict {
            place.ids.insert(id, number);
            self.tries[number].id = Some(id);
        }
        match verdict {
            Verdict::Refuse(refusal) => self.refuse(number, &refusal),
            Verdict::Start(id) => self.start(target, id),
            Verdict::Wait(_) => {}
        }
        self.settle(target);
    }

    fn request(&self, number: usize) -> Request {
        let call = &self.calls[self.tries[number].call];
        let (name, urgency, _) = CALLERS[if self.mode.gate { call.caller } else { 0 }];
        let due = call.first + self.scenario.due[urgency.rank()];
        let goal = self.scenario.goal.filter(|_| self.mode.gate);
        let never = self.base + ms(86_400_000);
        Request {
            token: Token(number as u128),
            urgency,
            caller: parsed(name),
            weight: 1,
            deadline: if self.mode.gate { due } else { never },
            kind: Digest::of(b"look-up"),
            nested: false,
            goal: goal.map(|goal| call.first + goal[urgency.rank()]),
            class: 0,
            elsewhere: false,
            bulk: false,
            delivery: None,
        }
    }

    /// Does what a gate has decided, sets its timer and sends its notices.
    fn settle(&mut self, target: usize) {
        for event in self.places[target].gate.poll(self.now) {
            match event {
                gate::Event::Start { id } => self.start(target, id),
                gate::Event::Refuse { id, refusal } => {
                    if let Some(number) = self.places[target].ids.remove(&id) {
                        self.refuse(number, &refusal);
                    }
                }
            }
        }
        let place = &mut self.places[target];
        let next = place.gate.next_timer(self.now);
        if let Some(at) = next.filter(|at| place.timer.is_none_or(|old| *at < old)) {
            place.timer = next;
            self.after(at - self.now, move |world| {
                world.places[target].timer = None;
                world.settle(target);
            });
        }
        self.notify(target);
    }

    /// Tells the entries when the gate has turned hot or cold, as far as the budget goes.
    fn notify(&mut self, target: usize) {
        let hot = self.report(target).hot;
        let turned = std::mem::replace(&mut self.places[target].hot, hot) != hot;
        if !turned || !self.mode.has(Part::Notice) {
            return;
        }
        let count = self.names.len();
        let first = self.draw.below(count);
        for entry in (first..first + count).map(|entry| entry % count) {
            let budget = &mut self.places[target].budget;
            if budget.try_notify(self.now, &self.names[entry], hot) {
                self.tell_one(self.way(entry, target), entry, target);
            }
        }
    }

    pub(super) fn tell_one(&mut self, wait: Duration, entry: usize, target: usize) {
        let report = self.report(target);
        self.after(wait, move |world| {
            let pick = &world.places[entry].pick;
            pick.receive_report(world.now, &world.names[target], report);
        });
    }

    fn report(&self, target: usize) -> Report {
        let place = &self.places[target];
        let mut report = place.gate.report(self.now);
        report.answered -= place.before.min(report.answered);
        report
    }

    pub(super) fn restart(&mut self, target: usize) {
        let place = &mut self.places[target];
        place.before = place.gate.report(self.now).answered;
        (place.life, place.cold) = (place.life + 1, COLD.1);
        place.gate.target_down(self.now);
        place.gate.target_up(self.now);
        self.settle(target);
        self.tell();
    }

    /// Target 0 limits its requests, or doesn't any more. A plain queue doesn't read that.
    pub(super) fn set_max_rate(&mut self, max_rate: Option<Rate>) {
        if self.mode.gate {
            self.places[0].gate.set_max_rate(self.now, max_rate);
            self.settle(0);
        }
    }

    fn start(&mut self, target: usize, id: Id) {
        let fault = self.fault(ms(0));
        let place = &mut self.places[target];
        let Some(number) = place.ids.get(&id).copied() else {
            return;
        };
        place.gate.dispatch(self.now, id);
        place.gate.record_sent(self.now, id);
        if target == 0 && matches!(fault, Fault::Limit(_)) {
            let (from, to) = (self.scenario.from, self.scenario.to);
            let counts = self.scenario.within(self.now - self.base, from, to);
            self.limited_starts += u64::from(counts);
        }
        let reached = self.tries[number].reached.unwrap_or(self.now);
        self.tries[number].waited = Some(self.now - reached);
        let part = self.scenario.service / 5;
        let mut time = part + self.draw.exponential(4 * part.as_nanos() as u64);
        let mut kind = Kind::Ok;
        if self.scenario.uneven {
            // 0.7 to 1.4 over the targets.
            time = time * (70 + 70 * target as u32 / (self.names.len() as u32 - 1)) / 100;
        }
        if place.cold > 0 {
            place.cold -= 1;
            time *= COLD.0;
        }
        if let Some(spell) = self.scenario.spell.filter(|_| place.slow) {
            time *= spell.factor;
        }
        match fault {
            Fault::Slow(times) if target == 0 => time *= times,
            Fault::Fail if target == 0 => (time, kind) = (ms(1), Kind::Error),
            _ => {}
        }
        self.after(time, move |world| world.finish(number, id, kind, time));
    }

    fn refuse(&mut self, number: usize, refusal: &gate::Refusal) {
        self.false_not_run += u64::from(self.tries[number].waited.is_some());
        self.tries[number].retry_after = refusal.retry_after();
        self.answer(number, Kind::Refused, refusal.report());
    }

    /// Sends an answer back, with a report if the budget allows it.
    fn answer(&mut self, number: usize, kind: Kind, report: Report) {
        let ended = &self.tries[number];
        let call = &self.calls[ended.call];
        let (entry, urgency) = (&self.names[call.entry], CALLERS[call.caller].1);
        let budget = &mut self.places[ended.target].budget;
        let rides =
            self.mode.has(Part::Ride) && budget.try_attach(self.now, entry, urgency, &report);
        let report = rides.then_some(report);
        self.after(ended.way, move |world| world.back(number, kind, report));
    }

    fn finish(&mut self, number: usize, id: Id, kind: Kind, latency: Duration) {
        let target = self.tries[number].target;
        let place = &mut self.places[target];
        if place.ids.remove(&id).is_none() {
            return;
        }
        let end = match kind {
            Kind::Ok => End::Answered { latency },
            _ => End::Failed { latency },
        };
        place.gate.finish(self.now, id, end);
        match self.living(ms(0)).contains(&target) {
            true => self.answer(number, kind, self.report(target)),
            false => self.after(SILENCE, move |world| world.back(number, Kind::Lost, None)),
        }
        self.settle(target);
    }

    /// The entry has given a try up; a plain queue knows nothing of that.
    pub(super) fn abort(&mut self, number: usize) {
        let (target, id) = (self.tries[number].target, self.tries[number].id);
        let place = &mut self.places[target];
        let Some(id) = id.filter(|id| self.mode.gate && place.ids.remove(id).is_some()) else {
            return;
        };
        if !place.gate.cancel(self.now, id) {
            place.gate.finish(self.now, id, End::Cancelled);
        }
        self.settle(target);
    }
}
