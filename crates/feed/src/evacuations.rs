//! Follows the evacuations in the store, and spreads them to all daemons.
//!
//! The watchers of each zone read them. A change goes down the trees of all zones at once; a daemon
//! that it has missed notices by the digest in the next heartbeat, and compares.

use std::collections::BTreeSet;

use evacuation::Record;
use store::{Change, Consistency};
use unit::{Instance, Version, Zone};

use crate::confirm::NO_WAIT;
use crate::feed::Inner;
use crate::job::Job;
use crate::message::{Answer, Message};
use crate::{Error, carrier, era, platform, relay};

/// Lists all evacuations for the zone. Returns the revision from which a watch may start.
pub(crate) async fn list(inner: &Inner) -> Result<Version, Error> {
    let Some(prefix) = &inner.evacuation_prefix else {
        return Ok(Version::NONE);
    };
    let read = || inner.store.list_with(prefix, Consistency::Linearizable);
    let listing = platform::within_budget(read).await?;
    let objects = listing.objects.iter();
    let listed = objects.filter_map(|object| record(inner, &object.key, object.version, true));
    let listed: Vec<Record> = listed.collect();
    let new = match era::is_restored(inner) {
        true => inner
            .evacuations
            .apply_restored_listing(&listed, listing.revision),
        false => inner.evacuations.apply_listing(&listed, listing.revision),
    };
    publish(inner, new);
    Ok(listing.revision)
}

/// Reads the changes after `since`, or all without it. Returns the revision from which to go on.
pub(crate) async fn check(inner: &Inner, since: Option<Version>) -> Result<Version, Error> {
    if let (Some(prefix), Some(since)) = (&inner.evacuation_prefix, since) {
        match inner.store.watch(prefix, since, NO_WAIT).await {
            Ok(change) => {
                apply(inner, &change);
                return Ok(change.revision);
            }
            Err(error) if error.is_compacted() => {}
            Err(error) => return Err(error.into()),
        }
    }
    list(inner).await
}

/// Applies a change reported by a watch on the evacuations.
pub(crate) fn apply(inner: &Inner, change: &Change) {
    let begun = change.changed.iter();
    let begun = begun.filter_map(|object| record(inner, &object.key, object.version, true));
    let ended = change.deleted.iter();
    let ended = ended.filter_map(|object| record(inner, &object.key, object.version, false));
    let records: Vec<Record> = begun.chain(ended).collect();
    publish(inner, inner.evacuations.merge(&records));
}

/// Resolves once evacuations that a restored store lacks may have ended: the operator has had time
/// to write them again. Never resolves if there are none.
pub(crate) async fn may_end_later(inner: &Inner) {
    let era = inner.store.eras().newest().unwrap_or_default();
    let records = inner.evacuations.records();
    let is_former = |record: &Record| record.evacuated && record.version.era < era;
    match era::is_restored(inner) && records.iter().any(is_former) {
        true => era::wait_for_rewrites(inner).await,
        false => std::future::pending().await,
    }
}

/// The record of an object that exists or was deleted at `version`. Its existence alone evacuates the
/// zone that its key names, whatever its value is; a name that is not one of a zone evacuates nothing.
fn record(inner: &Inner, key: &str, version: Version, exists: bool) -> Option<Record> {
    let name = key.strip_prefix(inner.evacuation_prefix.as_deref()?)?;
    let zone: Result<Zone, _> = name.parse();
    let zone =
        zone.inspect_err(|error| log::warn!("feed: object {key} evacuates nothing: {error}."));
    Some(Record {
        zone: zone.ok()?,
        version,
        evacuated: exists,
    })
}

/// Sends records that were read here to all zones.
fn publish(inner: &Inner, new: Vec<Record>) {
    if !new.is_empty() && inner.relayed.lock().mark_update(relay::tree_seed(&new)) {
        inner.enqueue(Job::RelayEvacuations(new));
    }
}

/// Relays records to the children in the tree and to the roots of all zones.
pub(crate) async fn relay(inner: &Inner, records: Vec<Record>) {
    let seed = relay::tree_seed(&records);
    let mut to: BTreeSet<Instance> = relay::children(inner, seed).into_iter().collect();
    if inner.with(|roster| roster.is_watcher()) {
        to.extend(inner.with(|roster| roster.roots()));
    }
    relay::deliver(inner, seed, Message::Evacuations(records), to).await;
}

/// Takes records that came down the tree, and relays them once.
pub(crate) fn received(inner: &Inner, records: Vec<Record>) -> Answer {
    inner.evacuations.merge(&records);
    let is_first = inner.relayed.lock().mark_update(relay::tree_seed(&records));
    if is_first {
        inner.enqueue(Job::RelayEvacuations(records));
    }
    Answer::Done
}

/// Compares evacuations with a daemon that reported another digest of them.
pub(crate) fn check_digest(inner: &Inner, from: &Instance, digest: u64) {
    if digest != inner.evacuations.digest() {
        inner.enqueue(Job::CompareEvacuations(from.clone()));
    }
}

/// Exchanges all evacuations with another daemon.
pub(crate) async fn compare(inner: &Inner, with: &Instance) {
    if let Err(error) = exchange(inner, with).await {
        log::debug!("feed: comparison of evacuations failed: {error}.");
    }
}

async fn exchange(inner: &Inner, with: &Instance) -> Result<(), Error> {
    let message = Message::CompareEvacuations(inner.evacuations.records());
    let Answer::Evacuations(records) = inner.ask(with, &message).await? else {
        return Err(carrier::unexpected_answer(with));
    };
    inner.evacuations.merge(&records);
    Ok(())
}

/// Takes the evacuations that another daemon knows, and returns those known here.
pub(crate) fn compared(inner: &Inner, records: &[Record]) -> Answer {
    inner.evacuations.merge(records);
    Answer::Evacuations(inner.evacuations.records())
}
