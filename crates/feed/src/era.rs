//! What a daemon does when the store has come back from an older copy of itself.
//!
//! The watchers read all again ([`watch`](crate::watch)). Here each daemon doubts that its own entry
//! is still there, and the roster holds nothing that the store lacks against anybody.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use unit::{Era, Version};

use crate::feed::Inner;

/// How long after a return the store may lack what is written again.
const SETTLED: Duration = Duration::from_secs(10);

/// An entry that was written within this time before a return is most likely lost.
const RECENT: Duration = Duration::from_secs(10);

/// What is known of the own object in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Held {
    /// There is none, or its version is not known.
    Nothing,
    /// It is as it was written or read here.
    At { version: Version, since: Instant },
    /// The store has come back from a copy that most likely lacks it.
    Lost,
    /// The store has come back from a copy, which may hold another one or none.
    Unknown,
}

impl Held {
    pub(crate) fn at(version: Version) -> Held {
        Held::At {
            version,
            since: Instant::now(),
        }
    }
}

/// Follows the eras of the store, for ever. The first one is no return.
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
    let is_recent = matches!(*object, Held::At { since, .. } if since + RECENT > now);
    // One that is most likely lost is written without a look, which costs one call in place of two.
    *object = if is_recent { Held::Lost } else { Held::Unknown };
    inner.with(|roster| roster.store_rolled_back(now));
    let watches = inner.with(|roster| roster.is_watcher());
    log::warn!(
        "feed: the store has come back from an older copy: era={newest} former={known} \
         own_entry={} reads_again={watches}.",
        if is_recent { "written" } else { "looked_up" },
    );
}

/// Waits until what was written before a return has had the time to be written again.
pub(crate) async fn settled(inner: &Inner) {
    loop {
        let since = *inner.rolled_back.lock();
        let until = since.map(|since| since + SETTLED);
        match until.filter(|until| *until > Instant::now()) {
            Some(until) => sleep_until(until).await,
            None => return,
        }
    }
}
