//! The queue of one urgency, fair among members and among the callers of a member.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use tokio::time::Instant;
use unit::{Caller, Member};

use crate::request::{Id, Request};

/// Virtual time taken by one request of weight 1.
const QUANTUM: u64 = 1 << 20;

/// Virtual start time of a member's next request.
type Tag = u64;

/// Start-time fair queueing over members, with round robin over the callers of each member.
///
/// The order of a member's starts depends on how many members wait, not on how many requests each
/// has queued, so one member's batch delays a request of another member by at most one start per
/// unit of weight. The two levels prevent a member from gaining a larger share by using many caller
/// names, and keep its interactive callers from waiting behind its own batch.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    flows: BTreeMap<Member, Flow>,
    /// Members with waiting requests, by tag and then by the order in which they got it.
    ready: BTreeMap<Place, Member>,
    virtual_time: Tag,
    next_order: u64,
    len: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    tag: Tag,
    order: u64,
}

#[derive(Debug)]
struct Flow {
    place: Place,
    weight: u32,
    len: usize,
    round_robin: VecDeque<Caller>,
    queues: BTreeMap<Caller, VecDeque<Queued>>,
}

/// A waiting request of one caller.
#[derive(Debug, Clone, Copy)]
struct Queued {
    id: Id,
    goal: Option<Instant>,
}

/// Where a request with this goal joins the queue of its caller: before those with later goals, and
/// behind those without one. A goal that can't be met when its turn comes is refused then, so the
/// earliest goal that can still be met goes first.
fn place(queue: &VecDeque<Queued>, goal: Option<Instant>) -> usize {
    let Some(goal) = goal else {
        return queue.len();
    };
    let later = |queued: &Queued| queued.goal.is_some_and(|other| other > goal);
    let overtaken = queue.iter().rev().take_while(|queued| later(queued));
    queue.len() - overtaken.count()
}

/// The number of waiting requests of one caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Waiting {
    /// The caller.
    pub caller: Caller,
    /// Number of its waiting requests.
    pub queued: usize,
}

impl Flow {
    fn step(&self) -> Tag {
        QUANTUM / u64::from(self.weight)
    }

    /// Requests of this member that would start before a new one of `caller`.
    fn ahead_of(&self, caller: &Caller, goal: Option<Instant>) -> usize {
        let mine = self
            .queues
            .get(caller)
            .map_or(0, |queue| place(queue, goal));
        let others = self.queues.iter().filter(|(other, _)| *other != caller);
        mine + others
            .map(|(_, queue)| queue.len().min(mine + 1))
            .sum::<usize>()
    }

    fn pop(&mut self) -> Option<Id> {
        let caller = self.round_robin.pop_front()?;
        let queue = self.queues.get_mut(&caller)?;
        let id = queue.pop_front().map(|queued| queued.id);
        if queue.is_empty() {
            self.queues.remove(&caller);
        } else {
            self.round_robin.push_back(caller);
        }
        self.len -= 1;
        id
    }

    fn push(&mut self, caller: &Caller, queued: Queued) {
        if !self.queues.contains_key(caller) {
            self.round_robin.push_back(caller.clone());
        }
        let queue = self.queues.entry(caller.clone()).or_default();
        queue.insert(place(queue, queued.goal), queued);
        self.len += 1;
    }

    fn remove(&mut self, caller: &Caller, id: Id) -> bool {
        let Some(queue) = self.queues.get_mut(caller) else {
            return false;
        };
        let Some(at) = queue.iter().position(|queued| queued.id == id) else {
            return false;
        };
        queue.remove(at);
        if queue.is_empty() {
            self.queues.remove(caller);
            self.round_robin.retain(|other| other != caller);
        }
        self.len -= 1;
        true
    }

    /// The last request of the caller with the longest queue.
    fn newest(&self) -> Option<Id> {
        let longest = self.queues.values().max_by_key(|queue| queue.len())?;
        longest.back().map(|queued| queued.id)
    }
}

impl Lane {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, request: &Request, id: Id) {
        self.forget_idle();
        let (caller, weight) = (&request.caller, request.weight);
        let member = caller.member();
        let place = Place {
            tag: self.virtual_time,
            order: self.next_order,
        };
        let flow = self.flows.entry(member.clone()).or_insert_with(|| Flow {
            place,
            weight: 1,
            len: 0,
            round_robin: VecDeque::new(),
            queues: BTreeMap::new(),
        });
        flow.weight = weight.clamp(1, QUANTUM as u32);
        if flow.len == 0 {
            flow.place = place.max(Place {
                tag: flow.place.tag,
                order: self.next_order,
            });
            self.next_order += 1;
            self.ready.insert(flow.place, member);
        }
        let goal = request.goal;
        flow.push(caller, Queued { id, goal });
        self.len += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<Id> {
        let (place, member) = self.ready.pop_first()?;
        self.virtual_time = place.tag;
        let flow = self.flows.get_mut(&member)?;
        let id = flow.pop();
        self.len -= 1;
        flow.place = Place {
            tag: place.tag + flow.step(),
            order: self.next_order,
        };
        self.next_order += 1;
        if flow.len > 0 {
            self.ready.insert(flow.place, member);
        }
        id
    }

    pub(crate) fn remove(&mut self, caller: &Caller, id: Id) -> bool {
        let Some(flow) = self.flows.get_mut(&caller.member()) else {
            return false;
        };
        if !flow.remove(caller, id) {
            return false;
        }
        self.len -= 1;
        if flow.len == 0 {
            self.ready.remove(&flow.place);
        }
        true
    }

    /// Requests of this lane that would start before a new one.
    pub(crate) fn ahead_of(&self, request: &Request) -> usize {
        let (caller, weight) = (&request.caller, request.weight);
        let member = caller.member();
        let own = self.flows.get(&member);
        let mine = own.map_or(0, |flow| flow.ahead_of(caller, request.goal));
        let step = QUANTUM / u64::from(weight.clamp(1, QUANTUM as u32));
        let tag = own.map_or(self.virtual_time, |flow| {
            flow.place.tag.max(self.virtual_time)
        });
        let start = tag + mine as u64 * step;
        let others = self.flows.iter().filter(|(other, _)| **other != member);
        let ahead = others.map(|(_, flow)| {
            let past = start.checked_sub(flow.place.tag);
            past.map_or(0, |past| flow.len.min((past / flow.step()) as usize + 1))
        });
        mine + ahead.sum::<usize>()
    }

    /// The request to evict from a full lane for a new one: the newest request of the member with
    /// the most requests per weight. Returns `None` if the newcomer's member would hold as many.
    pub(crate) fn victim(&self, caller: &Caller, weight: u32) -> Option<Id> {
        let load = |flow: &Flow| flow.len as f64 / f64::from(flow.weight);
        let heaviest = self
            .flows
            .values()
            .max_by(|a, b| load(a).total_cmp(&load(b)))?;
        let own = self.flows.get(&caller.member()).map_or(0, |flow| flow.len);
        let newcomer = (own + 1) as f64 / f64::from(weight.max(1));
        if newcomer > load(heaviest) - 1.0 / f64::from(heaviest.weight) {
            return None;
        }
        heaviest.newest()
    }

    /// Removes members that have no waiting requests and whose tag is not ahead of the virtual
    /// time.
    ///
    /// Members with waiting requests are bounded by the length of the lane, so this bounds the
    /// table.
    fn forget_idle(&mut self) {
        if self.flows.len() <= 2 * self.len + 64 {
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| flow.len > 0 || flow.place.tag > virtual_time);
    }

    pub(crate) fn waiting(&self) -> impl Iterator<Item = Waiting> {
        let queues = self.flows.values().flat_map(|flow| &flow.queues);
        queues.map(|(caller, queue)| Waiting {
            caller: caller.clone(),
            queued: queue.len(),
        })
    }
}
