//! The gate under tokio: permits that are awaited, and guards that give slots back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use unit::{Cause, Report, Token};

use crate::builder::Builder;
use crate::core::Core;
use crate::dump::Dump;
use crate::refusal::Refusal;
use crate::request::{End, Id, Request};
use crate::suspect::Suspicion;
use crate::token::{Fence, Status};
use crate::verdict::{Event, Verdict};

/// The only way to a target; clones are the same gate.
///
/// One lock guards the whole state: each decision needs the exact count of what runs and waits,
/// so shards would have to be locked together. The shard is the gate itself, one for a target.
#[derive(Debug, Clone)]
pub struct Gate {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    hot: watch::Sender<bool>,
    condition: watch::Sender<Condition>,
    running: watch::Sender<usize>,
    /// Tells the clock task that the next timer may have changed.
    changed: Arc<Notify>,
}

/// What entries should hear of as soon as it changes, and not with the next answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Condition {
    /// The target takes no work.
    pub closed: bool,
    /// Work takes much longer than usual at the target at this moment.
    pub slow: bool,
}

#[derive(Debug)]
struct State {
    core: Core,
    waiters: HashMap<Id, oneshot::Sender<Result<Permit, Refusal>>>,
    clock: Option<AbortHandle>,
    /// When the clock task wakes by itself.
    armed: Option<Instant>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        if let Some(clock) = self.state.get_mut().clock.take() {
            clock.abort();
        }
    }
}

/// An answer to a waiting request, to be sent without the lock: a permit whose waiter has gone
/// away is dropped by the send, and takes the lock itself.
struct Answer {
    waiter: oneshot::Sender<Result<Permit, Refusal>>,
    result: Result<Permit, Refusal>,
}

impl Inner {
    /// Changes the core, then tells waiters and watchers what came of it.
    fn with<T>(self: &Arc<Self>, change: impl FnOnce(&mut Core, Instant) -> T) -> T {
        self.with_state(|state, now| change(&mut state.core, now))
    }

    fn with_state<T>(self: &Arc<Self>, change: impl FnOnce(&mut State, Instant) -> T) -> T {
        let mut state = self.state.lock();
        let now = Instant::now();
        let value = change(&mut state, now);
        let answers = self.answers(&mut state, now);
        self.publish(&state.core, now);
        self.wind(&mut state, now);
        drop(state);
        for answer in answers {
            // A waiter that has gone away gets nothing; its permit is dropped here.
            drop(answer.waiter.send(answer.result));
        }
        value
    }

    /// Has the core decide on a request, and waits if it says so.
    async fn settle(
        self: &Arc<Self>,
        decide: impl FnOnce(&mut Core, Instant) -> Verdict,
    ) -> Result<Permit, Refusal> {
        let (waiter, answer) = oneshot::channel();
        let verdict = self.with_state(|state, now| {
            let verdict = decide(&mut state.core, now);
            if let Verdict::Wait(id) = verdict {
                state.waiters.insert(id, waiter);
            }
            verdict
        });
        match verdict {
            Verdict::Start(id) => Ok(self.permit(id)),
            Verdict::Refuse(refusal) => Err(refusal),
            Verdict::Wait(id) => {
                let inner = self.clone();
                let place = Place { inner, id };
                let result = answer.await;
                drop(place);
                result.expect("the gate answers each waiter before it forgets it")
            }
        }
    }

    fn answers(self: &Arc<Self>, state: &mut State, now: Instant) -> Vec<Answer> {
        let events = state.core.poll(now);
        let mut answers = Vec::with_capacity(events.len());
        for event in events {
            let (id, refusal) = match event {
                Event::Start { id } => (id, None),
                Event::Refuse { id, refusal } => (id, Some(refusal)),
            };
            let Some(waiter) = state.waiters.remove(&id) else {
                continue;
            };
            let result = match refusal {
                Some(refusal) => Err(refusal),
                None => Ok(self.permit(id)),
            };
            answers.push(Answer { waiter, result });
        }
        answers
    }

    fn permit(self: &Arc<Self>, id: Id) -> Permit {
        Permit {
            slot: Some(Slot {
                inner: self.clone(),
                id,
            }),
        }
    }

    fn publish(&self, core: &Core, now: Instant) {
        let hot = core.hot();
        self.hot
            .send_if_modified(|old| std::mem::replace(old, hot) != hot);
        let condition = core.condition(now);
        self.condition
            .send_if_modified(|old| std::mem::replace(old, condition) != condition);
        let running = core.running();
        self.running
            .send_if_modified(|old| std::mem::replace(old, running) != running);
    }

    /// Makes sure that the clock task wakes at the core's next timer.
    ///
    /// The first timer comes from a wait or an end under tokio; a guard that is dropped after
    /// its runtime has gone has no one left to wake.
    fn wind(self: &Arc<Self>, state: &mut State, now: Instant) {
        let Some(at) = state.core.next_timer(now) else {
            return;
        };
        if state.clock.as_ref().is_none_or(AbortHandle::is_finished) {
            let Ok(runtime) = Handle::try_current() else {
                return;
            };
            let task = keep_time(Arc::downgrade(self), self.changed.clone());
            state.clock = Some(runtime.spawn(task).abort_handle());
        } else if state.armed.is_none_or(|armed| at < armed) {
            self.changed.notify_one();
        }
    }

    /// The core's next timer, for the clock task to sleep until.
    fn arm(&self) -> Option<Instant> {
        let mut state = self.state.lock();
        state.armed = state.core.next_timer(Instant::now());
        state.armed
    }
}

/// Polls the core at its timers, until the last gate is dropped and aborts it.
async fn keep_time(inner: std::sync::Weak<Inner>, changed: Arc<Notify>) {
    loop {
        let Some(timer) = inner.upgrade().map(|inner| inner.arm()) else {
            return;
        };
        match timer {
            None => changed.notified().await,
            Some(at) => tokio::select! {
                () = changed.notified() => {}
                () = sleep_until(at) => {
                    if let Some(inner) = inner.upgrade() {
                        inner.with(|_, _| ());
                    }
                }
            },
        }
    }
}

impl Gate {
    /// Settings for a gate before a target that runs `slots` requests at once.
    pub fn builder(slots: u16) -> Builder {
        Builder::new(slots)
    }

    pub(crate) fn new(core: Core) -> Gate {
        let state = State {
            core,
            waiters: HashMap::new(),
            clock: None,
            armed: None,
        };
        let inner = Inner {
            state: Mutex::new(state),
            hot: watch::Sender::new(false),
            condition: watch::Sender::default(),
            running: watch::Sender::new(0),
            changed: Arc::new(Notify::new()),
        };
        Gate {
            inner: Arc::new(inner),
        }
    }

    /// Waits for a slot. Dropping the future takes the request out of the queue.
    ///
    /// # Errors
    ///
    /// The [`Refusal`] says why the request does not run here, and is the proof that it has not
    /// been sent.
    pub async fn admit(&self, request: Request) -> Result<Permit, Refusal> {
        self.inner
            .settle(|core, now| core.offer(now, request))
            .await
    }

    /// The load of this gate now.
    pub fn report(&self) -> Report {
        self.inner.state.lock().core.report(Instant::now())
    }

    /// Tells each change between hot (true) and cold.
    pub fn hot(&self) -> watch::Receiver<bool> {
        self.inner.hot.subscribe()
    }

    /// Tells each change that entries should hear of at once.
    pub fn condition(&self) -> watch::Receiver<Condition> {
        self.inner.condition.subscribe()
    }

    /// What the gate knows of a token.
    pub fn status(&self, token: Token) -> Status {
        self.inner.with(|core, now| core.status(now, token))
    }

    /// Makes sure that a token never runs here, if it has not begun to; see [`Core::fence`].
    pub fn fence(&self, token: Token, deadline: Instant) -> Fence {
        self.inner
            .with(|core, now| core.fence(now, token, deadline))
    }

    /// Refuses what waits and what comes from now on; what runs may end.
    pub fn leave(&self) {
        self.inner.with(Core::leave);
    }

    /// Resolves once no request holds a slot.
    pub async fn idle(&self) {
        let mut running = self.inner.running.subscribe();
        // The sender lives as long as this gate, so that the wait can't fail.
        drop(running.wait_for(|count| *count == 0).await);
    }

    /// Refuses what waits and what comes until [`Gate::target_up`].
    pub fn target_down(&self) {
        self.inner.with(Core::target_down);
    }

    /// Lets requests in again, few at first.
    pub fn target_up(&self) {
        self.inner.with(Core::target_up);
    }

    /// The target is there, with so many slots; see [`Core::target_ready`].
    pub fn target_ready(&self, slots: u16) {
        self.inner.with(|core, now| core.target_ready(now, slots));
    }

    /// The target has just started; see [`Core::target_cold`].
    pub fn target_cold(&self) {
        self.inner.with(|core, _| core.target_cold());
    }

    /// The target has started anew; see [`Core::target_restarted`].
    pub fn target_restarted(&self) {
        self.inner.with(Core::target_restarted);
    }

    /// The target tells how long work takes at it now; see [`Core::set_pace`].
    pub fn set_pace(&self, pace: u16) {
        self.inner.with(|core, now| core.set_pace(now, pace));
    }

    /// Requests that the target runs at once at most.
    pub fn slots(&self) -> u16 {
        let slots = self.inner.state.lock().core.limit.slots();
        u16::try_from(slots).unwrap_or(u16::MAX)
    }

    /// What is held against kinds of requests here; for other gates, send those not `learnt`.
    pub fn suspects(&self) -> Vec<Suspicion> {
        self.inner.state.lock().core.suspects(Instant::now())
    }

    /// Takes a suspicion that another gate has found.
    pub fn learn(&self, suspicion: &Suspicion) {
        self.inner.with(|core, now| core.learn(now, suspicion));
    }

    /// The state of this gate.
    pub fn dump(&self) -> Dump {
        self.inner.state.lock().core.dump(Instant::now())
    }
}

/// A place in the queue; leaving it early cancels the request.
struct Place {
    inner: Arc<Inner>,
    id: Id,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.inner.with_state(|state, now| {
            if state.waiters.remove(&self.id).is_some() {
                state.core.cancel(now, self.id);
            }
        });
    }
}

/// A slot held; dropping it gives the slot back.
#[derive(Debug)]
struct Slot {
    inner: Arc<Inner>,
    id: Id,
}

/// Leave to dispatch one request; dropping it gives the slot back, and the request has not run.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    slot: Option<Slot>,
}

/// A dispatched request; dropping it without [`Running::finish`] counts as a failed run.
///
/// It can't be refused any more: the target may have seen it.
#[derive(Debug)]
#[must_use]
pub struct Running {
    slot: Option<Slot>,
    since: Instant,
}

impl Permit {
    /// The request leaves for the target now; from here on it may have run.
    pub fn dispatch(mut self) -> Running {
        let slot = self.slot.take();
        let since = Instant::now();
        if let Some(slot) = &slot {
            slot.inner.with(|core, now| core.dispatch(now, slot.id));
        }
        Running { slot, since }
    }

    /// Whether the target should tell its pace before the request leaves; see [`Core::needs_pace_probe`].
    pub fn needs_pace_probe(&self) -> bool {
        let Some(slot) = &self.slot else {
            return false;
        };
        let state = slot.inner.state.lock();
        state.core.needs_pace_probe(Instant::now(), slot.id)
    }

    /// Looks once more whether the request should start now, and waits again if not; see
    /// [`Core::reconsider`].
    ///
    /// # Errors
    ///
    /// As [`Gate::admit`].
    pub async fn reconsider(mut self) -> Result<Permit, Refusal> {
        let slot = self
            .slot
            .take()
            .expect("a permit holds its slot until it is consumed");
        let id = slot.id;
        slot.inner
            .settle(|core, now| core.reconsider(now, id))
            .await
    }

    /// Gives the slot back undispatched, with the proof of it.
    pub fn refuse(mut self, cause: Cause) -> Refusal {
        let slot = self
            .slot
            .take()
            .expect("a permit holds its slot until it is consumed");
        let refusal = slot
            .inner
            .with(|core, now| core.refuse(now, slot.id, cause));
        refusal.expect("a permit's request is undispatched")
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.inner
                .with(|core, now| core.refuse(now, slot.id, Cause::Shed));
        }
    }
}

impl Running {
    /// The request has ended; its slot is free.
    pub fn finish(mut self, end: End) {
        self.end(end);
    }

    /// Tells how much work the run was for the target; see [`Core::record_work`].
    pub fn record_work(&self, work: Duration) {
        if let Some(slot) = &self.slot {
            slot.inner
                .with(|core, now| core.record_work(now, slot.id, work));
        }
    }

    /// When the request was dispatched.
    pub fn since(&self) -> Instant {
        self.since
    }

    fn end(&mut self, end: End) {
        if let Some(slot) = self.slot.take() {
            slot.inner.with(|core, now| core.finish(now, slot.id, end));
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let latency = self.since.elapsed();
        self.end(End::Failed { latency });
    }
}
