//! The gate under tokio: awaitable permits, and guards that release slots when dropped.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use unit::{Rate, Report, Token};

use crate::builder::Builder;
use crate::core::Core;
use crate::dump::Dump;
use crate::permit::Permit;
use crate::refusal::Refusal;
use crate::request::{Id, Request};
use crate::suspect::Suspicion;
use crate::token::{Fence, Status};
use crate::verdict::{Event, Verdict};
use crate::warmup::Warmup;

/// Admits requests to one target. Clones share the same gate.
///
/// One lock guards the whole state: each decision needs the exact number of running and waiting
/// requests, so shards would have to be locked together. The unit of sharding is the gate, one
/// per target.
#[derive(Debug, Clone)]
pub struct Gate {
    inner: Arc<Inner>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    state: Mutex<State>,
    hot: watch::Sender<bool>,
    condition: watch::Sender<Condition>,
    running: watch::Sender<usize>,
    /// Wakes the timer task when the next timer may have changed.
    changed: Arc<Notify>,
}

/// State that entries are notified of as soon as it changes, rather than with the next answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Condition {
    /// The target accepts no work.
    pub closed: bool,
    /// Runs at the target currently take much longer than usual.
    pub slow: bool,
}

#[derive(Debug)]
struct State {
    core: Core,
    waiters: HashMap<Id, oneshot::Sender<Result<Permit, Refusal>>>,
    timer_task: Option<AbortHandle>,
    /// When the timer task is due to wake.
    armed: Option<Instant>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        if let Some(timer_task) = self.state.get_mut().timer_task.take() {
            timer_task.abort();
        }
    }
}

/// The result for a waiting request, to be sent after the lock is released: if the waiter is gone,
/// the send drops the permit, and dropping it takes the lock.
struct Reply {
    waiter: oneshot::Sender<Result<Permit, Refusal>>,
    result: Result<Permit, Refusal>,
}

impl Inner {
    /// Changes the core, then notifies the waiters and watchers affected.
    pub(crate) fn with<T>(self: &Arc<Self>, change: impl FnOnce(&mut Core, Instant) -> T) -> T {
        self.with_state(|state, now| change(&mut state.core, now))
    }

    /// Reads from the core.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Core, Instant) -> T) -> T {
        read(&self.state.lock().core, Instant::now())
    }

    fn with_state<T>(self: &Arc<Self>, change: impl FnOnce(&mut State, Instant) -> T) -> T {
        let mut state = self.state.lock();
        let now = Instant::now();
        let value = change(&mut state, now);
        let replies = self.replies(&mut state, now);
        self.publish(&state.core, now);
        self.schedule_timer(&mut state, now);
        drop(state);
        for reply in replies {
            // If the waiter is gone, the permit is dropped here and its slot released.
            drop(reply.waiter.send(reply.result));
        }
        value
    }

    /// Has the core decide on a request, and waits for its turn if it is queued.
    pub(crate) async fn resolve(
        self: &Arc<Self>,
        decide: impl FnOnce(&mut Core, Instant) -> Verdict,
    ) -> Result<Permit, Refusal> {
        let (waiter, reply) = oneshot::channel();
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
                let guard = QueueGuard { inner, id };
                let result = reply.await;
                drop(guard);
                result.expect("every waiter is notified before it is removed")
            }
        }
    }

    fn replies(self: &Arc<Self>, state: &mut State, now: Instant) -> Vec<Reply> {
        let events = state.core.poll(now);
        let mut replies = Vec::with_capacity(events.len());
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
            replies.push(Reply { waiter, result });
        }
        replies
    }

    fn permit(self: &Arc<Self>, id: Id) -> Permit {
        Permit::new(self.clone(), id)
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

    /// Ensures that the timer task wakes at the core's next timer.
    ///
    /// The task is spawned by the first wait or end under tokio. A guard that is dropped after the
    /// runtime has shut down has no task left to wake.
    fn schedule_timer(self: &Arc<Self>, state: &mut State, now: Instant) {
        let Some(at) = state.core.next_timer(now) else {
            return;
        };
        if state
            .timer_task
            .as_ref()
            .is_none_or(AbortHandle::is_finished)
        {
            let Ok(runtime) = Handle::try_current() else {
                return;
            };
            let task = run_timers(Arc::downgrade(self), self.changed.clone());
            state.timer_task = Some(runtime.spawn(task).abort_handle());
        } else if state.armed.is_none_or(|armed| at < armed) {
            self.changed.notify_one();
        }
    }

    /// Returns the core's next timer, for the timer task to sleep until.
    fn arm(&self) -> Option<Instant> {
        let mut state = self.state.lock();
        state.armed = state.core.next_timer(Instant::now());
        state.armed
    }
}

/// Polls the core at its timers, until the last gate is dropped and aborts the task.
async fn run_timers(inner: std::sync::Weak<Inner>, changed: Arc<Notify>) {
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
    /// Returns a builder for a gate whose target runs up to `slots` requests at once.
    pub fn builder(slots: u16) -> Builder {
        Builder::new(slots)
    }

    pub(crate) fn new(core: Core) -> Gate {
        let state = State {
            core,
            waiters: HashMap::new(),
            timer_task: None,
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

    /// Waits for a slot. Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the request does not run here. It gives the cause and proves that
    /// the request was not sent.
    pub async fn admit(&self, request: Request) -> Result<Permit, Refusal> {
        self.inner
            .resolve(|core, now| core.offer(now, request))
            .await
    }

    /// Returns the current load of this gate.
    pub fn report(&self) -> Report {
        self.inner.read(Core::report)
    }

    /// Subscribes to changes of the hot state; see [`Core::hot`].
    pub fn hot(&self) -> watch::Receiver<bool> {
        self.inner.hot.subscribe()
    }

    /// Subscribes to changes that entries should be notified of at once.
    pub fn condition(&self) -> watch::Receiver<Condition> {
        self.inner.condition.subscribe()
    }

    /// Returns what the gate knows about a token.
    pub fn status(&self, token: Token) -> Status {
        self.inner.with(|core, now| core.status(now, token))
    }

    /// Ensures that a token never runs here, unless it is already running or has run; see
    /// [`Core::fence`].
    pub fn fence(&self, token: Token, deadline: Instant) -> Fence {
        self.inner
            .with(|core, now| core.fence(now, token, deadline))
    }

    /// Refuses waiting and new requests from now on; running ones may finish.
    pub fn leave(&self) {
        self.inner.with(Core::leave);
    }

    /// Resolves once no request holds a slot.
    pub async fn idle(&self) {
        let mut running = self.inner.running.subscribe();
        // The sender lives as long as this gate, so the wait cannot fail.
        drop(running.wait_for(|count| *count == 0).await);
    }

    /// Refuses waiting and new requests until [`Gate::target_up`].
    pub fn target_down(&self) {
        self.inner.with(Core::target_down);
    }

    /// Admits requests again, few at first.
    pub fn target_up(&self) {
        self.inner.with(Core::target_up);
    }

    /// Marks the target as accepting work with this many slots; see [`Core::target_ready`].
    pub fn target_ready(&self, slots: u16) {
        self.inner.with(|core, now| core.target_ready(now, slots));
    }

    /// Records that the target has just started; see [`Core::target_cold`].
    pub fn target_cold(&self) {
        self.inner.with(|core, _| core.target_cold());
    }

    /// Records that the target has restarted; see [`Core::target_restarted`].
    pub fn target_restarted(&self) {
        self.inner.with(Core::target_restarted);
    }

    /// Starts or ends the evacuation of the target's zone; see [`Core::set_evacuated`].
    pub fn set_evacuated(&self, evacuated: bool) {
        self.inner
            .with(|core, now| core.set_evacuated(now, evacuated));
    }

    /// Sets the bound on a cold target; see [`Core::set_max_cold_starts`].
    pub fn set_max_cold_starts(&self, max: Option<usize>) {
        self.inner
            .with(|core, now| core.set_max_cold_starts(now, max));
    }

    /// Updates what is known of the target's warm-up; see [`Core::set_warmup`].
    pub fn set_warmup(&self, warmup: Warmup) {
        self.inner.with(|core, now| core.set_warmup(now, warmup));
    }

    /// Sets the rate to which the target limits itself; see [`Core::set_max_rate`].
    pub fn set_max_rate(&self, max_rate: Option<Rate>) {
        self.inner
            .with(|core, now| core.set_max_rate(now, max_rate));
    }

    /// Records that a former gate may have sent requests; see [`Core::inherit_cold_starts`].
    pub fn inherit_cold_starts(&self) {
        self.inner.with(Core::inherit_cold_starts);
    }

    /// Records that no former gate has sent requests to the cold target; see [`Core::no_former_starts`].
    pub fn no_former_starts(&self) {
        self.inner.with(|core, _| core.no_former_starts());
    }

    /// Updates the target's reported pace, in hundredths; see [`Core::set_pace`].
    pub fn set_pace(&self, pace: u16) {
        self.inner.with(|core, now| core.set_pace(now, pace));
    }

    /// Returns the maximum number of requests that the target runs at once.
    pub fn slots(&self) -> u16 {
        let slots = self.inner.read(|core, _| core.limit.slots());
        u16::try_from(slots).unwrap_or(u16::MAX)
    }

    /// Lists the kinds of requests that are suspected or convicted here. Only those that are not
    /// `learnt` are meant to be sent to other gates.
    pub fn suspects(&self) -> Vec<Suspicion> {
        self.inner.read(Core::suspects)
    }

    /// Adopts a suspicion reported by another gate.
    pub fn learn(&self, suspicion: &Suspicion) {
        self.inner.with(|core, now| core.learn(now, suspicion));
    }

    /// Returns a snapshot of this gate's state.
    pub fn dump(&self) -> Dump {
        self.inner.read(Core::dump)
    }
}

/// A waiting request; dropping it before its turn cancels the request.
struct QueueGuard {
    inner: Arc<Inner>,
    id: Id,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.inner.with_state(|state, now| {
            if state.waiters.remove(&self.id).is_some() {
                state.core.cancel(now, self.id);
            }
        });
    }
}
