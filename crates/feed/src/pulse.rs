//! Beats, and the reviews and votes that follow from their absence.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use roster::{Beat, Vote};
use tokio::time::{Instant, sleep, sleep_until};
use unit::Instance;

use crate::feed::Inner;
use crate::job::Job;
use crate::message::{Answer, Message};
use crate::{Error, carry, fetch};

/// The time between two reviews.
const REVIEW: Duration = Duration::from_secs(1);
/// How often a daemon that knows nobody looks whether it does.
const ALONE: Duration = Duration::from_millis(100);

/// Beats to the observers of this instance, for ever.
pub(crate) async fn beats(inner: Arc<Inner>) {
    while inner.with(|roster| roster.heartbeat_receivers().is_empty()) {
        sleep(ALONE).await;
    }
    loop {
        let now = Instant::now();
        let observers = inner.with(|roster| roster.heartbeat_receivers());
        for observer in observers {
            inner.later(Job::Probe(observer));
        }
        let next = inner.with(|roster| roster.next_heartbeat(now));
        sleep_until(next).await;
    }
}

/// Reviews the roster each second, for ever.
pub(crate) async fn reviews(inner: Arc<Inner>) {
    loop {
        sleep(REVIEW).await;
        let now = Instant::now();
        let review = inner.with(|roster| roster.review(now));
        for vote in review.votes {
            inner.later(Job::Vote(vote));
        }
        if !review.removed.is_empty() {
            inner.later(Job::Removed(review.removed));
        }
    }
}

/// Tells the observers of an instance a vote on it.
pub(crate) async fn vote(inner: &Inner, vote: Vote) {
    let observers = inner.with(|roster| roster.observers(&vote.about));
    let others = observers.iter().filter(|name| **name != vote.observer);
    let message = Message::Vote(vote.clone());
    let sends = others.map(|observer| inner.ask(observer, &message));
    for failed in join_all(sends).await.into_iter().filter_map(Result::err) {
        log::debug!("feed: vote: {failed}.");
    }
}

/// Beats to one daemon, and catches up with what it holds.
pub(crate) async fn probe(inner: &Inner, to: &Instance) {
    match beat(inner, to).await {
        Ok(theirs) => heed(inner, to, &theirs),
        Err(error) => log::debug!("feed: beat: {error}."),
    }
}

async fn beat(inner: &Inner, to: &Instance) -> Result<Beat, Error> {
    let rules = inner.current.version();
    let era = inner.store.eras().newest();
    let beat = inner.with(|roster| roster.heartbeat(rules, era));
    match inner.ask(to, &Message::Beat(beat)).await? {
        Answer::Beat(theirs) => Ok(theirs),
        _ => Err(carry::improper(to)),
    }
}

/// Takes in the era of the store that a beat names.
pub(crate) fn learn(inner: &Inner, beat: &Beat) {
    if let Some(era) = beat.era {
        inner.store.eras().learn(era);
    }
}

/// Follows up what the answer to a beat says.
///
/// A live instance that was removed by mistake learns of it here: the digests differ, and the
/// comparison brings the record that says so.
fn heed(inner: &Inner, from: &Instance, theirs: &Beat) {
    let now = Instant::now();
    let differs = inner.with(|roster| roster.heartbeat_received(now, from, theirs));
    fetch::heard(inner, from, theirs.rules);
    learn(inner, theirs);
    if differs {
        inner.later(Job::Sync(from.clone(), theirs.total));
    }
}
