//! Handles the restoration of the store from an older copy.
//!
//! The watchers read everything again ([`watch`](crate::watch)). Here each daemon checks whether
//! its own entry still exists, and the roster does not treat an instance as gone for being missing
//! from the store.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use unit::{Era, Version};

use crate::feed::Inner;

/// Time after a restoration during which the store may lack entries that are yet to be rewritten.
const REWRITE_WINDOW: Duration = Duration::from_secs(10);

/// An entry written within this time before a restoration is most likely lost.
const LOSS_WINDOW: Duration = Duration::from_secs(10);

/// What is known of the own object in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OwnObject {
    /// It does not exist, or its version is not known.
    Nothing,
    /// It was last written or read here at this version.
    At { version: Version, since: Instant },
    /// The store was restored from a copy that most likely lacks it.
    Lost,
    /// The store was restored from a copy that may hold another version of it or none.
    Unknown,
}

impl OwnObject {
    pub(crate) fn at(version: Version) -> OwnObject {
        OwnObject::At {
            version,
            since: Instant::now(),
        }
    }
}

/// Follows the eras of the store. The first one is not a restoration. Never returns.
pub(crate) async fn run(inner: Arc<Inner>) {
    let eras = inner.store.eras();
    let mut known = eras.after(None).await;
    loop {
        let newest = eras.after(Some(known)).await;
        rolled_back(&inner, known, newest).await;
        known = newest;
    }
}

async fn rolled_back(inner: &Inner, known: Era, newest: Era) {
    let now = Instant::now();
    *inner.rolled_back.lock() = Some(now);
    inner.stats.rollbacks.inc();
    let mut object = inner.object.lock().await;
    let is_recent = matches!(*object, OwnObject::At { since, .. } if since + LOSS_WINDOW > now);
    // An object that is most likely lost is written without reading it first, which saves a call.
    *object = if is_recent {
        OwnObject::Lost
    } else {
        OwnObject::Unknown
    };
    inner.with(|roster| roster.store_rolled_back(now));
    let watches = inner.with(|roster| roster.is_watcher());
    log::warn!(
        "feed: the store has come back from an older copy: era={newest} former={known} \
         own_entry={} reads_again={watches}.",
        if is_recent { "written" } else { "looked_up" },
    );
}

/// Whether the store was restored so recently that entries may yet be rewritten.
pub(crate) fn is_restored(inner: &Inner) -> bool {
    let since = *inner.rolled_back.lock();
    since.is_some_and(|since| since.elapsed() < REWRITE_WINDOW)
}

/// Waits until entries lost in a restoration have had time to be rewritten.
pub(crate) async fn wait_for_rewrites(inner: &Inner) {
    loop {
        let since = *inner.rolled_back.lock();
        let until = since.map(|since| since + REWRITE_WINDOW);
        match until.filter(|until| *until > Instant::now()) {
            Some(until) => sleep_until(until).await,
            None => return,
        }
    }
}
