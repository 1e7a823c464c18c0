//! Sends the own announcement to the other daemons, and writes it to the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use roster::Record;
use store::{Backoff, Condition};
use tokio::time::{Instant, sleep};

use crate::era::OwnObject;
use crate::feed::Inner;
use crate::platform;
use crate::{Error, relay};

/// Interval of the checks whether an announcement or write is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Initial pause between failed writes.
const MIN_PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Announces the own record whenever it has changed. Never returns.
pub(crate) async fn run(inner: Arc<Inner>) {
    let announced = announce(&inner);
    let written = write_when_due(&inner);
    tokio::join!(announced, written);
}

async fn announce(inner: &Inner) {
    loop {
        // The roster hands out the record once; it would be lost if no other instance is known yet.
        let own = inner.with(|roster| {
            let known = roster.peers().next().is_some();
            if known {
                roster.take_announcement()
            } else {
                None
            }
        });
        if let Some(record) = own {
            let observers = inner.with(|roster| roster.heartbeat_receivers());
            relay::broadcast(inner, vec![record], &observers).await;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

async fn write_when_due(inner: &Inner) {
    if inner.standing {
        // If the announcement of a former life is still there, nothing needs to be written.
        inner.listed.cancelled().await;
    }
    inner.needed.cancelled().await;
    let seed = inner.jitter(MIN_PAUSE).as_nanos() as u64;
    let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE, seed);
    loop {
        match write_due(inner).await {
            Ok(()) => {
                backoff.reset();
                sleep(CHECK_INTERVAL).await;
            }
            Err(error) => {
                log::warn!("feed: own announcement not written: {error}.");
                sleep(backoff.pause()).await;
            }
        }
    }
}

/// Writes the own record if the roster reports that a write is due.
pub(crate) async fn write_due(inner: &Inner) -> Result<(), Error> {
    let mut object = inner.object.lock().await;
    let due = inner.with(|roster| roster.due_write(Instant::now()));
    let Some(record) = due else {
        return Ok(());
    };
    if write(inner, &mut object, &record).await? {
        inner.with(|roster| roster.write_confirmed(&record));
    }
    Ok(())
}

/// Writes a record over the last known version. Returns false if the write must be repeated.
///
/// The write is conditional on the version that it replaces. A write that was delayed in transit
/// thus can't overwrite a later one, and two processes with the same name detect each other.
async fn write(inner: &Inner, object: &mut OwnObject, record: &Record) -> Result<bool, Error> {
    if *object == OwnObject::Unknown {
        if read_back(inner, object, record).await? {
            return Ok(true);
        }
        if *object == OwnObject::Nothing {
            *object = OwnObject::Lost;
        }
    }
    let is_lost = *object == OwnObject::Lost;
    let key = inner.key(&record.instance);
    let json = serde_json::to_vec(record).map_err(|e| Error::Object(key.clone(), e.to_string()))?;
    let when = match *object {
        OwnObject::At { version, .. } => Condition::Match(version),
        OwnObject::Nothing | OwnObject::Lost | OwnObject::Unknown => Condition::Absent,
    };
    match inner.store.put(&key, Bytes::from(json), when).await {
        Ok(version) => {
            *object = OwnObject::at(version);
            if is_lost {
                inner.stats.rewritten.inc();
            }
            Ok(true)
        }
        Err(error) if error.is_conflict() || error.may_have_written() => {
            read_back(inner, object, record).await
        }
        Err(error) => Err(error.into()),
    }
}

/// Reads which record the store holds: this one after all, that of an earlier life, or another's.
async fn read_back(inner: &Inner, object: &mut OwnObject, record: &Record) -> Result<bool, Error> {
    let found = inner.store.get(&inner.key(&record.instance)).await?;
    *object = found
        .as_ref()
        .map_or(OwnObject::Nothing, |found| OwnObject::at(found.version));
    let Some(found) = found.as_ref().and_then(platform::record) else {
        return Ok(false);
    };
    if found == *record {
        return Ok(true);
    }
    // A later life of this name makes the roster either refute it or give way to it.
    inner.merge(&found);
    Ok(false)
}

/// Deletes the own object if it is still the one that this process wrote.
pub(crate) async fn delete(inner: &Inner, record: &Record) -> Result<(), Error> {
    let mut object = inner.object.lock().await;
    if *object == OwnObject::Nothing && !inner.needed.is_cancelled() {
        return Ok(());
    }
    let key = inner.key(&record.instance);
    let version = match *object {
        OwnObject::At { version, .. } => version,
        OwnObject::Nothing | OwnObject::Lost | OwnObject::Unknown => {
            match inner.store.get(&key).await? {
                Some(found) if is_own(&found, record) => found.version,
                _ => return Ok(()),
            }
        }
    };
    *object = OwnObject::Nothing;
    match inner.store.delete(&key, Condition::Match(version)).await {
        Err(error) if !error.is_conflict() => Err(error.into()),
        _ => Ok(()),
    }
}

fn is_own(found: &store::Object, record: &Record) -> bool {
    platform::record(found).is_some_and(|found| found.incarnation == record.incarnation)
}
