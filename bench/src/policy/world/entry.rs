//! The entry's part: choices, retries, hedges, probes and the end of calls.

use pick::retry::{Allowance, Cause};
use pick::{Kind, Need};
use tokio::time::Instant;
use unit::{Report, Urgency};

use super::{CALLERS, Call, PROBE, ROSTER, SILENCE, TRIES, Try, World};
use crate::policy::scenario::{Choice, Fault, Part, ms};

impl World {
    /// A request comes, which its caller has sent `resent` times before, at `first` for the first time.
    pub(super) fn open(&mut self, caller: usize, resent: usize, first: Instant) {
        let living = self.living(ms(0));
        let entry = self.draw_entry(&living);
        let (number, urgency) = (self.calls.len(), CALLERS[caller].1);
        self.calls.push(Call {
            caller,
            entry,
            came: self.now,
            first,
            resent,
            superseded: false,
            refused_after: None,
            tries: Vec::new(),
            tried: Vec::new(),
            allowance: Allowance::fresh(),
            latency: ms(0),
            end: None,
        });
        let due = first + self.scenario.due[urgency.rank()];
        self.after(due - self.now, move |world| world.close(number, Kind::Lost));
        self.places[entry].retries.record_first_attempt(self.now);
        if !self.send(number) {
            self.close(number, Kind::Refused);
        }
        let hedges = self.mode.has(Part::Hedge) && urgency == Urgency::Urgent;
        if let Some(delay) = self.places[entry].delay.after().filter(|_| hedges) {
            self.after(delay, move |world| world.hedge(number));
        }
    }

    fn send(&mut self, call: usize) -> bool {
        let Some(target) = self.choose(call) else {
            return false;
        };
        let (number, entry) = (self.tries.len(), self.calls[call].entry);
        let (way, place) = (self.way(entry, target), &mut self.places[entry]);
        place.flying[target] += 1;
        let mut guard = place.pick.begin(self.now, &self.names[target]);
        guard.set_class(self.calls[call].caller as u32 + 1);
        let age = guard.basis().age;
        self.calls[call].tries.push(number);
        self.calls[call].tried.push(self.names[target].clone());
        self.tries.push(Try {
            call,
            target,
            way,
            guard: Some(guard),
            age,
            reached: None,
            waited: None,
            retry_after: ms(0),
            id: None,
        });
        self.move_bytes(call, target);
        self.after(way, move |world| world.reach(number));
        true
    }

    fn choose(&mut self, number: usize) -> Option<usize> {
        let regions = self.allowed(number);
        let call = &self.calls[number];
        let mut fit = self.living(ROSTER);
        let entry = &mut self.places[call.entry];
        if self.mode.choice == Choice::Pick {
            let mut need = Need::of(CALLERS[call.caller].1);
            need.exclude = &call.tried;
            need.class = call.caller as u32 + 1;
            need.regions = regions.as_deref();
            let chosen = entry.pick.choose(self.now, &need)?;
            return self.names.iter().position(|name| *name == chosen);
        }
        fit.retain(|place| !call.tried.contains(&self.names[*place]));
        if fit.is_empty() {
            return None;
        }
        entry.turn += 1;
        let first = self.draw.below(fit.len());
        match self.mode.choice {
            Choice::Robin => return Some(fit[entry.turn % fit.len()]),
            Choice::Two => fit = vec![fit[first], fit[self.draw.below(fit.len())]],
            Choice::Least => fit.rotate_left(first),
            Choice::Random | Choice::Pick => return Some(fit[first]),
        }
        fit.into_iter().min_by_key(|place| entry.flying[*place])
    }

    /// A try has ended at its entry; false when it had before.
    fn land(&mut self, number: usize, kind: Kind, report: Option<Report>) -> bool {
        let ended = &mut self.tries[number];
        let Some(guard) = ended.guard.take() else {
            return false;
        };
        let entry = &mut self.places[self.calls[ended.call].entry];
        entry.flying[ended.target] -= 1;
        if kind == Kind::Ok {
            entry.delay.observe(self.now - guard.began());
        }
        guard.end_at(self.now, kind, report);
        true
    }

    pub(super) fn back(&mut self, number: usize, kind: Kind, report: Option<Report>) {
        let call = self.tries[number].call;
        if !self.land(number, kind, report) {
            return;
        }
        let cause = match kind {
            Kind::Ok => return self.close(call, kind),
            Kind::Refused => Cause::NotRun,
            _ => Cause::Failed,
        };
        let mut others = self.calls[call].tries.iter();
        let alone = others.all(|other| self.tries[*other].guard.is_none());
        if alone && !(self.ask(call, cause) && self.send(call)) {
            self.close(call, kind);
        }
    }

    /// Whether one more try may be made; counts it.
    fn ask(&mut self, number: usize, cause: Cause) -> bool {
        let call = &mut self.calls[number];
        let entry = &mut self.places[call.entry];
        let hand_over = cause == Cause::NotRun;
        let mut need = Need::of(CALLERS[call.caller].1);
        need.exclude = &call.tried;
        let room =
            || self.mode.has(Part::HandOver) && entry.pick.has_available_target(self.now, &need);
        let granted = match self.mode.gate {
            false => call.tried.len() < TRIES,
            true if hand_over && !room() => false,
            true => entry
                .retries
                .try_spend(self.now, &mut call.allowance, cause),
        };
        self.handed += usize::from(granted && hand_over);
        self.repeats += usize::from(granted && !hand_over);
        granted
    }

    fn hedge(&mut self, call: usize) {
        if self.calls[call].end.is_none() && self.ask(call, Cause::Hedge) {
            self.send(call);
        }
    }

    fn close(&mut self, number: usize, end: Kind) {
        if self.calls[number].end.is_some() {
            return;
        }
        for other in self.calls[number].tries.clone() {
            if self.land(other, Kind::Cancelled, None) {
                self.after(self.tries[other].way, move |world| world.abort(other));
            }
        }
        let call = &mut self.calls[number];
        let (caller, again) = (call.caller, call.resent + 1);
        let good = end == Kind::Ok;
        let due = self.scenario.due[CALLERS[caller].1.rank()];
        let latency = if good { self.now - call.first } else { due };
        let first = call.first;
        call.latency = latency + 2 * self.scenario.client;
        call.end = Some(end);
        call.refused_after = (end == Kind::Refused).then(|| self.now - call.came);
        let returns = self.scenario.returns;
        let storm = matches!(self.scenario.fault, Fault::Storm(_)) && !returns;
        if storm && !good && again < TRIES {
            self.after(SILENCE, move |world| world.open(caller, again, world.now));
        } else if returns && end == Kind::Refused && again == 1 {
            self.come_back(number, first);
        }
    }

    /// The caller of a refused request sends it once more, when it is told to and a third of its time
    /// has passed at most.
    fn come_back(&mut self, number: usize, first: Instant) {
        let call = &self.calls[number];
        let due = first + self.scenario.due[CALLERS[call.caller].1.rank()];
        let left = due.saturating_duration_since(self.now);
        let told = call.tries.last().map(|last| self.tries[*last].retry_after);
        let wait = told.unwrap_or(SILENCE).min(left / 3) + 2 * self.scenario.client;
        if wait < left {
            let caller = call.caller;
            self.calls[number].superseded = true;
            self.after(wait, move |world| world.open(caller, 1, first));
        }
    }

    /// An entry probes the target that it has not heard from for the longest time.
    pub(super) fn probe(&mut self, entry: usize) {
        self.after(PROBE, move |world| world.probe(entry));
        let place = &mut self.places[entry];
        let oldest = place.pick.stalest(self.now);
        let mut names = self.names.iter();
        let target = names.position(|name| Some(name) == oldest.as_ref());
        if let Some(target) = target.filter(|_| place.budget.try_probe(self.now, false)) {
            self.tell_one(2 * self.way(entry, target), entry, target);
        }
    }
}
