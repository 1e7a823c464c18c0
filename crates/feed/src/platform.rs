//! What is read from the platform, put into the roster and the rules.

use roster::{Listing, Record, State};
use store::{Change, Object};
use tokio::time::Instant;
use unit::{Instance, Version};

use crate::feed::Inner;
use crate::job::Job;
use crate::repair::Stale;
use crate::rules::{self, Origin};
use crate::{Error, relay};

/// What this daemon does with what it reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// It reads for itself.
    Reader,
    /// It watches for its zone: it passes news on, and mends the listing.
    Watcher,
}

/// Reads all announcements; answers the revision at which a watch may begin.
pub(crate) async fn list(inner: &Inner, role: Role) -> Result<Version, Error> {
    let listing = inner.store.list(&inner.prefix).await?;
    let records: Vec<Record> = listing.objects.iter().filter_map(record).collect();
    find_own(inner, &listing.objects, &records).await;
    let now = Instant::now();
    let found = inner.with(|roster| {
        roster.fed(now);
        roster.apply_listing(now, &records, listing.revision)
    });
    if role == Role::Watcher {
        publish(inner, found, &listing.objects);
    }
    Ok(listing.revision)
}

/// Where announcements outlive a restart, that of a former life serves this one too.
async fn find_own(inner: &Inner, objects: &[Object], records: &[Record]) {
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
        inner.object.lock().await.get_or_insert(version.version);
        if found.same_place(&own) && found.state == State::Live {
            inner.with(|roster| roster.written(&own));
        }
    }
}

/// Reads the rules, and offers them.
pub(crate) async fn rules(inner: &Inner, role: Role) -> Result<(), Error> {
    if let Some(object) = inner.store.get(&inner.rules_key).await? {
        offer(inner, &object, role);
    }
    Ok(())
}

/// Takes in what a watch on the announcements tells.
pub(crate) fn instances(inner: &Inner, change: &Change) {
    let now = Instant::now();
    inner.with(|roster| roster.fed(now));
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

/// Passes on what a listing or change has brought, and has the listing mended.
fn publish(inner: &Inner, found: Listing, objects: &[Object]) {
    relay::publish(inner, found.news);
    if !found.restore.is_empty() {
        inner.later(Job::Restore(found.restore));
    }
    let version = |record: &Record| {
        let key = inner.key(&record.instance);
        let object = objects.iter().find(|object| object.key == key)?;
        let version = object.version;
        Some(Stale { key, version })
    };
    let stale: Vec<Stale> = found.stale.iter().filter_map(version).collect();
    if !stale.is_empty() {
        inner.later(Job::Sweep(stale));
    }
}

/// Offers the rules of an object.
pub(crate) fn offer(inner: &Inner, object: &Object, role: Role) {
    let version = object.version;
    if version < inner.current.version() {
        // A reading that took long may be overtaken. If it happens again and again, the store was
        // restored: what is in force stays, and operators must know why edits have no effect.
        log::warn!("feed: the platform's rules {version} are older than those in force.");
    }
    let Ok(text) = std::str::from_utf8(&object.value) else {
        log::error!("feed: rules {version} are no text.");
        return;
    };
    let origin = match role {
        Role::Reader => Origin::Asked,
        Role::Watcher => Origin::Tree,
    };
    // A refusal is logged where it arises, and the last good rules stay.
    drop(rules::offer(inner, version, text, origin));
}

fn name(inner: &Inner, key: &str) -> Option<Instance> {
    key.strip_prefix(&inner.prefix)?.parse().ok()
}

/// The announcement in an object. One that can't be read, or that speaks of another instance than its
/// key, is another writer's and names nobody.
pub(crate) fn record(object: &Object) -> Option<Record> {
    let parsed = serde_json::from_slice(&object.value);
    let parsed = parsed.inspect_err(|e| log::warn!("feed: object {}: {e}.", object.key));
    let record: Record = parsed.ok()?;
    let name = object.key.rsplit('/').next().unwrap_or_default();
    if record.instance.as_str() != name {
        log::warn!("feed: object {} speaks of {}.", object.key, record.instance);
        return None;
    }
    Some(record)
}
