//! Sends heartbeats, and reviews and votes on instances whose heartbeats are missing.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use roster::{Beat, Vote};
use tokio::time::{Instant, sleep, sleep_until};
use unit::Instance;

use crate::feed::Inner;
use crate::job::Job;
use crate::message::{Answer, Message};
use crate::{Error, carrier, evacuations, fetch};

/// Interval between two reviews.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Time after its start for which a daemon compares rosters within its zone only, where it knows others
/// there. In a start of all each would otherwise get the records of the fleet from several zones.
const NEAR_ONLY: Duration = Duration::from_secs(5);
/// Interval at which a daemon that knows no others checks again.
const NO_PEERS_INTERVAL: Duration = Duration::from_millis(100);

/// Sends heartbeats to the observers of this instance. Never returns.
pub(crate) async fn send_loop(inner: Arc<Inner>) {
    while inner.with(|roster| roster.heartbeat_receivers().is_empty()) {
        sleep(NO_PEERS_INTERVAL).await;
    }
    loop {
        let now = Instant::now();
        let observers = inner.with(|roster| roster.heartbeat_receivers());
        for observer in observers {
            inner.enqueue(Job::Probe(observer));
        }
        let next = inner.with(|roster| roster.next_heartbeat(now));
        sleep_until(next).await;
    }
}

/// Reviews the roster each second. Never returns.
pub(crate) async fn review_loop(inner: Arc<Inner>) {
    loop {
        sleep(REVIEW_INTERVAL).await;
        let now = Instant::now();
        let review = inner.with(|roster| roster.review(now));
        for vote in review.votes {
            inner.enqueue(Job::Vote(vote));
        }
        if !review.removed.is_empty() {
            inner.enqueue(Job::Removals(review.removed));
        }
    }
}

/// Sends a vote on an instance to that instance's observers.
pub(crate) async fn vote(inner: &Inner, vote: Vote) {
    let observers = inner.with(|roster| roster.observers(&vote.about));
    let others = observers.iter().filter(|name| **name != vote.observer);
    let message = Message::Vote(vote.clone());
    let sends = others.map(|observer| inner.ask(observer, &message));
    for failed in join_all(sends).await.into_iter().filter_map(Result::err) {
        log::debug!("feed: vote not delivered: {failed}.");
    }
}

/// Sends a heartbeat to one daemon, and synchronizes with what it holds.
pub(crate) async fn probe(inner: &Inner, to: &Instance) {
    match exchange(inner, to).await {
        Ok(theirs) => handle_answer(inner, to, &theirs),
        Err(error) => log::debug!("feed: heartbeat failed: {error}."),
    }
}

async fn exchange(inner: &Inner, to: &Instance) -> Result<Beat, Error> {
    let rules = inner.current.version();
    let era = inner.store.eras().newest();
    let evacuations = inner.evacuations.digest();
    let beat = inner.with(|roster| roster.heartbeat(rules, era, evacuations));
    match inner.ask(to, &Message::Beat(beat)).await? {
        Answer::Beat(theirs) => Ok(theirs),
        _ => Err(carrier::unexpected_answer(to)),
    }
}

/// Takes over the store era that a heartbeat names.
pub(crate) fn learn_era(inner: &Inner, beat: &Beat) {
    if let Some(era) = beat.era {
        inner.store.eras().learn(era);
    }
}

/// Starts what follows from the answer to a heartbeat.
///
/// This is how a live instance that was removed by mistake learns of its removal: the digests
/// differ, and the comparison brings the record that marks it as removed.
fn handle_answer(inner: &Inner, from: &Instance, theirs: &Beat) {
    let now = Instant::now();
    let differs = inner.with(|roster| roster.heartbeat_received(now, from, theirs));
    fetch::add_holder(inner, from, theirs.rules);
    learn_era(inner, theirs);
    evacuations::check_digest(inner, from, theirs.evacuations);
    if differs
        && (inner.started.elapsed() >= NEAR_ONLY || inner.with(|roster| roster.is_near(from)))
    {
        inner.enqueue(Job::Sync(from.clone(), theirs.total));
    }
}
