//! The admission and scheduling logic of a gate, free of clocks, locks and tasks.

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
use crate::short::Short;
use crate::starts::Starts;
use crate::suspect::{self, Standing, Suspicion};
use crate::token::{self, Fence, State, Status};
use crate::verdict::{Event, Verdict};

/// A request that holds a slot.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) request: Request,
    pub(crate) since: Instant,
    pub(crate) seq: Seq,
    pub(crate) dispatched: bool,
    /// Whether it was written to its connection.
    pub(crate) sent: bool,
    /// The target's pace at dispatch, in hundredths; 0 if the target does not report one.
    pub(crate) pace: u16,
    /// Number of requests that held a slot at dispatch, this one included.
    pub(crate) concurrency: usize,
}

impl Held {
    pub(crate) fn new(request: Request, since: Instant, seq: Seq) -> Held {
        Held {
            request,
            since,
            seq,
            dispatched: false,
            sent: false,
            pace: 0,
            concurrency: 0,
        }
    }
}

/// The running and waiting requests of one target, and the rules for admitting them.
///
/// All times are supplied by the caller and must not decrease. After each call, take the
/// [`Event`]s from [`Core::poll`], and call it again no later than [`Core::next_timer`].
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
///     bulk: false,
///     delivery: None,
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
    /// Waiting requests that another request waits for.
    pub(crate) nested: BTreeSet<Id>,
    /// Waiting requests by deadline, per urgency.
    pub(crate) deadlines: [BTreeSet<(Instant, Id)>; 3],
    pub(crate) held: BTreeMap<Id, Held>,
    /// Held requests by start time, or by dispatch time once dispatched.
    pub(crate) ages: BTreeSet<(Instant, Id)>,
    /// Number of held requests per urgency.
    pub(crate) held_by_urgency: [usize; 3],
    pub(crate) last_urgent: Option<Instant>,
    pub(crate) last_quick_answer: Option<Instant>,
    pub(crate) last_start: Option<Instant>,
    /// Requests that arrived while the limit was reached, since a request last started beyond it.
    pub(crate) blocked_arrivals: u32,
    /// Starts of more urgent requests that passed over the waiting requests of each urgency since its
    /// last start.
    pub(crate) passed_over: [u32; 3],
    pub(crate) tokens: token::Table,
    pub(crate) suspects: suspect::Table,
    pub(crate) short: Short,
    pub(crate) paused_until: Option<Instant>,
    /// When the limit is next cut if the target still appears stalled.
    pub(crate) next_stall_cut: Option<Instant>,
    pub(crate) down: bool,
    pub(crate) leaving: bool,
    /// Whether the target's zone is evacuated.
    pub(crate) evacuated: bool,
    pub(crate) starts: Starts,
    pub(crate) hot: bool,
    pub(crate) pace: Pace,
    pub(crate) answered: u32,
    pub(crate) next_seq: Seq,
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
            held_by_urgency: [0; 3],
            last_urgent: None,
            last_quick_answer: None,
            last_start: None,
            blocked_arrivals: 0,
            passed_over: [0; 3],
            tokens: token::Table::new(setting.tokens, setting.grace),
            suspects: suspect::Table::new(&setting),
            short: Short::default(),
            paused_until: None,
            next_stall_cut: None,
            down: false,
            leaving: false,
            evacuated: false,
            starts: Starts::default(),
            hot: false,
            pace: Pace::default(),
            answered: 0,
            next_seq: 0,
            events: Vec::new(),
            next_id: 0,
            setting,
        }
    }

    /// Requests a slot.
    pub fn offer(&mut self, now: Instant, request: Request) -> Verdict {
        self.expire(now);
        if request.urgency == Urgency::Urgent {
            self.last_urgent = Some(now);
        }
        if let Some(goal) = request.goal {
            let left = goal.saturating_duration_since(now);
            self.latency.record_goal(request.class, left);
        }
        self.note_blocked_nested(now, &request);
        if let Some(cause) = self.admission_cause(now, &request) {
            return Verdict::Refuse(self.refuse_new(now, &request, cause));
        }
        let id = Id(self.next_id);
        self.next_id += 1;
        if self.held.len() >= self.limit.now() {
            self.blocked_arrivals = self.blocked_arrivals.saturating_add(1);
        }
        self.enqueue(now, id, request);
        self.start_on_arrival(now);
        self.verdict(id)
    }

    /// Returns the cause for refusing this request on arrival, if there is one.
    fn admission_cause(&self, now: Instant, request: &Request) -> Option<Cause> {
        match self.tokens.state(request.token) {
            Some(State::Fenced | State::Refused) => return Some(Cause::Fenced),
            Some(_) => return Some(Cause::Duplicate),
            None => {}
        }
        if self.leaving {
            return Some(Cause::Leaving);
        }
        if self.evacuated {
            return Some(Cause::Evacuated);
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
            Standing::Unsuspected if request.nested && self.has_nested_room(now) => None,
            Standing::Unsuspected => self.forecast_cause(now, request),
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
            self.lanes[rank].push(&request, id);
        }
        self.tokens.queue(request.token, request.deadline);
        self.deadlines[rank].insert((request.deadline, id));
        if request.nested {
            self.nested.insert(id);
        }
        self.waiting.insert(id, request);
    }

    /// Evicts the newest request of a member with a larger share from a full lane.
    fn make_room(&mut self, now: Instant, request: &Request) {
        let lane = &self.lanes[request.urgency.rank()];
        if lane.len() < self.setting.queue {
            return;
        }
        if let Some(victim) = lane.victim(&request.caller, request.weight) {
            self.refuse_waiting(now, victim, Cause::Full);
        }
    }

    /// Returns the decision on a request that was just offered, removing its event from the queue.
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

    /// Cancels a waiting request whose caller has disconnected. Returns false if it is not waiting.
    pub fn cancel(&mut self, now: Instant, id: Id) -> bool {
        let Some(request) = self.take_waiting(id) else {
            return false;
        };
        self.tokens.refuse(request.token, request.deadline);
        self.advance(now);
        true
    }

    /// Records the work that a dispatched request caused at the target, excluding the time of the
    /// calls that the target made for it.
    pub fn record_work(&mut self, now: Instant, id: Id, work: Duration) {
        if let Some(held) = self.held.get(&id) {
            let run = (held.request.class, held.concurrency, held.pace);
            self.update_knee(now, run, work);
        }
    }

    /// Marks the request as sent to the target. From here on it can no longer be refused.
    ///
    /// Returns false if the id holds no slot or was already dispatched.
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

    /// Records that a dispatched request was written to its connection; see [`crate::Warmup`].
    pub fn record_sent(&mut self, now: Instant, id: Id) {
        if let Some(held) = self.held.get_mut(&id).filter(|held| !held.sent) {
            held.sent = true;
            self.starts.record_sent(now);
        }
    }

    /// Releases a slot without dispatch. Returns `None` if the id holds no slot or was dispatched.
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

    /// Returns what the gate knows about a token.
    pub fn status(&mut self, now: Instant, token: Token) -> Status {
        self.tokens.expire(now);
        self.tokens.status(token)
    }

    /// Ensures that a token never runs here, unless it is already running or has run.
    ///
    /// `deadline` is the deadline of the request. The result is [`Fence::Unsure`] if it passed so
    /// long ago that the gate may have forgotten the token. A token that holds a slot counts as
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

    /// Returns how a request of this kind is treated. If suspects are not isolated, they are
    /// treated like any other request until they are convicted.
    pub(crate) fn standing(&self, now: Instant, kind: Digest) -> Standing {
        match self.suspects.standing(now, kind) {
            Standing::Suspect if !self.setting.isolate_suspects => Standing::Unsuspected,
            standing => standing,
        }
    }

    /// Lists the kinds of requests that are suspected or convicted here.
    pub fn suspects(&self, now: Instant) -> Vec<Suspicion> {
        self.suspects.list(now)
    }

    /// Adopts a suspicion reported by another gate.
    pub fn learn(&mut self, now: Instant, suspicion: &Suspicion) {
        self.suspects.learn(now, suspicion, self.next_seq);
        self.refuse_convicted(now, suspicion.kind);
        self.advance(now);
    }

    /// Number of requests that hold a slot.
    pub fn running(&self) -> usize {
        self.held.len()
    }

    /// Number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    fn expire(&mut self, now: Instant) {
        self.tokens.expire(now);
        self.suspects.expire(now);
    }

    /// Advances the state to `now` and returns the events of waiting requests since the last call.
    pub fn poll(&mut self, now: Instant) -> Vec<Event> {
        self.expire(now);
        self.advance(now);
        std::mem::take(&mut self.events)
    }
}
