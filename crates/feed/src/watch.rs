//! What a daemon reads of the platform: once when it starts, and further as a watcher of its zone.

use std::sync::Arc;
use std::time::Duration;

use store::{Backoff, Change, Consistency};
use tokio::time::{Instant, sleep};
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

/// How many instances of a zone watch the announcements. Whoever starts or leaves tells the others by
/// links, so this watch only finds what they have missed; rules come by no other way.
const INSTANCE_WATCHERS: usize = 1;

/// How long a newcomer waits before it lists again. Those that have started with it have announced
/// themselves by then: a call takes some milliseconds, and a start of all spreads over half a second.
const SETTLE: Duration = Duration::from_millis(1_500);

/// How often a newcomer that still knows nobody lists again.
const SETTLES: u32 = 3;

/// Over what time watchers read again when the store has come back from an older copy.
const ROLLBACK_SPREAD: Duration = Duration::from_millis(200);

/// What a watcher watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Instances,
    Rules,
}

/// Reads the platform once, then watches it whenever this daemon is a watcher of its zone.
pub(crate) async fn run(inner: Arc<Inner>) {
    begin(&inner).await;
    tokio::join!(watch(&inner, Part::Instances), watch(&inner, Part::Rules));
}

fn backoff(inner: &Inner) -> Backoff {
    let seed = inner.jitter(Duration::from_secs(1)).as_nanos() as u64;
    Backoff::new(PAUSE, inner.pace.pause, seed)
}

/// Reads the announcements, until it has them, and the rules.
///
/// Nobody else can tell a newcomer who is there: it knows no address, and no daemon accepts a
/// link whose certificate isn't announced. Once it has the announcements it needs the platform no
/// more: what the platform fails to tell, its neighbours do.
///
/// What is some seconds old is enough here: links tell what is new in it, and watchers read on from a
/// listing that isn't old.
async fn begin(inner: &Inner) {
    let mut backoff = backoff(inner);
    while let Err(error) = platform::list(inner, Role::Reader, Consistency::Serializable).await {
        log::warn!("feed: {error}. Nobody is known yet.");
        sleep(backoff.pause()).await;
    }
    inner.listed.cancel();
    first_rules(inner).await;
    if inner.standing && !inner.with(|roster| roster.is_written()) {
        settle(inner).await;
    }
}

async fn first_rules(inner: &Inner) {
    let rules = platform::rules(inner, Role::Reader, Consistency::Serializable).await;
    if let Err(error) = rules {
        log::warn!("feed: {error}. The neighbours are asked.");
    }
}

/// Lists again some time after the own announcement, until somebody is known.
///
/// Where all start for the first time at once, the first listing shows nobody or few. Each that took
/// itself for a watcher then would list once more at the full price, and watch: with 195 daemons, 390
/// calls that nobody needs.
async fn settle(inner: &Inner) {
    for _ in 0..SETTLES {
        sleep(SETTLE + inner.jitter(SETTLE / 2)).await;
        let listed = platform::list(inner, Role::Reader, Consistency::Serializable).await;
        if let Err(error) = listed {
            log::warn!("feed: {error}. The others are not all known yet.");
        }
        if inner.current.version() == Version::NONE {
            first_rules(inner).await;
        }
        if inner.with(|roster| roster.peers().next().is_some()) {
            return;
        }
    }
}

/// Watches one part whenever it falls to this daemon, for ever.
async fn watch(inner: &Inner, part: Part) {
    let mut backoff = backoff(inner);
    loop {
        sleep(LOOK).await;
        while is_watcher(inner, part) {
            if let Err(error) = serve(inner, part, &mut backoff).await {
                log::warn!("feed: {error}.");
                sleep(backoff.pause()).await;
            }
        }
    }
}

fn is_watcher(inner: &Inner, part: Part) -> bool {
    inner.with(|roster| match part {
        Part::Rules => roster.is_watcher(),
        Part::Instances => {
            let watchers = roster.watchers(roster.zone(), INSTANCE_WATCHERS);
            watchers.contains(roster.me())
        }
    })
}

/// Reads one part, then watches it until this daemon is no watcher, or the watch can't go on.
async fn serve(inner: &Inner, part: Part, backoff: &mut Backoff) -> Result<(), Error> {
    let since = match part {
        Part::Instances => platform::list(inner, Role::Watcher, Consistency::Linearizable).await?,
        Part::Rules => platform::rules_at(inner).await?,
    };
    log::info!("feed: watches {part:?} on the platform from {since}.");
    let era = inner.store.eras().newest();
    tokio::select! {
        _ = inner.store.eras().after(era) => {
            sleep(inner.jitter(ROLLBACK_SPREAD)).await;
            Ok(())
        }
        result = follow(inner, part, since, backoff) => result,
        () = relieved(inner, part) => {
            log::info!("feed: others watch {part:?} on the platform.");
            Ok(())
        }
    }
}

/// Resolves when this daemon is no watcher any more.
async fn relieved(inner: &Inner, part: Part) {
    let mut looks = 0;
    while looks < LOOKS {
        sleep(LOOK).await;
        looks = if is_watcher(inner, part) {
            0
        } else {
            looks + 1
        };
    }
}

/// Watches from `since` on, until a watch fails.
///
/// All is read again then. A watch that the platform has forgotten leaves no other way, one that went
/// silent may do so again, and what was lost during an outage shows only in a listing.
///
/// Behind an answer that tells something it waits for what comes in a row with it, to read that in one
/// go: a watch costs a call each time that it answers. So it does behind one that comes early and empty.
///
/// The pauses behind failures begin anew once a watch has answered: left as they had grown in one outage,
/// each failure for the rest of the process's life would keep news away for the longest of them.
async fn follow(
    inner: &Inner,
    part: Part,
    mut since: Version,
    backoff: &mut Backoff,
) -> Result<(), Error> {
    let (key, wait, gather) = match part {
        Part::Instances => (&inner.prefix, inner.pace.instances, inner.pace.gather),
        Part::Rules => (&inner.rules_key, inner.pace.rules, inner.pace.gather_rules),
    };
    loop {
        let begun = Instant::now();
        let change = platform::within_budget(|| inner.store.watch(key, since, wait)).await?;
        backoff.reset();
        since = change.revision;
        take(inner, part, &change);
        let is_empty = change.changed.is_empty() && change.deleted.is_empty();
        if !is_empty || begun.elapsed() < gather {
            sleep(gather).await;
        }
    }
}

fn take(inner: &Inner, part: Part, change: &Change) {
    match part {
        Part::Instances => platform::instances(inner, change),
        Part::Rules => {
            let objects = change.changed.iter();
            for object in objects.filter(|object| object.key == inner.rules_key) {
                platform::offer(inner, object, Role::Watcher);
            }
        }
    }
}
