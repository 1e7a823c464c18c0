//! Announces the end of an instance to the other daemons and then to the store.

use std::time::Duration;

use roster::{Record, Roster};
use timer::timeout;
use tokio::time::{Instant, sleep};

use crate::feed::Inner;
use crate::{announce, relay};

/// Maximum time for notifying the daemons, and again for the write to the store.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a failed write is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

pub(crate) async fn leave(inner: &Inner) {
    let record = change(inner, |roster| roster.leave(Instant::now()));
    notify(inner, &record).await;
    if inner.standing {
        return;
    }
    let written = async {
        while let Err(error) = announce::write_due(inner).await {
            log::warn!("feed: stop not written to the store: {error}.");
            sleep(RETRY_PAUSE).await;
        }
    };
    // The daemons have been notified; an unreachable store must not delay the stop.
    drop(timeout(LEAVE_TIMEOUT, written).await);
}

/// Notifies the others that this process ends. Its announcement is deleted unless it is kept for
/// the instance's next life, which is about to begin.
pub(crate) async fn depart(inner: &Inner, returns: bool) {
    let record = change(inner, |roster| roster.depart(Instant::now()));
    notify(inner, &record).await;
    if returns && inner.standing {
        return;
    }
    match timeout(LEAVE_TIMEOUT, announce::delete(inner, &record)).await {
        Ok(Ok(())) => (),
        Ok(Err(error)) => log::warn!("feed: own object not deleted: {error}."),
        Err(_) => log::warn!("feed: own object not deleted: no answer in time."),
    }
}

/// Changes the own record and takes it, so that it is sent from here and not also by the run.
fn change(inner: &Inner, with: impl FnOnce(&mut Roster)) -> Record {
    inner.with(|roster| {
        with(roster);
        roster
            .take_announcement()
            .unwrap_or_else(|| roster.own_record().clone())
    })
}

async fn notify(inner: &Inner, record: &Record) {
    let mut others = inner.with(|roster| roster.heartbeat_receivers());
    others.extend((inner.linked_peers)());
    let me = &record.instance;
    others.retain(|other| other != me);
    let notified = relay::broadcast(inner, vec![record.clone()], &others);
    if timeout(LEAVE_TIMEOUT, notified).await.is_err() {
        log::warn!(
            "feed: some daemons not notified of the stop, relying on relays in their zones."
        );
    }
}
