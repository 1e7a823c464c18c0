//! Asks other daemons for their confirmation.

use std::time::Duration;

use confirm::{Confirmation, Moment, Place};
use tokio::time::sleep;
use unit::{Instance, Version};

use super::source::Roles;
use super::{CHECK_INTERVAL, Confirming, place, with_roles};
use crate::feed::Inner;
use crate::job::Job;
use crate::message::{Answer, Message};
use crate::{Error, carrier};

/// Time between two questions at least, and between questions while there is nothing newer.
const MIN_INTERVAL: Duration = Duration::from_millis(400);
/// How long after the one above it in the tree a daemon asks. Ages are those of the same read
/// everywhere, so that all ask in the order of the tree without knowing of each other.
const LEVEL_STEP: Duration = Duration::from_millis(100);
/// Time to wait for an answer before the next source is asked.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of sources asked at once, one after another.
const MAX_ASKS: usize = 3;
/// Age above which a source that knows nothing newer is not the last that is asked: in a fleet
/// without faults ages stay below.
const OVERDUE_AGE: Duration = Duration::from_millis(1_800);
/// How long after its read has become due the first in rank asks others.
const READ_SLACK: Duration = Duration::from_millis(300);
/// Time between two rounds of questions after one that did not help.
const OVERDUE_INTERVAL: Duration = Duration::from_millis(600);

/// Asks whenever that is due. Never returns.
pub(super) async fn run(inner: &Inner, confirming: &Confirming) {
    // Daemons that start at once do not ask at once.
    sleep(inner.jitter(MIN_INTERVAL)).await;
    let mut last: Option<Moment> = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = confirming.clock.now();
        let since = last.map(|last| now.since(last));
        if is_due(inner, confirming, since) {
            last = Some(now);
            ask_sources(inner, confirming).await;
        }
    }
}

/// Whether those above in the tree should know something newer, and the last question, `since` ago,
/// was not just now.
fn is_due(inner: &Inner, confirming: &Confirming, since: Option<Duration>) -> bool {
    let place = place(inner, confirming);
    let age = confirming.age();
    let interval = match age < OVERDUE_AGE {
        true => MIN_INTERVAL,
        false => OVERDUE_INTERVAL,
    };
    if since.is_some_and(|since| since < interval) {
        return false;
    }
    let depth = with_roles(inner, confirming, Roles::depth);
    let read_age = confirming.schedule.read_age(place, false);
    if is_reader(place) {
        // It reads by itself, and asks others only if that has failed.
        return read_age.is_some_and(|read_age| age >= read_age + READ_SLACK);
    }
    age >= confirming.schedule.initial_age() + LEVEL_STEP * depth
}

/// Whether this daemon is the first in rank.
fn is_reader(place: Place) -> bool {
    matches!(place, Place::Watcher { rank: 0, .. })
}

/// Asks one source after another until one knows something newer.
async fn ask_sources(inner: &Inner, confirming: &Confirming) {
    let sources = with_roles(inner, confirming, Roles::sources);
    let now = confirming.clock.now();
    let first = confirming.state.lock().sources.first(now, sources.len());
    for asked in 0..sources.len().min(MAX_ASKS) {
        let place = (first + asked) % sources.len();
        let Some(source) = sources.get(place) else {
            return;
        };
        let sent = confirming.clock.now();
        let result = ask(inner, confirming, source, sent).await;
        let mut state = confirming.state.lock();
        state.asked += 1;
        match result {
            Ok(is_new) => {
                state.sources.answered(sent, place, is_new);
                drop(state);
                if is_new || confirming.age() < OVERDUE_AGE {
                    return;
                }
            }
            Err(error) => {
                state.asks_failed += 1;
                state.sources.failed(sent);
                log::debug!("confirm: {error}.");
            }
        }
    }
}

/// Asks one daemon at the moment `sent`. Returns whether its confirmation is newer than the own one.
async fn ask(
    inner: &Inner,
    confirming: &Confirming,
    source: &Instance,
    sent: Moment,
) -> Result<bool, Error> {
    let held = {
        let state = confirming.state.lock();
        state.holding.newest().cloned()
    };
    let versions = held.as_ref().map(|held| held.versions.clone());
    let message = Message::Confirm {
        held: versions.unwrap_or_default(),
    };
    let payload = wire::codec::pack(&message)?;
    let answer = inner.ask_packed(source, message.kind(), payload, ASK_TIMEOUT);
    let Answer::Confirmed(report) = answer.await? else {
        return Err(carrier::unexpected_answer(source));
    };
    let confirmation = report.and_then(|report| report.received(sent, held.as_ref()));
    let confirmation = confirmation.filter(|confirmation| covers(confirming, confirmation));
    let rules = confirmation.as_ref().map(Confirmation::rules);
    if rules.is_some_and(|rules| inner.current.wants(rules)) {
        // A heartbeat says which rules the source has in force, which may not be those.
        inner.enqueue(Job::Probe(source.clone()));
    }
    Ok(confirmation.is_some_and(|confirmation| confirming.offer(confirmation)))
}

/// Whether a confirmation covers the keys that are confirmed here: daemons with other settings
/// confirm others.
fn covers(confirming: &Confirming, confirmation: &Confirmation) -> bool {
    let versions: &[Version] = &confirmation.versions;
    versions.len() == confirming.keys.len()
}
