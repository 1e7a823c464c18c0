//! Asks other daemons for their confirmation.

use std::time::Duration;

use confirm::{Confirmation, Moment, Place};
use tokio::time::sleep;
use unit::{Instance, Version};

use super::source::sources;
use super::{CHECK_INTERVAL, Confirming, place};
use crate::feed::Inner;
use crate::message::{Answer, Message};
use crate::{Error, carrier};

/// Interval at which a daemon asks.
const INTERVAL: Duration = Duration::from_millis(600);
/// The same for a watcher or a daemon that has to be informed sooner.
const SHORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time to wait for an answer before the next source is asked.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of sources asked in one interval.
const MAX_ASKS: usize = 3;
/// Age above which a source that knows nothing newer is not the last that is asked: in a fleet
/// without faults ages stay below.
const OVERDUE_AGE: Duration = Duration::from_millis(1_800);
/// How long before its own read a watcher asks once more, so that it does not read what the one
/// before it in rank has just read.
const LAST_ASK: Duration = Duration::from_millis(200);

/// Asks whenever that is due. Never returns.
pub(super) async fn run(inner: &Inner, confirming: &Confirming) {
    // Daemons that start at once do not ask at once.
    sleep(inner.jitter(SHORT_INTERVAL)).await;
    let mut last: Option<Moment> = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = confirming.clock.now();
        let since = last.map(|last| now.since(last));
        if since.is_none_or(|since| is_due(inner, confirming, since)) {
            last = Some(now);
            ask_sources(inner, confirming).await;
        }
    }
}

fn is_due(inner: &Inner, confirming: &Confirming, since: Duration) -> bool {
    let place = place(inner, confirming);
    let is_watcher = matches!(place, Place::Watcher { .. });
    let interval = match is_watcher || *confirming.hastened.borrow() {
        true => SHORT_INTERVAL,
        false => INTERVAL,
    };
    let age = confirming.age();
    if is_reader(place) && confirming.schedule.read_age(place, false) > Some(age) {
        // It reads by itself before its confirmation gets old.
        return false;
    }
    let read_age = confirming.schedule.read_age(place, false);
    let reads_soon = read_age.is_some_and(|read_age| age + LAST_ASK >= read_age);
    since >= interval || (is_watcher && reads_soon && since >= LAST_ASK)
}

/// Whether this daemon is the first in rank.
fn is_reader(place: Place) -> bool {
    matches!(place, Place::Watcher { rank: 0, .. })
}

/// Asks one source after another until one knows something newer.
async fn ask_sources(inner: &Inner, confirming: &Confirming) {
    let sources = inner.with(|roster| sources(roster));
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
    Ok(confirmation.is_some_and(|confirmation| confirming.offer(confirmation)))
}

/// Whether a confirmation covers the keys that are confirmed here: daemons with other settings
/// confirm others.
fn covers(confirming: &Confirming, confirmation: &Confirmation) -> bool {
    let versions: &[Version] = &confirmation.versions;
    versions.len() == confirming.keys.len()
}
