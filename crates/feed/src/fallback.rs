//! What a daemon does that no news reaches.

use std::sync::Arc;
use std::time::Duration;

use roster::Ask;
use tokio::time::{Instant, sleep};

use crate::feed::Inner;
use crate::platform::{self, Role};
use crate::{Error, pulse};

/// How often a daemon looks whether it has heard anything.
const LOOK: Duration = Duration::from_millis(500);

/// How long after its first listing a daemon may hear nobody before it lists once more.
const DEAF: Duration = Duration::from_secs(1);

/// Asks neighbours and then the platform whenever nothing has come for too long.
pub(crate) async fn run(inner: Arc<Inner>) {
    hear(&inner).await;
    loop {
        sleep(LOOK).await;
        let now = Instant::now();
        match inner.with(|roster| roster.fallback(now)) {
            Some(Ask::Peer(peer)) => pulse::probe(&inner, &peer).await,
            Some(Ask::Platform) => {
                if let Err(error) = read(&inner).await {
                    log::warn!("feed: cut off from all others, and {error}.");
                }
            }
            None => (),
        }
    }
}

/// Lists once more if nobody was heard since the start.
///
/// Where all daemons start at once, the first listing may show the others' former lives. Their new
/// certificates are refused then, by those who dial and by those who are dialled, and no news comes
/// through until the daemon falls back on the platform, long after a change should be in force.
async fn hear(inner: &Inner) {
    inner.listed.cancelled().await;
    sleep(DEAF + inner.jitter(DEAF)).await;
    let knows_others = inner.with(|roster| !roster.beats().is_empty());
    if knows_others && !inner.count.has_received() {
        log::info!("feed: nobody was heard since the start; reads once more.");
        if let Err(error) = read(inner).await {
            log::warn!("feed: not read once more: {error}.");
        }
    }
}

async fn read(inner: &Inner) -> Result<(), Error> {
    platform::list(inner, Role::Reader).await?;
    platform::rules(inner, Role::Reader).await
}
