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

/// Asks neighbours and then the platform whenever nothing has come for too long.
pub(crate) async fn run(inner: Arc<Inner>) {
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

async fn read(inner: &Inner) -> Result<(), Error> {
    platform::list(inner, Role::Reader).await?;
    platform::rules(inner, Role::Reader).await
}
