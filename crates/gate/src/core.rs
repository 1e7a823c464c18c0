//! The decisions of a gate, without clock, lock or task.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;
use unit::{Cause, Digest, Token, Urgency};

use crate::builder::Setting;
use crate::knee::Knee;
use crate::lane::Lane;
use crate::latency::Latency;
use crate::limit::{Limit, Seq};
use crate::pace::Pace;
use crate::quarantine::Quarantine;
use crate::refusal::Refusal;
use crate::request::{Id, Request};
use crate::suspect::{self, Standing, Suspicion};
use crate::token::{self, Fence, State, Status};
use crate::verdict::{Event, Verdict};

/// A request that holds a slot.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) request: Request,
    pub(crate) since: Instant,
    pub(crate) turn: Seq,
    pub(crate) dispatched: bool,
    /// The target's pace when it was dispatched, in hundredths; 0 where it doesn't tell.
    pub(crate) pace: u16,
    /// How many ran when it was dispatched, itself included.
    pub(crate) concurrency: usize,
}

impl Held {
    pub(crate) fn new(request: Request, since: Instant, turn: Seq) -> Held {
        Held {
            request,
            since,
            turn,
            dispatched: false,
            pace: 0,
            concurrency: 0,
        }
    }
}

/// The exact count of what runs and waits at one target, and the rules by which it changes.
///
/// All times come from the caller and may only rise. After each call, take the [`Event`]s from
/// [`Core::poll`]; call it again no later than [`Core::next_timer`] says.
///
/// ```
/// use std::time::Duration;
///
/// use gate::{Builder, End, Event, Request, Verdict};
/// use tokio::time::Instant;
/// use unit::{Digest, Token, Urgency};
///
/// let start = Instant::now();
/// let request = |token| Request {
///     token: Token(token),
///     urgency: Urgency::Routine,
///     caller: "desk-3@clinic-7".parse().expect("a caller"),
///     weight: 1,
///     deadline: start + Duration::from_secs(1),
///     kind: Digest::of(b"GET /box/9"),
///     nested: false,
///     goal: None,
///     class: 0,
///     elsewhere: false,
/// };
/// let mut core = Builder::new(1).core(start);
/// let Verdict::Start(first) = core.offer(start, request(1)) else { unreachable!() };
/// let Verdict::Wait(second) = core.offer(start, request(2)) else { unreachable!() };
/// core.dispatch(start, first);
///
/// let latency = Duration::from_millis(10);
/// core.finish(start + latency, first, End::Answered { latency });
/// assert_eq!(core.poll(start + latency), [Event::Start { id: second }]);
/// ```
#[derive(Debug)]
pub struct Core {
    pub(crate) setting: Setting,
    pub(crate) limit: Limit,
    pub(crate) latency: Latency,
    pub(crate) knee: Knee,
    pub(crate) lanes: [Lane; 3],
    pub(crate) quarantine: Quarantine,
    pub(crate) waiting: BTreeMap<Id, Request>,
    /// Waiting requests that others wait for.
    pub(crate) nested: BTreeSet<Id>,
    /// Waiting requests of each urgency by deadline.
    pub(crate) deadlines: [BTreeSet<(Instant, Id)>; 3],
    pub(crate) held: BTreeMap<Id, Held>,
    /// Held requests by age.
    pub(crate) ages: BTreeSet<(Instant, Id)>,
    /// Held requests of each urgency.
    pub(crate) held_by: [usize; 3],
    pub(crate) last_urgent: Option<Instant>,
    pub(crate) last_quick: Option<Instant>,
    pub(crate) last_start: Option<Instant>,
    /// Requests that found all used slots taken, since one was last started beyond them.
    pub(crate) pressed: u32,
    /// Starts of more urgent work since each urgency's last turn.
    pub(crate) passed: [u32; 3],
    pub(crate) tokens: token::Table,
    pub(crate) suspects: suspect::Table,
    pub(crate) pause: Option<Instant>,
    /// When a target that looks stuck has its limit cut again.
    pub(crate) stall: Option<Instant>,
    pub(crate) down: bool,
    pub(crate) leaving: bool,
    pub(crate) hot: bool,
    pub(crate) pace: Pace,
    pub(crate) answered: u32,
    pub(crate) next_turn: Seq,
    pub(crate) events: Vec<Event>,
    next_id: u64,
}

impl Core {
    pub(crate) fn new(setting: Setting, now: Instant) -> Core {
        let knee = Knee::new(now, usize::from(setting.slots));
        let mut limit = Limit::new(setting.law, setting.slots);
        limit.follow_knee(knee.best());
        Core {
            limit,
            latency: Latency::default(),
            knee,
            lanes: Default::default(),
            quarantine: Quarantine::new(now),
            waiting: BTreeMap::new(),
            nested: BTreeSet::new(),
            deadlines: Default::default(),
            held: BTreeMap::new(),
            ages: BTreeSet::new(),
            held_by: [0; 3],
            last_urgent: None,
            last_quick: None,
            last_start: None,
            pressed: 0,
            passed: [0; 3],
            tokens: token::Table::new(setting.tokens, setting.grace),
            suspects: suspect::Table::new(&setting),
            pause: None,
            stall: None,
            down: false,
            leaving: false,
            hot: false,
            pace: Pace::default(),
            answered: 0,
            next_turn: 0,
            events: Vec::new(),
            next_id: 0,
            setting,
        }
    }

    /// Asks for a slot.
    pub fn offer(&mut self, now: Instant, request: Request) -> Verdict {
        self.age(now);
        if request.urgency == Urgency::Urgent {
            self.last_urgent = Some(now);
        }
        if let Some(goal) = request.goal {
            let left = goal.saturating_duration_since(now);
            self.latency.record_goal(request.class, left);
        }
        if let Some(cause) = self.objection(now, &request) {
            return Verdict::Refuse(self.refuse_new(now, &request, cause));
        }
        let id = Id(self.next_id);
        self.next_id += 1;
        if self.held.len() >= self.limit.now() {
            self.pressed = self.pressed.saturating_add(1);
        }
        self.enqueue(now, id, request);
        self.welcome(now);
        self.verdict(id)
    }

    /// Why this request is not let in at all.
    fn objection(&self, now: Instant, request: &Request) -> Option<Cause> {
        match self.tokens.state(request.token) {
            Some(State::Fenced | State::Refused) => return Some(Cause::Fenced),
            Some(_) => return Some(Cause::Duplicate),
            None => {}
        }
        if self.leaving {
            return Some(Cause::Leaving);
        }
        if self.down {
            return Some(Cause::Down);
        }
        if request.deadline <= now {
            return Some(Cause::Deadline);
        }
        if !self.tokens.has_room() {
            return Some(Cause::Full);
        }
        match self.standing(now, request.kind) {
            Standing::Convicted { .. } => Some(Cause::Suspect),
            Standing::Suspect if !self.quarantine.has_room() => Some(Cause::Suspect),
            Standing::Suspect => None,
            Standing::Unsuspected if self.is_better_elsewhere(now, request) => Some(Cause::Full),
            Standing::Unsuspected if request.nested && self.has_nested_room() => None,
            Standing::Unsuspected => self.forecast_objection(now, request),
        }
    }

    fn refuse_new(&mut self, now: Instant, request: &Request, cause: Cause) -> Refusal {
        if self.tokens.state(request.token).is_none() && request.deadline > now {
            self.tokens.refuse(request.token, request.deadline);
        }
        self.refusal(now, request, cause)
    }

    pub(crate) fn enqueue(&mut self, now: Instant, id: Id, request: Request) {
        let rank = request.urgency.rank();
        let suspect = self.standing(now, request.kind) != Standing::Unsuspected;
        if suspect {
            self.quarantine.push(id);
        } else {
            self.make_room(now, &request);
            self.lanes[rank].push(&request.caller, request.weight, id);
        }
        self.tokens.queue(request.token, request.deadline);
        self.deadlines[rank].insert((request.deadline, id));
        if request.nested {
            self.nested.insert(id);
        }
        self.waiting.insert(id, request);
    }

    /// Takes a heavier member's newest request out of a full lane.
    fn make_room(&mut self, now: Instant, request: &Request) {
        let lane = &self.lanes[request.urgency.rank()];
        if lane.len() < self.setting.queue {
            return;
        }
        if let Some(victim) = lane.victim(&request.caller, request.weight) {
            self.refuse_waiting(now, victim, Cause::Full);
        }
    }

    /// The fate of a request just offered, taken out of the events.
    pub(crate) fn verdict(&mut self, id: Id) -> Verdict {
        let own = |event: &Event| match event {
            Event::Start { id: other } | Event::Refuse { id: other, .. } => *other == id,
        };
        let Some(at) = self.events.iter().position(own) else {
            return Verdict::Wait(id);
        };
        match self.events.remove(at) {
            Event::Start { id } => Verdict::Start(id),
            Event::Refuse { refusal, .. } => Verdict::Refuse(refusal),
        }
    }

    /// The caller of a waiting request has gone away; false when it does not wait.
    pub fn cancel(&mut self, now: Instant, id: Id) -> bool {
        let Some(request) = self.take_waiting(id) else {
            return false;
        };
        self.tokens.refuse(request.token, request.deadline);
        self.advance(now);
        true
    }

    /// The run of a dispatched request took so much work at the target, without the calls that the
    /// target made for it.
    pub fn record_work(&mut self, now: Instant, id: Id, work: Duration) {
        if let Some(held) = self.held.get(&id) {
            let run = (held.request.class, held.concurrency, held.pace);
            self.watch_knee(now, run, work);
        }
    }

    /// The request leaves for the target: from here on nothing can refuse it.
    ///
    /// False when the id holds no slot, or was dispatched before.
    pub fn dispatch(&mut self, now: Instant, id: Id) -> bool {
        let concurrency = self.held.len();
        let Some(held) = self.held.get_mut(&id) else {
            return false;
        };
        if held.dispatched {
            return false;
        }
        held.dispatched = true;
        held.concurrency = concurrency;
        held.pace = self.pace.current();
        self.ages.remove(&(held.since, id));
        held.since = now;
        self.ages.insert((now, id));
        true
    }

    /// Gives a slot back undispatched; none when the id holds no slot or was dispatched.
    pub fn refuse(&mut self, now: Instant, id: Id, cause: Cause) -> Option<Refusal> {
        if self.held.get(&id)?.dispatched {
            return None;
        }
        let held = self.release(now, id)?;
        self.tokens
            .refuse(held.request.token, held.request.deadline);
        self.advance(now);
        Some(self.refusal(now, &held.request, cause))
    }

    /// What the gate knows of a token.
    pub fn status(&mut self, now: Instant, token: Token) -> Status {
        self.tokens.expire(now);
        self.tokens.status(token)
    }

    /// Makes sure that a token never runs here, if it has not begun to.
    ///
    /// `deadline` is that of the request; the answer is [`Fence::Unsure`] when it is so long
    /// past that the gate may have forgotten the token. A token that holds a slot counts as
    /// running even if it is not dispatched yet.
    pub fn fence(&mut self, now: Instant, token: Token, deadline: Instant) -> Fence {
        self.tokens.expire(now);
        if self.tokens.state(token) != Some(State::Queued) {
            return self.tokens.fence(now, token, deadline);
        }
        let queued = self.waiting.iter().find(|(_, r)| r.token == token);
        let Some(id) = queued.map(|(id, _)| *id) else {
            return Fence::Unsure;
        };
        self.refuse_waiting(now, id, Cause::Fenced);
        let fence = self.tokens.fence(now, token, deadline);
        self.advance(now);
        match fence {
            Fence::Fenced => Fence::Cancelled,
            other => other,
        }
    }

    /// The target leaves: what waits and what comes is refused, what runs may end.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.refuse_all(now, Cause::Leaving);
    }

    /// The target can't be reached: what waits and what comes is refused.
    pub fn target_down(&mut self, now: Instant) {
        self.down = true;
        self.refuse_all(now, Cause::Down);
    }

    /// The target can be reached again; it gets its share back by answers given.
    pub fn target_up(&mut self, now: Instant) {
        if std::mem::take(&mut self.down) {
            self.limit.reset_cold();
            self.advance(now);
        }
    }

    /// The target has started a moment ago, and is slower than usual for a while.
    pub fn target_cold(&mut self) {
        self.pace.reset_cold();
    }

    /// The target has started anew: what was learnt of its speed and its slots is of the start before.
    ///
    /// Its answers count from nothing, so that entries send it little at first. Tokens stay, for what
    /// the start before was sent may have run; so do suspicions, for what has crashed it will again.
    pub fn target_restarted(&mut self, now: Instant) {
        self.answered = 0;
        self.knee = Knee::new(now, self.limit.slots());
        self.limit.reset_cold();
        self.limit.follow_knee(self.knee.best());
        self.pause = None;
        self.advance(now);
    }

    /// The target is there and takes work, with so many slots; a new life of it perhaps.
    pub fn target_ready(&mut self, now: Instant, slots: u16) {
        self.leaving = false;
        if self.limit.slots() != usize::from(slots.max(1)) {
            self.knee = Knee::new(now, usize::from(slots.max(1)));
        }
        self.limit.resize(slots);
        self.limit.follow_knee(self.knee.best());
        if std::mem::take(&mut self.down) {
            self.limit.reset_cold();
        }
        self.advance(now);
    }

    /// The target tells how long work takes at it now, in hundredths of what it usually takes.
    pub fn set_pace(&mut self, now: Instant, pace: u16) {
        if self.pace.update(now, pace) {
            self.refuse_delayed(now);
        }
        self.advance(now);
    }

    /// How a request of this kind is treated. Where suspects don't run alone, they are treated as
    /// all others until they are convicted.
    pub(crate) fn standing(&self, now: Instant, kind: Digest) -> Standing {
        match self.suspects.standing(now, kind) {
            Standing::Suspect if !self.setting.isolate_suspects => Standing::Unsuspected,
            standing => standing,
        }
    }

    /// What is held against kinds of requests here.
    pub fn suspects(&self, now: Instant) -> Vec<Suspicion> {
        self.suspects.list(now)
    }

    /// Takes a suspicion that another gate has found.
    pub fn learn(&mut self, now: Instant, suspicion: &Suspicion) {
        self.suspects.learn(now, suspicion, self.next_turn);
        self.refuse_convicted(now, suspicion.kind);
        self.advance(now);
    }

    /// Requests that hold a slot.
    pub fn running(&self) -> usize {
        self.held.len()
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    fn age(&mut self, now: Instant) {
        self.tokens.expire(now);
        self.suspects.expire(now);
    }

    /// Brings everything up to `now` and takes what has happened to waiting requests.
    pub fn poll(&mut self, now: Instant) -> Vec<Event> {
        self.age(now);
        self.advance(now);
        std::mem::take(&mut self.events)
    }
}
