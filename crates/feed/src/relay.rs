//! Relays updates down the trees of the zones.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use roster::Record;
use serde::Serialize;
use unit::{Digest, Instance, Version};

use crate::feed::Inner;
use crate::job::Job;
use crate::message::{Kind, MAX_RECORDS, Message, Update};

/// Time within which a child in the tree must answer before its own children are sent the update
/// directly.
///
/// It covers a new link between regions, and leaves time for the remaining levels within the five
/// seconds in which rules must be in force.
const CHILD_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of relayed updates that are remembered.
const MAX_REMEMBERED: usize = 1_024;
/// Maximum number of updated records of one listing that go down the trees. Larger sets are found
/// by comparing digests, which costs each daemon one exchange instead of a message from each
/// watcher.
const MAX_RELAYED_RECORDS: usize = 64;

/// The updates that this daemon has relayed.
///
/// Whether to relay depends on whether this daemon has relayed the update before, not on whether
/// the update is new here: a daemon that received it directly, or found it through a heartbeat,
/// still has children in the tree that depend on it.
#[derive(Debug, Default)]
pub(crate) struct Relayed {
    seeds: BTreeSet<u64>,
    order: VecDeque<u64>,
    rules: Version,
}

impl Relayed {
    /// Marks an update as relayed; false if it already was.
    pub(crate) fn mark_update(&mut self, seed: u64) -> bool {
        if !self.seeds.insert(seed) {
            return false;
        }
        self.order.push_back(seed);
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.seeds.remove(&oldest);
        }
        true
    }

    /// Marks a version of the rules as relayed; false if it or a later one already was.
    pub(crate) fn mark_rules(&mut self, version: Version) -> bool {
        let newer = version > self.rules;
        self.rules = version.max(self.rules);
        newer
    }
}

/// Derives the tree's seed from the records alone, wherever they were found.
///
/// The three watchers of a zone, which read the same change, thus use one tree instead of three.
pub(crate) fn tree_seed<T: Serialize>(records: &[T]) -> u64 {
    let packed = records.iter().filter_map(|r| wire::codec::pack(r).ok());
    let digests = packed.map(|bytes| Digest::of(&bytes).0 as u64);
    digests.fold(0, u64::wrapping_add)
}

/// Relays an update that came down the tree to the children.
pub(crate) async fn relay(inner: &Inner, update: Update) {
    let children = children(inner, update.seed);
    let seed = update.seed;
    deliver(inner, seed, Message::Records(update), children).await;
}

/// Relays to the own zone what this daemon, as a watcher, has read from the platform.
pub(crate) fn publish(inner: &Inner, records: Vec<Record>) {
    if records.is_empty() {
        return;
    }
    if records.len() > MAX_RELAYED_RECORDS {
        log::info!(
            "feed: {} updated records are too many to relay, leaving them to heartbeats.",
            records.len()
        );
        return;
    }
    let seed = tree_seed(&records);
    if inner.relayed.lock().mark_update(seed) {
        inner.enqueue(Job::Relay(Update { seed, records }));
    }
}

/// Sends records that originate here to all zones, and to `others` directly.
pub(crate) async fn broadcast(inner: &Inner, records: Vec<Record>, others: &[Instance]) {
    for batch in records.chunks(MAX_RECORDS) {
        let seed = tree_seed(batch);
        inner.relayed.lock().mark_update(seed);
        let mut to: BTreeSet<Instance> = children(inner, seed).into_iter().collect();
        to.extend(inner.with(|roster| roster.roots()));
        to.extend(others.iter().cloned());
        let records = batch.to_vec();
        deliver(inner, seed, Message::Records(Update { seed, records }), to).await;
    }
}

/// Sends removals to all zones, and to each removed instance, which refutes its removal if it is
/// alive.
pub(crate) async fn broadcast_removed(inner: &Inner, records: Vec<Record>) {
    let names: Vec<Instance> = records.iter().map(|r| r.instance.clone()).collect();
    broadcast(inner, records, &names).await;
}

/// The daemons to which this one relays: its children in the tree and, if it is one of the roots,
/// the other roots. Any of the roots may have lost its watch or have stopped.
pub(crate) fn children(inner: &Inner, seed: u64) -> Vec<Instance> {
    inner.with(|roster| {
        let me = roster.me().clone();
        let mut children = roster.relay_children(seed, &me);
        let roots = roster.watchers(roster.zone(), roster.policy().watchers());
        if roots.contains(&me) {
            children.extend(roots.into_iter().filter(|root| *root != me));
        }
        children
    })
}

/// Sends one message to each of `to` in parallel, and returns those that did not accept it.
pub(crate) async fn deliver(
    inner: &Inner,
    seed: u64,
    message: Message,
    to: impl IntoIterator<Item = Instance>,
) -> Vec<Instance> {
    let kind = message.kind();
    let payload = match wire::codec::pack(&message) {
        Ok(payload) => payload,
        Err(error) => {
            log::error!("feed: {kind} message can't be encoded: {error}.");
            return Vec::new();
        }
    };
    let sends = to.into_iter().map(|child| {
        let payload = payload.clone();
        async move {
            let delivered = send(inner, seed, kind, payload, &child).await;
            (!delivered).then_some(child)
        }
    });
    join_all(sends).await.into_iter().flatten().collect()
}

/// Sends to one child and, if it does not answer, to that child's children. Returns whether the
/// child answered.
///
/// Without this, a daemon that has just stopped would cut off its part of the tree until heartbeats
/// find the change some seconds later. Only one level is taken over, so that an unreachable zone
/// costs its parents a bounded number of messages.
async fn send(inner: &Inner, seed: u64, kind: Kind, payload: Bytes, child: &Instance) -> bool {
    let sent = inner
        .ask_packed(child, kind, payload.clone(), CHILD_TIMEOUT)
        .await;
    let Err(error) = sent else {
        return true;
    };
    log::debug!("feed: {kind}: {error}.");
    let orphans = inner.with(|roster| {
        let mut orphans = roster.relay_children(seed, child);
        orphans.retain(|orphan| orphan != roster.me());
        orphans
    });
    let sends = orphans.into_iter().map(|orphan| {
        let payload = payload.clone();
        async move {
            inner
                .ask_packed(&orphan, kind, payload, CHILD_TIMEOUT)
                .await
                .inspect_err(|error| log::debug!("feed: {kind}: {error}."))
                .is_ok()
        }
    });
    join_all(sends).await;
    false
}
