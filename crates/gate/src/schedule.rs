//! Which waiting request starts next, and which has waited in vain.

use std::time::Duration;

use tokio::time::Instant;
use unit::{Digest, Urgency};

use crate::Cause;
use crate::core::{Core, Held};
use crate::quarantine::Step;
use crate::request::{Id, Request};
use crate::suspect::Standing;
use crate::verdict::Event;

/// A waiting urgency gets a start after it was passed over this often.
///
/// One start in 16 keeps batch work from waiting for ever behind routine work, and costs the
/// urgent work a sixteenth of the slots at most.
const AGEING: u32 = 15;

/// A request that waits is refused so long before its deadline at least. Its entry gives it up at
/// the deadline, and would have to say that it may have run.
const ANSWER_WITHIN: Duration = Duration::from_millis(10);

impl Core {
    /// Starts a newcomer that finds a free slot.
    ///
    /// It need not have the margin that is asked of those who wait: its slot would else be empty.
    pub(crate) fn welcome(&mut self, now: Instant) {
        self.watch_stall(now);
        self.end_pause(now);
        while self.start_next(now) {}
        self.advance(now);
    }

    /// Starts what may start and refuses what has waited in vain.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.watch_stall(now);
        self.end_pause(now);
        self.refuse_late(now);
        while self.start_next(now) {}
        self.update_hot(now);
    }

    fn end_pause(&mut self, now: Instant) {
        if self.pause.is_some_and(|until| until <= now) {
            self.pause = None;
        }
    }

    /// Refuses those whose deadline can't be met any more.
    ///
    /// An idle target is tried with one of them all the same, if its deadline is still to come:
    /// estimates that refuse everything are never corrected.
    fn refuse_late(&mut self, now: Instant) {
        self.refuse_until(now, |_, _| now);
        if self.held.is_empty() {
            self.start_next(now);
        }
        let earliest = self.pause.unwrap_or(now);
        self.refuse_until(now, |core, urgency| {
            earliest + core.latency.min_time_left(now, urgency).max(ANSWER_WITHIN)
        });
    }

    fn refuse_until(&mut self, now: Instant, bound: impl Fn(&Core, Urgency) -> Instant) {
        let cause = match self.pause {
            Some(_) => Cause::Shed,
            None => Cause::Deadline,
        };
        for urgency in Urgency::ALL {
            let bound = bound(self, urgency);
            while let Some((deadline, id)) = self.deadlines[urgency.rank()].first().copied() {
                if deadline > bound {
                    break;
                }
                self.refuse_waiting(now, id, cause);
            }
        }
    }

    /// Whether requests wait in the lanes.
    fn has_waiting(&self) -> bool {
        self.lanes.iter().any(|lane| lane.len() > 0)
    }

    /// Whether a slot is free for a request that another waits for.
    pub(crate) fn has_nested_room(&self) -> bool {
        self.pause.is_none() && self.held.len() < self.limit.slots()
    }

    /// Starts the first waiting request that another one waits for; see [`Request::nested`].
    fn start_nested(&mut self, now: Instant) -> bool {
        if !self.has_nested_room() {
            return false;
        }
        let mut waiting = self.nested.iter().copied();
        let may = |id: &Id| self.is_innocent(now, *id) && self.may_start(now, *id);
        let Some(id) = waiting.find(may) else {
            return false;
        };
        let Some(request) = self.waiting.get(&id) else {
            return false;
        };
        let lane = &mut self.lanes[request.urgency.rank()];
        // One that waits alone as a suspect is not in its lane, and keeps its turn.
        lane.remove(&request.caller, id) && self.start(now, id)
    }

    /// Starts one request, if one may start.
    fn start_next(&mut self, now: Instant) -> bool {
        if self.start_nested(now) {
            return true;
        }
        let full = self.held.len() >= self.limit.now();
        if self.pause.is_some() || (full && !self.may_exceed(now)) {
            return false;
        }
        self.recheck_suspects(now);
        let others = self.has_waiting();
        let service = self.latency.mean();
        match self.quarantine.step(now, self.held.len(), others, service) {
            Step::Hold => false,
            Step::Start(id) => self.start(now, id),
            Step::GiveUp(id) => {
                self.refuse_waiting(now, id, Cause::Suspect);
                true
            }
            Step::Others => self.start_other(now),
        }
    }

    /// Whether a waiting request is worth starting now; see [`crate::slowdown`].
    fn may_start(&self, now: Instant, id: Id) -> bool {
        let request = self.waiting.get(&id);
        request.is_none_or(|request| self.is_worth_starting(now, request))
    }

    /// Starts the first request that is worth it in a slow spell.
    fn start_short(&mut self, now: Instant) -> bool {
        let short = self.waiting.iter().find(|(id, request)| {
            self.is_worth_starting(now, request) && self.is_innocent(now, **id)
        });
        let Some((id, request)) = short else {
            return false;
        };
        let (id, rank, caller) = (*id, request.urgency.rank(), request.caller.clone());
        self.lanes[rank].remove(&caller, id) && self.start(now, id)
    }

    fn start_other(&mut self, now: Instant) -> bool {
        if self.pace.is_transiently_slow(now) {
            return self.start_short(now);
        }
        let Some(rank) = self.next_rank(now) else {
            return false;
        };
        let Some(id) = self.lanes[rank].pop() else {
            return false;
        };
        if self.is_too_late(now, id) && self.has_waiting() {
            self.refuse_waiting(now, id, Cause::Full);
            return true;
        }
        if !self.is_innocent(now, id) {
            self.divert(now, id);
            return true;
        }
        self.passed[rank] = 0;
        for lower in rank + 1..self.lanes.len() {
            if self.lanes[lower].len() > 0 {
                self.passed[lower] += 1;
            }
        }
        self.start(now, id)
    }

    /// Whether a request can't reach its goal any more. It is then started where nothing else waits,
    /// as a late answer is worth a little and none is worth nothing, and else refused.
    fn is_too_late(&self, now: Instant, id: Id) -> bool {
        let Some(request) = self.waiting.get(&id) else {
            return false;
        };
        let run = self.run_between_slowdowns(now, request);
        request.goal.is_some_and(|goal| now + run > goal)
    }

    fn is_innocent(&self, now: Instant, id: Id) -> bool {
        let request = self.waiting.get(&id);
        request.is_none_or(|r| self.standing(now, r.kind) == Standing::Unsuspected)
    }

    /// Lets a request that became a suspect in its lane wait for a turn alone.
    ///
    /// The caller of a killer sends copies; those that waited when the first one crashed the
    /// target would otherwise start beside everybody else.
    fn divert(&mut self, now: Instant, id: Id) {
        let kind = self.waiting.get(&id).map(|request| request.kind);
        let standing = kind.map(|kind| self.standing(now, kind));
        if standing == Some(Standing::Suspect) && self.quarantine.has_room() {
            self.quarantine.push(id);
            return;
        }
        self.refuse_waiting(now, id, Cause::Suspect);
    }

    /// Refuses all that wait of a kind that has just been convicted.
    pub(crate) fn refuse_convicted(&mut self, now: Instant, kind: Digest) {
        if !matches!(self.standing(now, kind), Standing::Convicted { .. }) {
            return;
        }
        let same = self.waiting.iter().filter(|(_, r)| r.kind == kind);
        let ids: Vec<Id> = same.map(|(id, _)| *id).collect();
        for id in ids {
            self.refuse_waiting(now, id, Cause::Suspect);
        }
    }

    /// Sends waiting suspects that were cleared since back to their lanes, and refuses those
    /// that were convicted.
    fn recheck_suspects(&mut self, now: Instant) {
        while let Some(id) = self.quarantine.front() {
            let Some(request) = self.waiting.get(&id) else {
                return;
            };
            match self.standing(now, request.kind) {
                Standing::Suspect => return,
                Standing::Convicted { .. } => self.refuse_waiting(now, id, Cause::Suspect),
                Standing::Unsuspected => {
                    self.quarantine.remove(id);
                    let lane = &mut self.lanes[request.urgency.rank()];
                    lane.push(&request.caller, request.weight, id);
                }
            }
        }
    }

    /// The urgency whose turn it is.
    fn next_rank(&self, now: Instant) -> Option<usize> {
        let urgent = self.held_by[Urgency::Urgent.rank()];
        let lower = self.held.len() - urgent;
        let lower_free = lower < self.lower_limit(now) || self.may_exceed(now);
        let may = |rank: &usize| {
            let reserved = *rank > Urgency::Urgent.rank();
            self.lanes[*rank].len() > 0 && (lower_free || !reserved)
        };
        let ranks = 0..self.lanes.len();
        let mut lowest_first = ranks.clone().rev().filter(may);
        let aged = lowest_first.find(|rank| self.passed[*rank] >= AGEING);
        aged.or_else(|| ranks.into_iter().find(may))
    }

    fn start(&mut self, now: Instant, id: Id) -> bool {
        let Some(request) = self.forget_waiting(id) else {
            return false;
        };
        if self.held.len() >= self.limit.now() {
            self.pressed = 0;
        }
        self.tokens.run(request.token);
        self.held_by[request.urgency.rank()] += 1;
        self.last_start = Some(now);
        self.ages.insert((now, id));
        let held = Held::new(request, now, self.next_turn);
        self.next_turn += 1;
        self.held.insert(id, held);
        self.events.push(Event::Start { id });
        true
    }

    /// Forgets a waiting request that its lane has already given up.
    fn forget_waiting(&mut self, id: Id) -> Option<Request> {
        let request = self.waiting.remove(&id)?;
        self.nested.remove(&id);
        let rank = request.urgency.rank();
        self.deadlines[rank].remove(&(request.deadline, id));
        Some(request)
    }

    /// Takes a waiting request out of its lane.
    pub(crate) fn take_waiting(&mut self, id: Id) -> Option<Request> {
        let request = self.forget_waiting(id)?;
        let rank = request.urgency.rank();
        if !self.lanes[rank].remove(&request.caller, id) {
            self.quarantine.remove(id);
        }
        if self.lanes[rank].len() == 0 {
            self.passed[rank] = 0;
        }
        Some(request)
    }

    pub(crate) fn refuse_waiting(&mut self, now: Instant, id: Id, cause: Cause) {
        let Some(request) = self.take_waiting(id) else {
            return;
        };
        self.tokens.refuse(request.token, request.deadline);
        let refusal = self.refusal(now, &request, cause);
        self.events.push(Event::Refuse { id, refusal });
    }

    pub(crate) fn refuse_all(&mut self, now: Instant, cause: Cause) {
        let ids: Vec<Id> = self.waiting.keys().copied().collect();
        for id in ids {
            self.refuse_waiting(now, id, cause);
        }
        self.update_hot(now);
    }

    /// When [`Core::poll`] must be called next though nothing else happens; none while no
    /// request waits and the target has not asked for a pause.
    pub fn next_timer(&self, now: Instant) -> Option<Instant> {
        if self.waiting.is_empty() {
            return self.pause;
        }
        let earliest = self.pause.unwrap_or(now);
        let late = Urgency::ALL.into_iter().filter_map(|urgency| {
            let (deadline, _) = self.deadlines[urgency.rank()].first()?;
            let scant = self.latency.min_time_left(now, urgency).max(ANSWER_WITHIN);
            let slack = (earliest - now) + scant;
            Some(deadline.checked_sub(slack).unwrap_or(now).max(now))
        });
        let spell = self.pace.slowdown_cutoff().filter(|end| *end > now);
        let others = [
            self.pause,
            spell,
            self.quarantine.timer(now),
            self.trouble_timer(now),
        ];
        late.chain(others.into_iter().flatten()).min()
    }
}
