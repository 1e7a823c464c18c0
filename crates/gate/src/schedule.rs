//! Chooses which waiting request starts next and which is refused.

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
/// One start in 16 keeps batch work from starving behind routine work, and costs urgent work at
/// most a sixteenth of the slots.
const MAX_PASSED_OVER: u32 = 15;

/// A waiting request is refused at least this long before its deadline. Its entry gives it up at
/// the deadline and would then have to report that it may have run.
const REFUSAL_LEAD: Duration = Duration::from_millis(10);

impl Core {
    /// Starts requests on an arrival, before late ones are refused.
    ///
    /// A newcomer that finds a free slot does not need the margin required of waiting requests,
    /// because the slot would otherwise stay empty.
    pub(crate) fn start_on_arrival(&mut self, now: Instant) {
        self.check_stall(now);
        self.end_pause(now);
        while self.start_next(now) {}
        self.advance(now);
    }

    /// Starts what may start, and refuses what can no longer meet its deadline.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.check_stall(now);
        self.end_pause(now);
        self.refuse_late(now);
        while self.start_next(now) {}
        self.update_hot(now);
    }

    fn end_pause(&mut self, now: Instant) {
        if self.paused_until.is_some_and(|until| until <= now) {
            self.paused_until = None;
        }
    }

    /// Refuses requests that can no longer meet their deadline.
    ///
    /// An idle target still gets one of them, if its deadline has not passed: an estimate that
    /// refuses everything is never corrected.
    fn refuse_late(&mut self, now: Instant) {
        self.refuse_until(now, |_, _| now);
        if self.held.is_empty() {
            self.start_next(now);
        }
        let earliest = self.paused_until.unwrap_or(now);
        self.refuse_until(now, |core, urgency| {
            earliest + core.latency.min_time_left(now, urgency).max(REFUSAL_LEAD)
        });
    }

    fn refuse_until(&mut self, now: Instant, bound: impl Fn(&Core, Urgency) -> Instant) {
        let cause = self.cause_of_wait(now, Cause::Deadline);
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

    /// Whether a slot is free for a nested request.
    pub(crate) fn has_nested_room(&self, now: Instant) -> bool {
        let has_slot = self.held.len() < self.limit.slots();
        self.paused_until.is_none() && has_slot && self.has_start_room(now)
    }

    /// Starts the first waiting nested request that may start; see [`Request::nested`].
    fn start_nested(&mut self, now: Instant) -> bool {
        if !self.has_nested_room(now) {
            return false;
        }
        let mut waiting = self.nested.iter().copied();
        let may = |id: &Id| self.is_unsuspected(now, *id) && self.may_start(now, *id);
        let Some(id) = waiting.find(may) else {
            return false;
        };
        let Some(request) = self.waiting.get(&id) else {
            return false;
        };
        let lane = &mut self.lanes[request.urgency.rank()];
        // A suspect waits in the quarantine and not in its lane, so it keeps its turn there.
        lane.remove(&request.caller, id) && self.start(now, id)
    }

    /// Starts or refuses one request. Returns false if there is nothing to do.
    fn start_next(&mut self, now: Instant) -> bool {
        if !self.has_start_room(now) {
            return false;
        }
        if self.start_nested(now) {
            return true;
        }
        let full = self.held.len() >= self.limit.now();
        if self.paused_until.is_some() || (full && !self.may_exceed(now)) {
            return false;
        }
        if self.is_kept_for_nested(now) {
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

    /// Starts the first request that is worth starting during the slowdown.
    fn start_worthwhile(&mut self, now: Instant) -> bool {
        let short = self.waiting.iter().find(|(id, request)| {
            self.is_worth_starting(now, request) && self.is_unsuspected(now, **id)
        });
        let Some((id, request)) = short else {
            return false;
        };
        let (id, rank, caller) = (*id, request.urgency.rank(), request.caller.clone());
        self.lanes[rank].remove(&caller, id) && self.start(now, id)
    }

    fn start_other(&mut self, now: Instant) -> bool {
        if self.pace.is_transiently_slow(now) {
            return self.start_worthwhile(now);
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
        if !self.is_unsuspected(now, id) {
            self.move_to_quarantine(now, id);
            return true;
        }
        self.passed_over[rank] = 0;
        for lower in rank + 1..self.lanes.len() {
            if self.lanes[lower].len() > 0 {
                self.passed_over[lower] += 1;
            }
        }
        self.start(now, id)
    }

    /// Whether a request can no longer meet its goal. Such a request is refused if others wait in
    /// the lanes, and started otherwise, because a late answer is still worth more than none.
    fn is_too_late(&self, now: Instant, id: Id) -> bool {
        let Some(request) = self.waiting.get(&id) else {
            return false;
        };
        let run = self.run_between_slowdowns(now, request);
        request.goal.is_some_and(|goal| now + run > goal)
    }

    fn is_unsuspected(&self, now: Instant, id: Id) -> bool {
        let request = self.waiting.get(&id);
        request.is_none_or(|r| self.standing(now, r.kind) == Standing::Unsuspected)
    }

    /// Moves a request that became a suspect while in its lane to the quarantine.
    ///
    /// A caller whose request crashes the target often sends copies. Those that were waiting at the
    /// first crash would otherwise start beside other requests.
    fn move_to_quarantine(&mut self, now: Instant, id: Id) {
        let kind = self.waiting.get(&id).map(|request| request.kind);
        let standing = kind.map(|kind| self.standing(now, kind));
        if standing == Some(Standing::Suspect) && self.quarantine.has_room() {
            self.quarantine.push(id);
            return;
        }
        self.refuse_waiting(now, id, Cause::Suspect);
    }

    /// Refuses all waiting requests of this kind if it is convicted.
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

    /// Moves waiting suspects that have been cleared back to their lanes, and refuses convicted
    /// ones.
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
                    lane.push(request, id);
                }
            }
        }
    }

    /// The rank of the urgency that may start a request next.
    fn next_rank(&self, now: Instant) -> Option<usize> {
        let urgent = self.held_by_urgency[Urgency::Urgent.rank()];
        let lower = self.held.len() - urgent;
        let lower_free = lower < self.non_urgent_limit(now) || self.may_exceed(now);
        let may = |rank: &usize| {
            let reserved = *rank > Urgency::Urgent.rank();
            self.lanes[*rank].len() > 0 && (lower_free || !reserved)
        };
        let ranks = 0..self.lanes.len();
        let mut lowest_first = ranks.clone().rev().filter(may);
        let aged = lowest_first.find(|rank| self.passed_over[*rank] >= MAX_PASSED_OVER);
        aged.or_else(|| ranks.into_iter().find(may))
    }

    fn start(&mut self, now: Instant, id: Id) -> bool {
        let Some(request) = self.forget_waiting(id) else {
            return false;
        };
        if self.held.len() >= self.limit.now() {
            self.blocked_arrivals = 0;
        }
        self.tokens.run(request.token);
        self.held_by_urgency[request.urgency.rank()] += 1;
        self.last_start = Some(now);
        self.ages.insert((now, id));
        let held = Held::new(request, now, self.next_seq);
        self.next_seq += 1;
        self.held.insert(id, held);
        self.events.push(Event::Start { id });
        true
    }

    /// Removes the records of a waiting request that is no longer in its lane.
    fn forget_waiting(&mut self, id: Id) -> Option<Request> {
        let request = self.waiting.remove(&id)?;
        self.nested.remove(&id);
        let rank = request.urgency.rank();
        self.deadlines[rank].remove(&(request.deadline, id));
        Some(request)
    }

    /// Removes a waiting request from its lane or the quarantine.
    pub(crate) fn take_waiting(&mut self, id: Id) -> Option<Request> {
        let request = self.forget_waiting(id)?;
        let rank = request.urgency.rank();
        if !self.lanes[rank].remove(&request.caller, id) {
            self.quarantine.remove(id);
        }
        if self.lanes[rank].len() == 0 {
            self.passed_over[rank] = 0;
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

    /// When [`Core::poll`] must be called next if nothing else happens. Returns `None` if no
    /// request waits and the target has not asked for a pause.
    pub fn next_timer(&self, now: Instant) -> Option<Instant> {
        if self.waiting.is_empty() {
            return self.paused_until;
        }
        let earliest = self.paused_until.unwrap_or(now);
        let late = Urgency::ALL.into_iter().filter_map(|urgency| {
            let (deadline, _) = self.deadlines[urgency.rank()].first()?;
            let min_left = self.latency.min_time_left(now, urgency).max(REFUSAL_LEAD);
            let slack = (earliest - now) + min_left;
            Some(deadline.checked_sub(slack).unwrap_or(now).max(now))
        });
        let slowdown_end = self.pace.slowdown_cutoff().filter(|end| *end > now);
        let others = [
            self.paused_until,
            slowdown_end,
            self.quarantine.timer(now),
            self.stall_timer(now),
            self.starts.timer(now, self.unsent(now)),
        ];
        late.chain(others.into_iter().flatten()).min()
    }
}
