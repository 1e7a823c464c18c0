//! Guards of the slots that a gate hands out.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use unit::Cause;

use crate::refusal::Refusal;
use crate::request::{End, Id};
use crate::shell::Inner;

/// A held slot; dropping it releases the slot.
#[derive(Debug)]
struct Slot {
    inner: Arc<Inner>,
    id: Id,
}

/// Permission to dispatch one request. Dropping it releases the slot, and the request has not run.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    slot: Option<Slot>,
}

/// A dispatched request; dropping it without [`Running::finish`] counts as a failed run.
///
/// It can no longer be refused, since the target may have seen it.
#[derive(Debug)]
#[must_use]
pub struct Running {
    slot: Option<Slot>,
    since: Instant,
}

impl Permit {
    pub(crate) fn new(inner: Arc<Inner>, id: Id) -> Permit {
        Permit {
            slot: Some(Slot { inner, id }),
        }
    }

    /// Marks the request as sent to the target; from here on it may have run.
    pub fn dispatch(mut self) -> Running {
        let slot = self.slot.take();
        let since = Instant::now();
        if let Some(slot) = &slot {
            slot.inner.with(|core, now| core.dispatch(now, slot.id));
        }
        Running { slot, since }
    }

    /// Whether the target should be probed for its pace before the request is sent; see
    /// [`Core::needs_pace_probe`](crate::Core::needs_pace_probe).
    pub fn needs_pace_probe(&self) -> bool {
        let Some(slot) = &self.slot else {
            return false;
        };
        slot.inner
            .read(|core, now| core.needs_pace_probe(now, slot.id))
    }

    /// Checks again whether the request should start now, and waits again if not; see
    /// [`Core::reconsider`](crate::Core::reconsider).
    ///
    /// # Errors
    ///
    /// Same as [`Gate::admit`](crate::Gate::admit).
    pub async fn reconsider(mut self) -> Result<Permit, Refusal> {
        let slot = self
            .slot
            .take()
            .expect("a permit holds its slot until it is consumed");
        let id = slot.id;
        slot.inner
            .resolve(|core, now| core.reconsider(now, id))
            .await
    }

    /// Releases the slot without dispatch and returns the proof of it.
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
    /// Ends the request and frees its slot.
    pub fn finish(mut self, end: End) {
        self.end(end);
    }

    /// Records the work that the run caused at the target; see [`Core::record_work`](crate::Core::record_work).
    pub fn record_work(&self, work: Duration) {
        if let Some(slot) = &self.slot {
            slot.inner
                .with(|core, now| core.record_work(now, slot.id, work));
        }
    }

    /// Records that the request was written to its connection; see [`Core::record_sent`](crate::Core::record_sent).
    pub fn record_sent(&self) {
        if let Some(slot) = &self.slot {
            slot.inner.with(|core, now| core.record_sent(now, slot.id));
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
