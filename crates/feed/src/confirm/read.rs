//! Reads the store to confirm what it holds.

use std::time::Duration;

use bytes::Bytes;
use confirm::{Confirmation, Moment, Place};
use futures_util::future::try_join_all;
use store::{Consistency, Object};
use timer::timeout;
use tokio::time::sleep;
use unit::Version;

use super::{CHECK_INTERVAL, Confirming, place};
use crate::evacuations;
use crate::feed::Inner;
use crate::job::Job;
use crate::platform::{self, Role};
use crate::rules::Source;

/// Maximum time of a read. The next one is sent on a fresh call.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The wait of a watch that only asks whether something has changed.
pub(crate) const NO_WAIT: Duration = Duration::from_millis(1);
/// Interval of the checks for evacuations, which have to be heeded within five seconds.
const EVACUATION_INTERVAL: Duration = Duration::from_secs(2);
/// How long a daemon that failed to read leaves reading to the ranks behind it.
const STEP_BACK: Duration = Duration::from_secs(5);
/// How long after its start a daemon that knows no others waits for them: longer than it takes to
/// list again. Otherwise all daemons of a fleet that starts for the first time would read.
const ALONE_GRACE: Duration = Duration::from_millis(2_500);

/// What the last read of one key has shown.
#[derive(Debug, Clone, Default)]
pub(super) struct Cursor {
    /// The revision from which the next read asks for changes; `None` if it has to read all.
    since: Option<Version>,
    version: Version,
    value: Option<Bytes>,
}

/// When this daemon last read.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    last: Option<Moment>,
    failed: Option<Moment>,
    evacuations: Evacuations,
}

/// The last check of the evacuations.
#[derive(Debug, Clone, Copy, Default)]
struct Evacuations {
    last: Option<Moment>,
    /// The revision from which the next check asks for changes; `None` if it has to list all.
    since: Option<Version>,
}

/// Reads whenever that is due. Never returns.
pub(super) async fn run(inner: &Inner, confirming: &Confirming) {
    loop {
        let place = place(inner, confirming);
        if is_due(confirming, place) {
            read(inner, confirming).await;
        } else {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

fn is_due(confirming: &Confirming, place: Place) -> bool {
    let now = confirming.clock.now();
    let is_alone = matches!(place, Place::Watcher { of: 1, .. });
    if is_alone && now.since(*confirming.began.lock()) < ALONE_GRACE {
        return false;
    }
    let state = confirming.state.lock();
    let failed = state.read.failed.map(|failed| now.since(failed));
    let retry = confirming.schedule.retry_interval(place);
    let last = state.read.last.map(|last| now.since(last));
    if failed.is_some() && last.is_some_and(|last| last < retry) {
        return false;
    }
    drop(state);
    let steps_back = failed.is_some_and(|failed| failed < STEP_BACK);
    let read_age = confirming.schedule.read_age(place, steps_back);
    read_age.is_some_and(|due| confirming.age() >= due)
}

async fn read(inner: &Inner, confirming: &Confirming) {
    // Taken before the calls are made: whatever was acknowledged earlier shows in their answers.
    let began = confirming.clock.now();
    inner.stats.checks.inc();
    let cursors = {
        let mut state = confirming.state.lock();
        state.read.last = Some(began);
        state.reads += confirming.keys.len() as u64;
        state.cursors.clone()
    };
    let reads = confirming.keys.iter().zip(cursors);
    let reads = reads.enumerate().map(|(place, (key, cursor))| async move {
        let is_rules = place == 0;
        read_key(inner, key, cursor, is_rules).await
    });
    let result = timeout(READ_TIMEOUT, try_join_all(reads)).await;
    let failure = match result {
        Ok(Ok(cursors)) => {
            let confirmation = Confirmation {
                began,
                versions: cursors.iter().map(|cursor| cursor.version).collect(),
                values: cursors.iter().map(|cursor| cursor.value.clone()).collect(),
            };
            let rules = confirmation.rules();
            let known = {
                let mut state = confirming.state.lock();
                state.read.failed = None;
                std::mem::replace(&mut state.cursors, cursors)
            };
            let is_change = known.first().map(|cursor| cursor.version) != Some(rules);
            confirming.offer(confirmation);
            if is_change {
                inner.enqueue(Job::TellRoots);
            }
            check_evacuations(inner, confirming).await;
            return;
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_string(),
    };
    inner.stats.checks_failed.inc();
    log::warn!("confirm: the store is not read: {failure}.");
    let now = confirming.clock.now();
    let mut state = confirming.state.lock();
    state.reads_failed += 1;
    state.read.failed = Some(now);
    for cursor in &mut state.cursors {
        cursor.since = None;
    }
}

/// Checks for evacuations that the watches on them have not brought, if that is due.
async fn check_evacuations(inner: &Inner, confirming: &Confirming) {
    if inner.evacuation_prefix.is_none() {
        return;
    }
    let began = confirming.clock.now();
    let known = confirming.state.lock().read.evacuations;
    let age = known.last.map(|last| began.since(last));
    if age.is_some_and(|age| age < EVACUATION_INTERVAL) {
        return;
    }
    let checked = timeout(READ_TIMEOUT, evacuations::check(inner, known.since)).await;
    let since = match checked {
        Ok(Ok(since)) => Some(since),
        Ok(Err(error)) => {
            log::warn!("confirm: evacuations are not read: {error}.");
            None
        }
        Err(_) => {
            log::warn!("confirm: evacuations are not read: no answer in time.");
            None
        }
    };
    confirming.state.lock().read.evacuations = Evacuations {
        last: Some(began),
        since,
    };
}

async fn read_key(
    inner: &Inner,
    key: &str,
    cursor: Cursor,
    is_rules: bool,
) -> Result<Cursor, store::Error> {
    if let Some(since) = cursor.since {
        match inner.store.watch(key, since, NO_WAIT).await {
            Ok(change) => {
                let mut changed = change.changed.iter().map(|object| &object.key);
                let mut deleted = change.deleted.iter().map(|deletion| &deletion.key);
                if !changed.any(|changed| changed == key) && !deleted.any(|deleted| deleted == key)
                {
                    return Ok(Cursor {
                        since: Some(change.revision),
                        ..cursor
                    });
                }
            }
            Err(error) if error.is_compacted() => {}
            Err(error) => return Err(error),
        }
    }
    read_whole(inner, key, is_rules).await
}

/// Reads the object as a listing, which unlike a read of the object names a revision from which
/// changes can be asked for. The object's own one may be compacted.
async fn read_whole(inner: &Inner, key: &str, is_rules: bool) -> Result<Cursor, store::Error> {
    let listing = inner
        .store
        .list_with(key, Consistency::Linearizable)
        .await?;
    let mut objects = listing.objects.into_iter();
    let object = objects.find(|object| object.key == key);
    if let Some(object) = object.as_ref().filter(|_| is_rules) {
        offer_rules(inner, object);
    }
    Ok(Cursor {
        since: Some(listing.revision),
        version: object
            .as_ref()
            .map_or(Version::NONE, |object| object.version),
        value: object.filter(|_| !is_rules).map(|object| object.value),
    })
}

fn offer_rules(inner: &Inner, object: &Object) {
    if object.version <= inner.current.version() {
        return;
    }
    let role = match inner.with(|roster| roster.is_watcher()) {
        true => Role::Watcher,
        false => Role::Reader,
    };
    platform::offer(inner, object, role, Source::Check);
}
