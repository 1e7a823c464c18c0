//! The watcher's role, and the one reading with which every daemon begins.

use std::sync::Arc;
use std::time::Duration;

use store::Backoff;
use tokio::time::sleep;
use unit::Version;

use crate::Error;
use crate::feed::Inner;
use crate::platform::{self, Role};

/// How often a daemon looks whether it is a watcher.
const LOOK: Duration = Duration::from_secs(1);
/// How many looks in a row must find that it is none before it stops to watch. Rosters differ
/// for moments, and each start to watch costs a listing.
const LOOKS: u32 = 5;
/// The pauses between failed readings.
const PAUSE: Duration = Duration::from_millis(50);

/// Reads the platform once, then watches it whenever this daemon is a watcher of its zone.
pub(crate) async fn run(inner: Arc<Inner>) {
    let mut backoff = backoff(&inner);
    let mut since = begin(&inner, &mut backoff).await;
    loop {
        sleep(LOOK).await;
        let mut begun = since.take();
        while inner.with(|roster| roster.is_watcher()) {
            let Err(error) = serve(&inner, begun.take(), &mut backoff).await else {
                break;
            };
            log::warn!("feed: {error}.");
            sleep(backoff.pause()).await;
        }
    }
}

fn backoff(inner: &Inner) -> Backoff {
    let seed = inner.jitter(Duration::from_secs(1)).as_nanos() as u64;
    Backoff::new(PAUSE, inner.pace.pause, seed)
}

/// Reads the announcements, until it has them, and the rules. Answers the revision at which a
/// watch may begin, if both were read.
///
/// Nobody else can tell a newcomer who is there: it knows no address, and no daemon accepts a
/// link whose certificate isn't announced. Once it has the announcements it needs the platform no
/// more: what the platform fails to tell, its neighbours do.
async fn begin(inner: &Inner, backoff: &mut Backoff) -> Option<Version> {
    loop {
        match platform::list(inner, Role::Reader).await {
            Ok(revision) => {
                inner.listed.cancel();
                let rules = platform::rules(inner, Role::Reader).await;
                backoff.reset();
                return rules
                    .inspect_err(|error| log::warn!("feed: {error}. The neighbours are asked."))
                    .ok()
                    .map(|()| revision);
            }
            Err(error) => {
                log::warn!("feed: {error}. Nobody is known yet.");
                sleep(backoff.pause()).await;
            }
        }
    }
}

/// Watches until this daemon is no watcher, or a watch fails.
///
/// After a failure all is read again. A watch that the platform has forgotten leaves no other way,
/// and a platform that answers reads but no watches is then read every few seconds.
async fn serve(inner: &Inner, begun: Option<Version>, backoff: &mut Backoff) -> Result<(), Error> {
    let since = match begun {
        Some(since) => since,
        None => read(inner).await?,
    };
    backoff.reset();
    log::debug!("feed: watches the platform from {since}.");
    tokio::select! {
        result = instances(inner, since) => result,
        result = rules(inner, since) => result,
        () = relieved(inner) => {
            log::info!("feed: others watch the platform.");
            Ok(())
        }
    }
}

/// Reads all for the zone. The watch on the rules begins at the revision of the listing, since
/// that of the rules may be older than what the platform remembers.
async fn read(inner: &Inner) -> Result<Version, Error> {
    let since = platform::list(inner, Role::Watcher).await?;
    platform::rules(inner, Role::Watcher).await?;
    Ok(since)
}

/// Resolves when this daemon is no watcher any more.
async fn relieved(inner: &Inner) {
    let mut looks = 0;
    while looks < LOOKS {
        sleep(LOOK).await;
        let watcher = inner.with(|roster| roster.is_watcher());
        looks = if watcher { 0 } else { looks + 1 };
    }
}

async fn instances(inner: &Inner, mut since: Version) -> Result<(), Error> {
    loop {
        let change = inner
            .store
            .watch(&inner.prefix, since, inner.pace.instances);
        let change = change.await?;
        since = change.revision;
        platform::instances(inner, &change);
    }
}

async fn rules(inner: &Inner, mut since: Version) -> Result<(), Error> {
    loop {
        let change = inner.store.watch(&inner.rules_key, since, inner.pace.rules);
        let change = change.await?;
        since = change.revision;
        let objects = change.changed.iter();
        for object in objects.filter(|object| object.key == inner.rules_key) {
            platform::offer(inner, object, Role::Watcher);
        }
    }
}
