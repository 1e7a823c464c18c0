//! Rules: offered, passed on, fetched.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use unit::{Instance, Version};

use crate::feed::Inner;
use crate::job::Job;
use crate::message::{Message, Push};
use crate::relay;
use crate::{Error, Offer, Packed};

/// The longest packed text that goes down the tree at once, in bytes.
///
/// A longer one is announced by its version and fetched once by each daemon that lacks it. That
/// costs a round trip a level, and saves those that are reached twice the text.
pub const SHORT: usize = 16_000;

/// Where rules have come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// From the tree or a watch: those below wait for it.
    Tree,
    /// Asked for by this daemon.
    Asked,
}

/// Rules as they have come to this daemon.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival<'a> {
    pub(crate) version: Version,
    pub(crate) origin: Origin,
    /// Who has sent them; `None` if they were read from the store.
    pub(crate) from: Option<&'a Instance>,
    /// How long they were fetched for.
    pub(crate) fetched: Duration,
}

/// Puts rules in force if they are newer, and has them passed on once.
///
/// Rules that don't parse here go no further: those below would refuse them too. They leave no
/// trace but their version, so that the next good ones pass.
pub(crate) fn offer(
    inner: &Inner,
    arrival: Arrival<'_>,
    text: &str,
    packed: Option<Packed>,
) -> Result<Offer, Error> {
    let Arrival {
        version, origin, ..
    } = arrival;
    let first = inner.current.version() == Version::NONE;
    let began = Instant::now();
    let offer = inner.current.offer_packed(version, text, packed)?;
    if offer == Offer::Taken {
        report(inner, &arrival, text.len(), began.elapsed());
    }
    // A newcomer that fetches its first rules fetches what the others have.
    let news = origin == Origin::Tree || (offer == Offer::Taken && !first);
    if news && inner.current.version() == version {
        pass_on(inner, version);
    }
    Ok(offer)
}

/// Offers rules that have come packed, unless newer ones are in force.
pub(crate) fn unpack(inner: &Inner, arrival: Arrival<'_>, packed: Packed) {
    let version = arrival.version;
    let held = inner.current.version();
    if version == held && arrival.origin == Origin::Tree {
        pass_on(inner, version);
    }
    if version <= held {
        return;
    }
    let text = packed.text();
    let offered = text.and_then(|text| offer(inner, arrival, &text, Some(packed)));
    if let Err(error) = offered {
        let from = arrival.sender();
        log::warn!("feed: rules {version} of {from} are not taken: {error}.");
    }
}

impl Arrival<'_> {
    fn sender(&self) -> &str {
        self.from.map_or("store", Instance::as_str)
    }
}

/// Logs and measures how rules came into force.
fn report(inner: &Inner, arrival: &Arrival<'_>, bytes: usize, read: Duration) {
    log::info!(
        "feed: rules {} are in force: from={} bytes={bytes} fetch_ms={} read_ms={}.",
        arrival.version,
        arrival.sender(),
        arrival.fetched.as_millis(),
        read.as_millis(),
    );
    inner.stats.read.observe(read.as_secs_f64());
}

/// Has the rules in force passed on, once.
pub(crate) fn pass_on(inner: &Inner, version: Version) {
    if inner.passed.lock().rules(version) {
        inner.later(Job::Push(version));
    }
}

/// Pauses behind a push that did not come through: a daemon that has just started again is taken
/// for its former life until its announcement has come round, and its next beat is 5 s away.
const PUSH_AGAIN: [Duration; 2] = [Duration::from_secs(1), Duration::from_millis(1_500)];

/// Orders the tree for a version.
fn seed(version: Version) -> u64 {
    version.era.0.rotate_left(u64::BITS / 2) ^ version.revision
}

/// Passes the rules in force on to the children, to those that don't take them again.
pub(crate) async fn push(inner: &Inner, version: Version) {
    let Some(rules) = inner.current.get() else {
        return;
    };
    if rules.version != version {
        // Newer ones have come meanwhile, and have a push of their own.
        return;
    }
    let packed = rules.packed();
    let text = packed.filter(|packed| packed.bytes().len() <= SHORT);
    let children = relay::children(inner, seed(version));
    let message = Message::Rules(Push { version, text });
    let mut missing = relay::deliver(inner, seed(version), message.clone(), children).await;
    for pause in PUSH_AGAIN {
        if missing.is_empty() || inner.current.version() != version {
            return;
        }
        sleep(pause).await;
        missing = relay::deliver(inner, seed(version), message.clone(), missing).await;
    }
}
