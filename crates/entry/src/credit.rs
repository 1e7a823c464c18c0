//! The credit that a request has taken out of its workspace's quota.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;

use crate::Spent;

/// The credit of one request, until it is known whether the request has run.
///
/// If it is dropped while an attempt is under way, as when the caller disconnects, the request may be
/// running, and the credit is not returned.
#[derive(Default)]
pub(crate) struct Credit {
    /// Behind a lock only because a request that is spawned as a task must be shareable.
    spent: Mutex<Option<Spent>>,
    sent: Sent,
}

/// Records that a request has been sent to a gate. Clones share the record.
#[derive(Clone, Default)]
pub(crate) struct Sent(Option<Arc<AtomicBool>>);

impl Credit {
    pub(crate) fn new(spent: Spent) -> Credit {
        Credit {
            spent: Mutex::new(Some(spent)),
            sent: Sent(Some(Arc::default())),
        }
    }

    /// The record for an attempt, which marks it just before it sends the request.
    pub(crate) fn sent(&self) -> Sent {
        self.sent.clone()
    }

    /// Settles the credit after an attempt: keeps it if the request may have run, and otherwise leaves
    /// it to the next attempt.
    pub(crate) fn settle(&mut self, may_have_run: bool) {
        if may_have_run && let Some(spent) = self.spent.get_mut().take() {
            spent.keep();
        }
        self.sent.set(false);
    }
}

impl Sent {
    pub(crate) fn mark(&self) {
        self.set(true);
    }

    fn set(&self, sent: bool) {
        if let Some(flag) = &self.0 {
            flag.store(sent, Ordering::Release);
        }
    }

    fn is_set(&self) -> bool {
        let flag = self.0.as_ref();
        flag.is_some_and(|flag| flag.load(Ordering::Acquire))
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        if let Some(spent) = self.spent.get_mut().take()
            && self.sent.is_set()
        {
            spent.keep();
        }
    }
}
