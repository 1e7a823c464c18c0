//! The end of an instance, told to the daemons directly and then to the store.

use std::time::Duration;

use roster::{Record, Roster};
use tokio::time::{Instant, sleep, timeout};

use crate::feed::Inner;
use crate::{announce, relay};

/// How long the daemons may take, and then the store.
const GOODBYE: Duration = Duration::from_secs(2);
/// The pause before a failed write is tried again.
const AGAIN: Duration = Duration::from_millis(100);

pub(crate) async fn leave(inner: &Inner) {
    let record = change(inner, |roster| roster.leave(Instant::now()));
    tell(inner, &record).await;
    if inner.standing {
        return;
    }
    let written = async {
        while let Err(error) = announce::write_due(inner).await {
            log::warn!("feed: the store is not told of the stop: {error}.");
            sleep(AGAIN).await;
        }
    };
    // The daemons know it; a store that is down must not hold up the stop.
    drop(timeout(GOODBYE, written).await);
}

/// Tells the others that this process ends. Its announcement is deleted unless it stands for the
/// next life of this instance, which is about to begin.
pub(crate) async fn depart(inner: &Inner, returns: bool) {
    let record = change(inner, |roster| roster.depart(Instant::now()));
    tell(inner, &record).await;
    if returns && inner.standing {
        return;
    }
    match timeout(GOODBYE, announce::delete(inner, &record)).await {
        Ok(Ok(())) => (),
        Ok(Err(error)) => log::warn!("feed: the own object stays: {error}."),
        Err(_) => log::warn!("feed: the own object stays: no answer in time."),
    }
}

/// Changes the own record, which is then told here and not once more by the run.
fn change(inner: &Inner, with: impl FnOnce(&mut Roster)) -> Record {
    inner.with(|roster| {
        with(roster);
        roster
            .take_announcement()
            .unwrap_or_else(|| roster.own_record().clone())
    })
}

async fn tell(inner: &Inner, record: &Record) {
    let mut others = inner.with(|roster| roster.heartbeat_receivers());
    others.extend((inner.linked)());
    let me = &record.instance;
    others.retain(|other| other != me);
    let told = relay::spread(inner, vec![record.clone()], &others);
    if timeout(GOODBYE, told).await.is_err() {
        log::warn!("feed: some daemons are not told of the stop; their zones will be.");
    }
}
