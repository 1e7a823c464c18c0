//! What a daemon does that no news reaches.

use std::sync::Arc;
use std::time::Duration;

use roster::Ask;
use store::Consistency;
use tokio::time::{Instant, sleep};

use crate::feed::Inner;
use crate::platform::{self, Role};
use crate::{Error, pulse};

/// How often a daemon looks whether it has heard anything.
const LOOK: Duration = Duration::from_millis(500);

/// How long a daemon may hear nobody before it lists once more, if that is likely to help.
const DEAF: Duration = Duration::from_secs(1);

/// The wait doubles up to this while it doesn't help.
const DEAF_LONGEST: Duration = Duration::from_secs(16);

/// Asks neighbours and then the platform whenever nothing has come for too long.
pub(crate) async fn run(inner: Arc<Inner>) {
    tokio::join!(hear(&inner), ask(&inner));
}

async fn ask(inner: &Inner) {
    loop {
        sleep(LOOK).await;
        let now = Instant::now();
        match inner.with(|roster| roster.fallback(now)) {
            Some(Ask::Peer(peer)) => pulse::probe(inner, &peer).await,
            Some(Ask::Platform) => {
                if let Err(error) = read(inner).await {
                    log::warn!("feed: cut off from all others, and {error}.");
                }
            }
            None => (),
        }
    }
}

/// Lists once more where nobody is heard, and what is known of the others is likely to be old.
///
/// Where all daemons start at once, a listing may show the others' former lives. Their new
/// certificates are refused then, by those who dial and by those who are dialled, and no news comes
/// through until the daemon falls back on the platform, long after a change should be in force. The
/// signs are that nobody was heard since the start, and at any time that dials meet certificates
/// which aren't the announced ones. While anybody is heard nothing is read: news comes that way.
async fn hear(inner: &Inner) {
    inner.listed.cancelled().await;
    let mut wait = DEAF;
    let mut is_start = true;
    let (mut received, mut mistaken) = (0, 0);
    loop {
        sleep(wait + inner.jitter(wait)).await;
        let (heard, met) = (inner.count.received_in_all(), (inner.mistaken)());
        let knows_others = inner.with(|roster| !roster.heartbeat_receivers().is_empty());
        let is_deaf = knows_others && heard == received;
        let is_stale = is_start || met > mistaken;
        (is_start, received, mistaken) = (false, heard, met);
        if !(is_deaf && is_stale) {
            wait = DEAF;
            continue;
        }
        log::info!("feed: nobody is heard, and others may have started anew; reads once more.");
        if let Err(error) = read(inner).await {
            log::warn!("feed: not read once more: {error}.");
        }
        wait = (wait * 2).min(DEAF_LONGEST);
    }
}

async fn read(inner: &Inner) -> Result<(), Error> {
    platform::list(inner, Role::Reader, Consistency::Linearizable).await?;
    platform::rules(inner, Role::Reader, Consistency::Linearizable).await
}
