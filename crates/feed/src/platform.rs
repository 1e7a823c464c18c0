//! Reads announcements and rules from the platform, and applies them to roster and rules.

use std::time::Duration;

use roster::{Listing, Record, State};
use store::{Change, Consistency, Kind, Object};
use tokio::time::{Instant, sleep};
use unit::{Instance, Version};

use crate::era::OwnObject;
use crate::feed::Inner;
use crate::job::Job;
use crate::repair::Stale;
use crate::rules::{self, Arrival, Origin, Source};
use crate::{Error, relay};

/// What this daemon does with what it reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// It reads only for itself.
    Reader,
    /// It watches for its zone: it relays updates, and repairs the listing.
    Watcher,
}

/// Lists all announcements. Returns the revision from which a watch may start.
pub(crate) async fn list(
    inner: &Inner,
    role: Role,
    consistency: Consistency,
) -> Result<Version, Error> {
    let listing = within_budget(|| inner.store.list_with(&inner.prefix, consistency)).await?;
    let records: Vec<Record> = listing.objects.iter().filter_map(record).collect();
    adopt_own_object(inner, &listing.objects, &records).await;
    let now = Instant::now();
    let found = inner.with(|roster| {
        roster.update_received(now);
        match consistency {
            Consistency::Linearizable => roster.apply_listing(now, &records, listing.revision),
            Consistency::Serializable => roster.apply_old_listing(now, &records),
        }
    });
    if role == Role::Watcher {
        publish(inner, found, &listing.objects);
    }
    Ok(listing.revision)
}

/// Uses the announcement of a former life for this one too, if announcements outlive a restart.
async fn adopt_own_object(inner: &Inner, objects: &[Object], records: &[Record]) {
    if !inner.standing {
        return;
    }
    let own = inner.with(|roster| roster.own_record().clone());
    let key = inner.key(&own.instance);
    let version = objects.iter().find(|object| object.key == key);
    let found = records
        .iter()
        .find(|record| record.instance == own.instance);
    if let (Some(version), Some(found)) = (version, found) {
        let mut object = inner.object.lock().await;
        match *object {
            OwnObject::Nothing => *object = OwnObject::at(version.version),
            OwnObject::At { .. } => {}
            // A read that may be old can show what the store has lost.
            OwnObject::Lost | OwnObject::Unknown => return,
        }
        drop(object);
        if found.same_place(&own) && found.state == State::Live {
            inner.with(|roster| roster.write_confirmed(&own));
        }
    }
}

/// Reads the rules and offers them.
pub(crate) async fn rules(
    inner: &Inner,
    role: Role,
    consistency: Consistency,
) -> Result<(), Error> {
    let read = || inner.store.get_with(&inner.rules_key, consistency);
    if let Some(object) = within_budget(read).await? {
        offer(inner, &object, role, Source::Read);
    }
    Ok(())
}

/// Reads the rules for the zone. Returns the revision from which a watch may start. The object's
/// own revision is unsuitable, as the platform may have compacted it.
pub(crate) async fn rules_at(inner: &Inner) -> Result<Version, Error> {
    let listing = within_budget(|| inner.store.list(&inner.rules_key)).await?;
    let mut objects = listing.objects.iter();
    if let Some(object) = objects.find(|object| object.key == inner.rules_key) {
        offer(inner, object, Role::Watcher, Source::Read);
    }
    Ok(listing.revision)
}

/// Makes a call, waiting while the own budget is spent. A spent budget says nothing about the
/// platform: treated as a failure, it would cause everything to be read again, which would spend
/// the budget again.
pub(crate) async fn within_budget<T, F>(call: impl Fn() -> F) -> Result<T, store::Error>
where
    F: Future<Output = Result<T, store::Error>>,
{
    loop {
        match call().await {
            Err(store::Error {
                kind: Kind::Budget(retry_after),
                ..
            }) => sleep(retry_after).await,
            result => return result,
        }
    }
}

/// Applies a change reported by a watch on the announcements.
pub(crate) fn apply_instances(inner: &Inner, change: &Change) {
    let now = Instant::now();
    inner.with(|roster| roster.update_received(now));
    for object in &change.changed {
        if let Some(record) = record(object) {
            let found = inner.with(|roster| roster.apply_written(now, &record, object.version));
            publish(inner, found, std::slice::from_ref(object));
        }
    }
    for deletion in &change.deleted {
        if let Some(name) = name(inner, &deletion.key) {
            let found = inner.with(|roster| roster.apply_deleted(now, &name, deletion.version));
            publish(inner, found, &[]);
        }
    }
}

/// Relays the updates of a listing or change, and queues repairs of the listing.
fn publish(inner: &Inner, found: Listing, objects: &[Object]) {
    relay::publish(inner, found.updates);
    if !found.restore.is_empty() {
        inner.enqueue(Job::Restore(found.restore));
    }
    let version = |record: &Record| {
        let key = inner.key(&record.instance);
        let object = objects.iter().find(|object| object.key == key)?;
        let version = object.version;
        Some(Stale { key, version })
    };
    let stale: Vec<Stale> = found.stale.iter().filter_map(version).collect();
    if !stale.is_empty() {
        inner.enqueue(Job::DeleteStale(stale));
    }
}

/// Offers the rules that an object holds.
pub(crate) fn offer(inner: &Inner, object: &Object, role: Role, from: Source<'_>) {
    let version = object.version;
    if version < inner.current.version() {
        // A slow read may be overtaken by newer rules. If this happens repeatedly, the store was
        // restored from an older copy: the rules in force stay, and operators need to know why
        // edits have no effect.
        log::warn!("feed: rules {version} of the platform are older than those in force.");
    }
    let Ok(text) = std::str::from_utf8(&object.value) else {
        log::error!("feed: rules {version} are not valid UTF-8.");
        return;
    };
    let origin = match role {
        Role::Reader => Origin::Requested,
        Role::Watcher => Origin::Tree,
    };
    let arrival = Arrival {
        version,
        origin,
        from,
        fetched: Duration::ZERO,
    };
    // Refused rules are logged where the refusal arises, and those in force stay.
    drop(rules::offer(inner, arrival, text, None));
}

pub(crate) fn name(inner: &Inner, key: &str) -> Option<Instance> {
    key.strip_prefix(&inner.prefix)?.parse().ok()
}

/// Decodes the announcement in an object. One that can't be decoded, or names another instance than
/// its key, was written by something else and is ignored.
pub(crate) fn record(object: &Object) -> Option<Record> {
    if object.value.is_empty() {
        // The client of the store couldn't read it, and has logged that.
        return None;
    }
    let parsed = serde_json::from_slice(&object.value);
    let parsed = parsed.inspect_err(|e| log::warn!("feed: object {}: {e}.", object.key));
    let record: Record = parsed.ok()?;
    let name = object.key.rsplit('/').next().unwrap_or_default();
    if record.instance.as_str() != name {
        log::warn!(
            "feed: object {} holds the record of another instance, {}.",
            object.key,
            record.instance
        );
        return None;
    }
    Some(record)
}
