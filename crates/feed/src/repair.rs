//! Rewrites or deletes objects of other instances, as a watcher.

use std::time::Duration;

use bytes::Bytes;
use roster::{Record, State};
use store::Condition;
use tokio::time::sleep;
use unit::Version;

use crate::feed::Inner;
use crate::{Error, era, platform};

/// Pause between two writes for others: at most 6 a second from the three watchers of a zone.
const WRITE_PAUSE: Duration = Duration::from_millis(500);
/// Period over which the watchers' starts are spread, so that the first may do the work alone.
const START_SPREAD: Duration = Duration::from_secs(10);

/// An object of an instance that is gone.
#[derive(Debug, Clone)]
pub(crate) struct Stale {
    /// Its key.
    pub(crate) key: String,
    /// The version at which it was read.
    pub(crate) version: Version,
}

/// Rewrites objects that the store has lost, unless the key exists again.
pub(crate) async fn restore(inner: &Inner, records: Vec<Record>) {
    sleep(inner.jitter(START_SPREAD)).await;
    let _repairing = inner.repairing.lock().await;
    for record in records {
        if !is_current(inner, &record) {
            continue;
        }
        if let Err(error) = create(inner, &record).await {
            log::warn!("feed: objects not restored: {error}.");
            return;
        }
        sleep(WRITE_PAUSE).await;
    }
}

fn is_current(inner: &Inner, record: &Record) -> bool {
    let held = inner.with(|roster| roster.get(&record.instance).cloned());
    held.is_some_and(|held| held == *record && held.state == State::Live)
}

/// Whether the instance of an object is still considered gone.
fn is_gone(inner: &Inner, key: &str) -> bool {
    let name = platform::name(inner, key);
    let held = name.and_then(|name| inner.with(|roster| roster.get(&name).cloned()));
    held.is_some_and(|held| held.state == State::Gone)
}

async fn create(inner: &Inner, record: &Record) -> Result<(), Error> {
    let key = inner.key(&record.instance);
    let json = serde_json::to_vec(record).map_err(|e| Error::Object(key.clone(), e.to_string()))?;
    let written = inner.store.put(&key, Bytes::from(json), Condition::Absent);
    match written.await {
        // Another watcher, or the instance itself, wrote it first.
        Err(error) if error.is_conflict() => Ok(()),
        Err(error) => Err(error.into()),
        Ok(_) => Ok(()),
    }
}

/// Deletes objects of instances that are gone, if they are unchanged since they were read.
pub(crate) async fn delete_stale(inner: &Inner, stale: Vec<Stale>) {
    era::wait_for_rewrites(inner).await;
    sleep(inner.jitter(START_SPREAD)).await;
    let _repairing = inner.repairing.lock().await;
    for Stale { key, version } in stale {
        if !is_gone(inner, &key) {
            continue;
        }
        let deleted = inner.store.delete(&key, Condition::Match(version)).await;
        if let Err(error) = deleted
            && !error.is_conflict()
        {
            log::warn!("feed: stale objects not deleted: {error}.");
            return;
        }
        sleep(WRITE_PAUSE).await;
    }
}
