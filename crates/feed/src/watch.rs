//! Reads the platform once at the start, and watches it while this daemon is a watcher of its zone.

use std::sync::Arc;
use std::time::Duration;

use store::{Backoff, Change, Consistency};
use tokio::time::{Instant, sleep};
use unit::Version;

use crate::feed::Inner;
use crate::platform::{self, Role};
use crate::rules::Source;
use crate::{Error, confirm, evacuations};

/// Interval at which a daemon checks whether it is a watcher.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of consecutive checks that must find this daemon not to be a watcher before it stops
/// watching. Rosters differ for moments, and each new watch costs a listing.
const RELEASE_CHECKS: u32 = 5;
/// Initial pause between failed reads.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Number of instances per zone that watch the announcements. Instances that start or leave notify
/// the others over links, so this watch only finds what those have missed; rules have no other
/// source.
const INSTANCE_WATCHERS: usize = 1;

/// Delay before a newly started daemon lists again. Daemons that started at the same time have
/// announced themselves by then: a call takes some milliseconds, and a simultaneous start of all
/// spreads over half a second.
const RELIST_DELAY: Duration = Duration::from_millis(1_500);

/// Interval at which a daemon that knows no other checks whether one has found it.
const FOUND_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which a daemon that has found some others learns of the rest, by relays and by comparing
/// rosters.
const JOIN_TIME: Duration = Duration::from_millis(700);

/// Further time for which it takes itself for no watcher.
const WATCHER_DELAY: Duration = Duration::from_millis(800);

/// Of the daemons that find nobody announced at their start, one in this many is announced at once, and
/// all if the next listing shows nobody either. It is enough for the others to find some, however many
/// start together, and few of a large fleet, whose announcements each daemon reads at its start.
const FIRST_ANNOUNCED: u32 = 8;

/// Number of announced daemons below which each that starts is announced too. A fleet can be joined
/// while one of them lives.
const MIN_ANNOUNCED: usize = 8;

/// Delay before a daemon lists again that has found nobody, if only some are announced: as long as a
/// read that may be old takes to show those.
const SPARSE_RELIST_DELAY: Duration = Duration::from_millis(2_100);

/// Time after its start at which a daemon knows the size of the fleet, also after a start of all.
pub const FLEET_KNOWN: Duration = Duration::from_secs(5);

/// Maximum number of further listings while no other instance is known.
const MAX_RELISTS: u32 = 3;

/// Period over which watchers spread their reads after the store was restored from an older copy.
const ROLLBACK_SPREAD: Duration = Duration::from_millis(200);

/// The part of the platform that a watch covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Instances,
    Rules,
    Evacuations,
}

/// Reads the platform once, then watches it whenever this daemon is a watcher of its zone.
pub(crate) async fn run(inner: Arc<Inner>) {
    tokio::join!(follow_platform(&inner), join_when_found(&inner));
}

async fn follow_platform(inner: &Inner) {
    start(inner).await;
    let evacuations = async {
        if inner.evacuation_prefix.is_some() {
            watch(inner, Part::Evacuations).await;
        }
    };
    tokio::join!(
        watch(inner, Part::Instances),
        watch(inner, Part::Rules),
        evacuations,
        check(inner),
        announce_in_small_fleet(inner)
    );
}

/// Announces this daemon if the fleet is small.
async fn announce_in_small_fleet(inner: &Inner) {
    sleep(FLEET_KNOWN + inner.jitter(FLEET_KNOWN)).await;
    if count_others(inner) < inner.announce_below {
        inner.needed.cancel();
    }
}

fn backoff(inner: &Inner) -> Backoff {
    let seed = inner.jitter(Duration::from_secs(1)).as_nanos() as u64;
    Backoff::new(MIN_PAUSE, inner.pace.max_backoff, seed)
}

/// Lists the announcements, retrying until that succeeds, and then reads the rules once.
///
/// A newly started daemon can only learn the other instances from the platform: it knows no
/// address, and no daemon accepts a link whose certificate isn't announced. Once it has the
/// announcements it no longer depends on the platform: neighbours supply what the platform doesn't.
///
/// A result that is some seconds old is enough here: later changes arrive over links, and watchers
/// continue from a linearizable listing.
async fn start(inner: &Inner) {
    let mut backoff = backoff(inner);
    while let Err(error) = platform::list(inner, Role::Reader, Consistency::Serializable).await {
        log::warn!("feed: {error}. No other instances are known yet.");
        sleep(backoff.pause()).await;
    }
    inner.listed.cancel();
    let others = count_others(inner);
    let is_drawn = others == 0 && inner.draws(FIRST_ANNOUNCED);
    if is_drawn || (1..MIN_ANNOUNCED).contains(&others) {
        inner.needed.cancel();
    }
    let is_found = others > 0 && inner.with(|roster| roster.is_written());
    read_rules(inner).await;
    if inner.sparse {
        if is_found {
            // A small fleet is listed in full. In a large one only the few that are announced get here, too
            // few to overload each other.
            inner.joined.cancel();
        }
        if others == 0 {
            relist(inner).await;
        }
        sleep(JOIN_TIME).await;
        inner.joined.cancel();
        sleep(WATCHER_DELAY).await;
    } else if inner.standing && !inner.with(|roster| roster.is_written()) {
        relist(inner).await;
    }
}

/// Waits until others have found this daemon, which may not reach the platform, and the rest is most
/// likely known.
async fn join_when_found(inner: &Inner) {
    while count_others(inner) == 0 && !inner.joined.is_cancelled() {
        sleep(FOUND_INTERVAL).await;
    }
    sleep(JOIN_TIME).await;
    inner.joined.cancel();
}

fn count_others(inner: &Inner) -> usize {
    inner.with(|roster| roster.peers().count())
}

async fn read_rules(inner: &Inner) {
    let rules = platform::rules(inner, Role::Reader, Consistency::Serializable).await;
    if let Err(error) = rules {
        log::warn!("feed: {error}. Rules will come from neighbours.");
    }
}

/// Lists again some time after the own announcement, until another instance is known.
///
/// If all daemons start for the first time at once, the first listing shows few or none. Each would
/// then take itself for a watcher, make another linearizable listing, and watch: with 195 daemons,
/// 390 unnecessary calls.
async fn relist(inner: &Inner) {
    let delay = match inner.sparse {
        true => SPARSE_RELIST_DELAY,
        false => RELIST_DELAY,
    };
    for _ in 0..MAX_RELISTS {
        sleep(delay + inner.jitter(RELIST_DELAY / 2)).await;
        if inner.sparse && count_others(inner) > 0 {
            // Others have found this daemon meanwhile, and bring it the rest.
            return;
        }
        let listed = platform::list(inner, Role::Reader, Consistency::Serializable).await;
        if let Err(error) = listed {
            log::warn!("feed: {error}. Some instances may not be known yet.");
        }
        if inner.current.version() == Version::NONE {
            read_rules(inner).await;
        }
        let others = count_others(inner);
        if others < MIN_ANNOUNCED {
            inner.needed.cancel();
        }
        if others > 0 {
            return;
        }
    }
}

/// Watches one part whenever this daemon is responsible for it. Never returns.
async fn watch(inner: &Inner, part: Part) {
    let mut backoff = backoff(inner);
    loop {
        sleep(CHECK_INTERVAL).await;
        while is_watcher(inner, part) {
            inner.needed.cancel();
            if let Err(error) = read_and_watch(inner, part, &mut backoff).await {
                log::warn!("feed: {error}.");
                sleep(backoff.pause()).await;
            }
        }
    }
}

/// Takes part in checking the rules whenever this daemon is a watcher. Returns at once where all daemons
/// confirm them, or none.
async fn check(inner: &Inner) {
    let confirming = inner.confirming.as_ref();
    let Some(confirming) = confirming.filter(|confirming| confirming.is_for_watchers()) else {
        return;
    };
    loop {
        sleep(CHECK_INTERVAL).await;
        if is_watcher(inner, Part::Rules) {
            tokio::select! {
                () = confirm::run_for_watcher(inner, confirming) => {}
                () = no_longer_watcher(inner, Part::Rules) => {}
            }
        }
    }
}

fn is_watcher(inner: &Inner, part: Part) -> bool {
    inner.with(|roster| match part {
        Part::Rules | Part::Evacuations => roster.is_watcher(),
        Part::Instances => {
            let watchers = roster.watchers(roster.zone(), INSTANCE_WATCHERS);
            watchers.contains(roster.me())
        }
    })
}

/// Reads one part, then watches it until this daemon is no longer a watcher, the watch fails or has
/// missed a change, or the store's era changes.
async fn read_and_watch(inner: &Inner, part: Part, backoff: &mut Backoff) -> Result<(), Error> {
    let since = match part {
        Part::Instances => platform::list(inner, Role::Watcher, Consistency::Linearizable).await?,
        Part::Rules => platform::rules_at(inner).await?,
        Part::Evacuations => evacuations::list(inner).await?,
    };
    log::info!("feed: watches {part:?} on the platform from {since}.");
    if part == Part::Rules {
        // Rules in force may be newer than those of a store that came back from an older copy.
        inner.rules_watch.brought(inner.current.version());
    }
    let era = inner.store.eras().newest();
    tokio::select! {
        _ = inner.store.eras().after(era) => {
            sleep(inner.jitter(ROLLBACK_SPREAD)).await;
            Ok(())
        }
        result = follow(inner, part, since, backoff) => result,
        () = inner.rules_watch.detect_miss(&inner.current), if part == Part::Rules => Ok(()),
        () = inner.rules_watch.miss_detected(), if part != Part::Rules => Ok(()),
        () = evacuations::may_end_later(inner), if part == Part::Evacuations => Ok(()),
        () = no_longer_watcher(inner, part) => {
            log::info!("feed: stops watching {part:?}, other daemons watch it now.");
            Ok(())
        }
    }
}

/// Resolves once this daemon is no longer a watcher.
async fn no_longer_watcher(inner: &Inner, part: Part) {
    let mut checks = 0;
    while checks < RELEASE_CHECKS {
        sleep(CHECK_INTERVAL).await;
        checks = if is_watcher(inner, part) {
            0
        } else {
            checks + 1
        };
    }
}

/// Watches from revision `since` until a watch fails.
///
/// The caller then reads everything again: the platform may have compacted the revision, an
/// unresponsive watch may become so again, and changes lost during an outage only show in a
/// listing.
///
/// After an answer with changes it pauses, so that further changes in quick succession are read
/// together: each answer of a watch costs a call. It also pauses after an empty answer that came
/// early.
///
/// The backoff is reset once a watch has answered. Otherwise it would keep the length it reached in
/// an outage, and every later failure would delay updates by the longest pause.
async fn follow(
    inner: &Inner,
    part: Part,
    mut since: Version,
    backoff: &mut Backoff,
) -> Result<(), Error> {
    let pace = &inner.pace;
    let (key, wait, pause) = match part {
        Part::Instances => (
            inner.prefix.as_str(),
            pace.instances_wait,
            pace.instances_pause,
        ),
        Part::Rules => (inner.rules_key.as_str(), pace.rules_wait, pace.rules_pause),
        Part::Evacuations => (
            inner.evacuation_prefix.as_deref().unwrap_or_default(),
            pace.rules_wait,
            pace.rules_pause,
        ),
    };
    loop {
        let started = Instant::now();
        let waiting = (part == Part::Rules).then(|| inner.rules_watch.begin());
        let change = platform::within_budget(|| inner.store.watch(key, since, wait)).await?;
        drop(waiting);
        backoff.reset();
        since = change.revision;
        apply(inner, part, &change);
        let is_empty = change.changed.is_empty() && change.deleted.is_empty();
        if !is_empty || started.elapsed() < pause {
            sleep(pause).await;
        }
    }
}

fn apply(inner: &Inner, part: Part, change: &Change) {
    match part {
        Part::Instances => platform::apply_instances(inner, change),
        Part::Evacuations => evacuations::apply(inner, change),
        Part::Rules => {
            let objects = change.changed.iter();
            for object in objects.filter(|object| object.key == inner.rules_key) {
                inner.rules_watch.brought(object.version);
                platform::offer(inner, object, Role::Watcher, Source::Watch);
            }
        }
    }
}
