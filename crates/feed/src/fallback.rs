//! Reads from neighbours and the platform when no updates arrive.

use std::sync::Arc;
use std::time::Duration;

use roster::Ask;
use store::Consistency;
use tokio::time::{Instant, sleep};

use crate::feed::Inner;
use crate::platform::{self, Role};
use crate::{Error, evacuations, heartbeat};

/// Interval of the checks whether updates have arrived.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time without any message after which a daemon lists again, if that is likely to help.
const RELIST_AFTER: Duration = Duration::from_secs(1);

/// Maximum of that time, which doubles as long as listing does not help.
const MAX_RELIST_AFTER: Duration = Duration::from_secs(16);

/// Asks neighbours and then the platform whenever no update has arrived for too long.
pub(crate) async fn run(inner: Arc<Inner>) {
    tokio::join!(relist(&inner), fall_back(&inner));
}

async fn fall_back(inner: &Inner) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        match inner.with(|roster| roster.fallback(now)) {
            Some(Ask::Peer(peer)) => heartbeat::probe(inner, &peer).await,
            Some(Ask::Platform) => {
                if let Err(error) = read(inner).await {
                    log::warn!(
                        "feed: no updates received, and reading the platform failed: {error}."
                    );
                }
            }
            None => (),
        }
    }
}

/// Lists again if no messages arrive and the known announcements are probably outdated.
///
/// If all daemons start at once, a listing may show the others' former lives. Their new
/// certificates are then refused in both directions, and no updates arrive until the daemon falls
/// back on the platform, long after a change should be in force. The signs are that no message has
/// arrived since the start or, at any time, that dials meet certificates other than the announced
/// ones. While messages arrive nothing is read, as updates come with them.
async fn relist(inner: &Inner) {
    inner.listed.cancelled().await;
    let mut wait = RELIST_AFTER;
    let mut is_start = true;
    let (mut last_received, mut last_mistaken) = (0, 0);
    loop {
        sleep(wait + inner.jitter(wait)).await;
        let (received, mistaken) = (inner.count.total_received(), (inner.mistaken)());
        let knows_others = inner.with(|roster| !roster.heartbeat_receivers().is_empty());
        let is_isolated = knows_others && received == last_received;
        let is_stale = is_start || mistaken > last_mistaken;
        (is_start, last_received, last_mistaken) = (false, received, mistaken);
        if !(is_isolated && is_stale) {
            wait = RELIST_AFTER;
            continue;
        }
        log::info!("feed: no messages received and others may have restarted, listing again.");
        inner.needed.cancel();
        if let Err(error) = read(inner).await {
            log::warn!("feed: listing again failed: {error}.");
        }
        wait = (wait * 2).min(MAX_RELIST_AFTER);
    }
}

async fn read(inner: &Inner) -> Result<(), Error> {
    platform::list(inner, Role::Reader, Consistency::Linearizable).await?;
    platform::rules(inner, Role::Reader, Consistency::Linearizable).await?;
    if inner.evacuation_prefix.is_some() {
        evacuations::list(inner).await?;
    }
    Ok(())
}
