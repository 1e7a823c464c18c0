//! News on its way down the trees of the zones.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use roster::Record;
use unit::{Digest, Instance, Version};

use crate::feed::Inner;
use crate::job::Job;
use crate::message::{Kind, LOT, Message, News};

/// How long a child in the tree may take to answer before its own children are told in its place.
///
/// It covers a new link between regions, and leaves time for the rest within the five seconds in
/// which rules have to be in force.
const CHILD_WAIT: Duration = Duration::from_millis(500);
/// How many lots of news are remembered as passed on.
const REMEMBERED: usize = 1_024;
/// Most news of one listing that goes down the trees. More are found by comparing digests, which
/// costs each daemon one exchange instead of a message from each watcher.
const MOST_NEWS: usize = 64;

/// What this daemon has passed on.
///
/// Passing on depends on having passed on before, not on the news being new here: a daemon that
/// was told directly, or by a beat, still has children that wait for it in the tree.
#[derive(Debug, Default)]
pub(crate) struct Passed {
    seeds: BTreeSet<u64>,
    order: VecDeque<u64>,
    rules: Version,
}

impl Passed {
    /// Notes a lot of news; false if it was noted before.
    pub(crate) fn news(&mut self, seed: u64) -> bool {
        if !self.seeds.insert(seed) {
            return false;
        }
        self.order.push_back(seed);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.seeds.remove(&oldest);
        }
        true
    }

    /// Notes a version of the rules; false if it or a later one was noted before.
    pub(crate) fn rules(&mut self, version: Version) -> bool {
        let newer = version > self.rules;
        self.rules = version.max(self.rules);
        newer
    }
}

/// The seed of records: the same for the same records, wherever they were found.
///
/// So the three watchers of a zone, who read the same change, send down one tree and not three.
fn seed(records: &[Record]) -> u64 {
    let packed = records.iter().filter_map(|r| wire::codec::pack(r).ok());
    let digests = packed.map(|bytes| Digest::of(&bytes).0 as u64);
    digests.fold(0, u64::wrapping_add)
}

/// Passes news that came down the tree on to the children.
pub(crate) async fn pass(inner: &Inner, news: News) {
    let children = children(inner, news.seed);
    let seed = news.seed;
    deliver(inner, seed, Message::Records(news), children).await;
}

/// Tells the own zone of what this daemon, as a watcher, has read on the platform.
pub(crate) fn publish(inner: &Inner, records: Vec<Record>) {
    if records.is_empty() {
        return;
    }
    if records.len() > MOST_NEWS {
        log::info!("feed: {} records are left to beats.", records.len());
        return;
    }
    let seed = seed(&records);
    if inner.passed.lock().news(seed) {
        inner.later(Job::Pass(News { seed, records }));
    }
}

/// Tells all zones, and `others` directly, of records that arose here.
pub(crate) async fn spread(inner: &Inner, records: Vec<Record>, others: &[Instance]) {
    for lot in records.chunks(LOT) {
        let seed = seed(lot);
        inner.passed.lock().news(seed);
        let mut to: BTreeSet<Instance> = children(inner, seed).into_iter().collect();
        to.extend(inner.with(|roster| roster.roots()));
        to.extend(others.iter().cloned());
        let records = lot.to_vec();
        deliver(inner, seed, Message::Records(News { seed, records }), to).await;
    }
}

/// Tells all zones of removals, and each removed instance, which refutes it if it lives.
pub(crate) async fn removed(inner: &Inner, records: Vec<Record>) {
    let names: Vec<Instance> = records.iter().map(|r| r.instance.clone()).collect();
    spread(inner, records, &names).await;
}

/// Whom this daemon passes on to: its children in the tree and, if it is one of the roots, the
/// other roots. Each of these may have lost its watch, or have stopped.
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

/// Sends one message to each of `to`, all at once; names those that did not take it.
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
            log::error!("feed: {kind} can't be packed: {error}.");
            return Vec::new();
        }
    };
    let sends = to.into_iter().map(|child| {
        let payload = payload.clone();
        async move {
            let reached = reach(inner, seed, kind, payload, &child).await;
            (!reached).then_some(child)
        }
    });
    join_all(sends).await.into_iter().flatten().collect()
}

/// Sends to one child, and to the children of one that doesn't answer; whether the child did.
///
/// A daemon that has just stopped would cut its part of the tree off until beats find the change,
/// some seconds later. Its children are taken over once and no deeper, so that a zone that is
/// gone costs its parents a bounded number of messages.
async fn reach(inner: &Inner, seed: u64, kind: Kind, payload: Bytes, child: &Instance) -> bool {
    let sent = inner
        .ask_packed(child, kind, payload.clone(), CHILD_WAIT)
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
                .ask_packed(&orphan, kind, payload, CHILD_WAIT)
                .await
                .inspect_err(|error| log::debug!("feed: {kind}: {error}."))
                .is_ok()
        }
    });
    join_all(sends).await;
    false
}
