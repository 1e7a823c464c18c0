//! Puts rules in force and relays them.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use tokio::time::{Instant, sleep};
use unit::{Instance, Version};

use crate::feed::Inner;
use crate::job::Job;
use crate::message::{Message, Push};
use crate::relay;
use crate::{Error, Offer, Packed};

/// Maximum length in bytes of packed text that is sent down the tree with its version.
///
/// For a longer text only the version is sent, and each daemon that lacks it fetches it once. That
/// costs a round trip per level, but daemons that are reached twice don't receive the text twice.
pub const MAX_PUSHED_BYTES: usize = 16_000;

/// How rules came to this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// From the tree or a watch; the daemons further down the tree depend on this one to relay
    /// them.
    Tree,
    /// Requested by this daemon.
    Requested,
}

/// Where rules were received from.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Source<'a> {
    Peer(&'a Instance),
    /// A watch on the store.
    Watch,
    /// A read of the store.
    Read,
    /// The read of the store that is repeated each second.
    Check,
}

/// Rules received by this daemon.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival<'a> {
    pub(crate) version: Version,
    pub(crate) origin: Origin,
    pub(crate) from: Source<'a>,
    /// How long the fetch from another daemon took.
    pub(crate) fetched: Duration,
}

/// Puts rules in force if they are newer, and relays them once.
///
/// Rules that don't parse here are not relayed: the daemons further down the tree would refuse them
/// too. Only their version is remembered, so that the next valid rules are relayed.
pub(crate) fn offer(
    inner: &Inner,
    arrival: Arrival<'_>,
    text: &str,
    packed: Option<Packed>,
) -> Result<Offer, Error> {
    let Arrival {
        version, origin, ..
    } = arrival;
    let is_first = inner.current.version() == Version::NONE;
    let began = Instant::now();
    let offer = inner.current.offer_packed(version, text, packed)?;
    if offer == Offer::Accepted {
        report(inner, &arrival, text.len(), began.elapsed());
    }
    // A newly started daemon that fetches its first rules fetches what the others already have.
    let relays = origin == Origin::Tree || (offer == Offer::Accepted && !is_first);
    if relays && inner.current.version() == version {
        relay_once(inner, version);
    }
    Ok(offer)
}

/// Offers rules received in packed form, unless newer ones are in force.
pub(crate) fn unpack(inner: &Inner, arrival: Arrival<'_>, packed: Packed) {
    let version = arrival.version;
    let held = inner.current.version();
    if version == held && arrival.origin == Origin::Tree {
        relay_once(inner, version);
    }
    if version <= held {
        return;
    }
    let text = packed.text();
    let offered = text.and_then(|text| offer(inner, arrival, &text, Some(packed)));
    if let Err(error) = offered {
        let from = arrival.from;
        log::warn!("feed: rules {version} from {from} not accepted: {error}.");
    }
}

impl Display for Source<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Source::Peer(instance) => instance.fmt(f),
            Source::Watch => f.write_str("watch"),
            Source::Read => f.write_str("read"),
            Source::Check => f.write_str("check"),
        }
    }
}

/// Logs and measures how rules came into force.
fn report(inner: &Inner, arrival: &Arrival<'_>, bytes: usize, read: Duration) {
    log::info!(
        "feed: rules {} are in force: from={} bytes={bytes} fetch_ms={} read_ms={}.",
        arrival.version,
        arrival.from,
        arrival.fetched.as_millis(),
        read.as_millis(),
    );
    inner.stats.read.observe(read.as_secs_f64());
}

/// Queues the rules in force for relaying, once per version.
pub(crate) fn relay_once(inner: &Inner, version: Version) {
    if inner.relayed.lock().mark_rules(version) {
        inner.enqueue(Job::Push(version));
    }
}

/// Pauses before a push that failed is repeated. Others take a restarted daemon for its former life
/// until its announcement has spread, and its next heartbeat is 5 s away.
const PUSH_RETRY_PAUSES: [Duration; 2] = [Duration::from_secs(1), Duration::from_millis(1_500)];

/// Derives the tree's seed from a version.
fn tree_seed(version: Version) -> u64 {
    version.era.0.rotate_left(u64::BITS / 2) ^ version.revision
}

/// Sends the rules in force to the children, and again to those that did not accept them.
pub(crate) async fn push(inner: &Inner, version: Version) {
    let Some(rules) = inner.current.get() else {
        return;
    };
    if rules.version != version {
        // Newer rules are in force by now and have their own push.
        return;
    }
    let packed = rules.packed();
    let text = packed.filter(|packed| packed.bytes().len() <= MAX_PUSHED_BYTES);
    let children = relay::children(inner, tree_seed(version));
    let message = Message::Rules(Push { version, text });
    let mut unreached = relay::deliver(inner, tree_seed(version), message.clone(), children).await;
    for pause in PUSH_RETRY_PAUSES {
        if unreached.is_empty() || inner.current.version() != version {
            return;
        }
        sleep(pause).await;
        unreached = relay::deliver(inner, tree_seed(version), message.clone(), unreached).await;
    }
}

/// Tells the watchers of all zones which rules are in force here. Those that lack them fetch them: their
/// own watches have not brought them.
pub(crate) async fn tell_roots(inner: &Inner) {
    let version = inner.current.version();
    if version == Version::NONE {
        return;
    }
    let roots = inner.with(|roster| roster.roots());
    let message = Message::Rules(Push {
        version,
        text: None,
    });
    relay::deliver(inner, tree_seed(version), message, roots).await;
}
