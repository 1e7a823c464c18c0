//! A [`Pick`] under its own lock, with guards for calls in flight.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;
use unit::{Instance, Report};

use crate::{Answer, Dump, Kind, Moved, Need, Pick, Target, Transfer, traffic};

/// A [`Pick`] that is shared between threads. Clones share the same state.
///
/// Each service has its own lock, so that a busy service does not slow down the others.
#[derive(Debug, Clone)]
pub struct Shared {
    pick: Arc<Mutex<Pick>>,
    /// Whether the choice takes account of regions. Where it does not, requests skip the work for
    /// them without a lock.
    regional: Arc<AtomicBool>,
}

/// A call in flight. Dropped without [`Guard::end`], it counts as cancelled.
#[derive(Debug)]
#[must_use = "a dropped guard counts as a cancelled call"]
pub struct Guard {
    pick: Arc<Mutex<Pick>>,
    instance: Instance,
    began: Instant,
    class: u32,
    basis: Basis,
    active: bool,
}

/// What was known of a target when it was chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Basis {
    /// Age of its last report; `None` if there was none.
    pub age: Option<Duration>,
    /// Whether that report said that work takes much longer than usual there.
    pub slow: bool,
}

impl From<Pick> for Shared {
    fn from(pick: Pick) -> Shared {
        Shared {
            regional: Arc::new(AtomicBool::new(pick.is_regional())),
            pick: Arc::new(Mutex::new(pick)),
        }
    }
}

impl Shared {
    /// See [`Pick::set_targets`].
    pub fn set_targets(&self, now: Instant, targets: &[Target]) {
        let mut pick = self.pick.lock();
        pick.set_targets(now, targets);
        self.regional.store(pick.is_regional(), Ordering::Relaxed);
    }

    /// See [`Pick::is_evacuated`].
    pub fn is_evacuated(&self) -> bool {
        self.pick.lock().is_evacuated()
    }

    /// See [`Pick::choose`].
    pub fn choose(&self, now: Instant, need: &Need<'_>) -> Option<Instance> {
        self.pick.lock().choose(now, need)
    }

    /// See [`Pick::has_available_target`].
    pub fn has_available_target(&self, now: Instant, need: &Need<'_>) -> bool {
        self.pick.lock().has_available_target(now, need)
    }

    /// See [`Pick::has_fast_target`].
    pub fn has_fast_target(&self, now: Instant, need: &Need<'_>) -> bool {
        self.pick.lock().has_fast_target(now, need)
    }

    /// See [`Pick::receive_report`].
    pub fn receive_report(&self, now: Instant, instance: &Instance, report: Report) {
        self.pick.lock().receive_report(now, instance, report);
    }

    /// Chooses a target and begins the call under one lock, so that two threads don't both choose
    /// the same idle target.
    pub fn acquire(&self, now: Instant, need: &Need<'_>) -> Option<Guard> {
        let mut pick = self.pick.lock();
        let instance = pick.choose(now, need)?;
        let mut guard = self.guard(&mut pick, now, &instance);
        guard.class = need.class;
        Some(guard)
    }

    /// Begins a call to an instance that was chosen by other means.
    pub fn begin(&self, now: Instant, instance: &Instance) -> Guard {
        self.guard(&mut self.pick.lock(), now, instance)
    }

    /// See [`Pick::set_unreachable`].
    pub fn set_unreachable(&self, instance: &Instance, unreachable: bool) {
        self.pick.lock().set_unreachable(instance, unreachable);
    }

    /// See [`Pick::has_allowed_region`].
    pub fn has_allowed_region(&self, need: &Need<'_>) -> bool {
        self.pick.lock().has_allowed_region(need)
    }

    /// See [`Pick::measure_round_trip`].
    pub fn measure_round_trip(&self, instance: &Instance, round_trip: Duration) {
        if !self.is_regional() {
            return;
        }
        self.pick.lock().measure_round_trip(instance, round_trip);
    }

    /// See [`Pick::record_bytes`].
    pub fn record_bytes(&self, now: Instant, region: &str, moved: &Moved) {
        self.pick.lock().record_bytes(now, region, moved);
    }

    /// Begins to count the bytes of a call of `class` to `instance`.
    pub fn transfer(&self, instance: &Instance, class: u32) -> Transfer {
        let region = self
            .is_regional()
            .then(|| self.pick.lock().region_of(instance))
            .flatten();
        Transfer::new(self.pick.clone(), region, class)
    }

    /// Calls and bytes by the region of the target; empty where regions are ignored.
    pub fn traffic(&self) -> BTreeMap<String, traffic::Count> {
        self.pick.lock().traffic()
    }

    /// See [`Pick::instances`].
    pub fn instances(&self) -> Vec<Instance> {
        self.pick.lock().instances()
    }

    /// See [`Pick::stalest`].
    pub fn stalest(&self, now: Instant) -> Option<Instance> {
        self.pick.lock().stalest(now)
    }

    /// See [`Pick::dump`].
    pub fn dump(&self, now: Instant) -> Dump {
        self.pick.lock().dump(now)
    }

    fn is_regional(&self) -> bool {
        self.regional.load(Ordering::Relaxed)
    }

    fn guard(&self, pick: &mut Pick, began: Instant, instance: &Instance) -> Guard {
        let basis = pick.basis(began, instance);
        pick.begin(began, instance);
        Guard {
            pick: Arc::clone(&self.pick),
            instance: instance.clone(),
            began,
            class: 0,
            basis,
            active: true,
        }
    }
}

impl Guard {
    /// Sets the class of work of a call that was begun without a choice.
    pub fn set_class(&mut self, class: u32) {
        self.class = class;
    }

    /// The instance that the call goes to.
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// What was known of the target when it was chosen.
    pub fn basis(&self) -> Basis {
        self.basis
    }

    /// When the call began.
    pub fn began(&self) -> Instant {
        self.began
    }

    /// Ends the call as of now. Its latency is the time since the call began.
    pub fn end(self, kind: Kind, report: Option<Report>) {
        self.end_at(Instant::now(), kind, report);
    }

    /// Ends the call as of `now`, for callers that keep their own clock.
    pub fn end_at(mut self, now: Instant, kind: Kind, report: Option<Report>) {
        self.close(now, kind, report);
    }

    fn close(&mut self, now: Instant, kind: Kind, report: Option<Report>) {
        self.active = false;
        let answer = Answer {
            latency: now.saturating_duration_since(self.began),
            kind,
            class: self.class,
            report,
        };
        self.pick.lock().end(now, &self.instance, &answer);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.active {
            // Otherwise a dropped call would count as running for ever, and the target would look
            // busier with each cancelled request until it got no more.
            self.close(Instant::now(), Kind::Cancelled, None);
        }
    }
}
