//! Rules: offered, passed on, fetched.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use unit::{Instance, Version};

use crate::feed::Inner;
use crate::job::Job;
use crate::message::{Answer, Message, Push, Text};
use crate::relay;
use crate::{Error, Offer, carry};

/// The longest text that goes down the tree at once.
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
    pub(crate) text: &'a str,
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
pub(crate) fn offer(inner: &Inner, arrival: Arrival<'_>) -> Result<Offer, Error> {
    let Arrival {
        version,
        text,
        origin,
        ..
    } = arrival;
    let first = inner.current.version() == Version(0);
    let began = Instant::now();
    let offer = inner.current.offer(version, text)?;
    if offer == Offer::Taken {
        report(inner, &arrival, began.elapsed());
    }
    // A newcomer that fetches its first rules fetches what the others have.
    let news = origin == Origin::Tree || (offer == Offer::Taken && !first);
    if news && inner.current.version() == version {
        pass_on(inner, version);
    }
    Ok(offer)
}

/// Logs and measures how rules came into force.
fn report(inner: &Inner, arrival: &Arrival<'_>, read: Duration) {
    let from = arrival.from.map_or("store", Instance::as_str);
    log::info!(
        "feed: rules {} are in force: from={from} bytes={} fetch_ms={} read_ms={}.",
        arrival.version,
        arrival.text.len(),
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

/// Passes the rules in force on to the children, to those that don't take them again.
pub(crate) async fn push(inner: &Inner, version: Version) {
    let Some(rules) = inner.current.get() else {
        return;
    };
    if rules.version != version {
        // Newer ones have come meanwhile, and have a push of their own.
        return;
    }
    let short = rules.text.len() <= SHORT;
    let text = short.then(|| rules.text.to_string());
    let children = relay::children(inner, version.0);
    let message = Message::Rules(Push { version, text });
    let mut missing = relay::deliver(inner, version.0, message.clone(), children).await;
    for pause in PUSH_AGAIN {
        if missing.is_empty() || inner.current.version() != version {
            return;
        }
        sleep(pause).await;
        missing = relay::deliver(inner, version.0, message.clone(), missing).await;
    }
}

/// Fetches the rules of `from`, which has said that it holds `version`.
pub(crate) async fn pull(inner: &Inner, from: &Instance, version: Version) {
    let wanted = inner.current.wants(version) && inner.pulling.lock().insert(version);
    if !wanted {
        return;
    }
    let pulling = Pulling(inner, version);
    let began = Instant::now();
    let pulled = fetch(inner, from).await;
    let fetched = began.elapsed();
    drop(pulling);
    match pulled {
        Ok(Some(Text { version, text })) => {
            inner.stats.fetched.observe(fetched.as_secs_f64());
            let arrival = Arrival {
                version,
                text: &text,
                origin: Origin::Asked,
                from: Some(from),
                fetched,
            };
            // A refusal is logged where it arises, and the last good rules stay.
            drop(offer(inner, arrival));
        }
        Ok(None) => (),
        Err(error) => {
            inner.stats.fetches_failed.inc();
            let took = fetched.as_millis();
            log::warn!("feed: rules {version} not fetched from {from} in {took} ms: {error}.");
        }
    }
}

async fn fetch(inner: &Inner, from: &Instance) -> Result<Option<Text>, Error> {
    match inner.ask(from, &Message::Ask).await? {
        Answer::Rules(text) => Ok(text),
        _ => Err(carry::improper(from)),
    }
}

/// The rules in force, for one that asks.
pub(crate) fn text(inner: &Inner) -> Option<Text> {
    let rules = inner.current.get()?;
    Some(Text {
        version: rules.version,
        text: rules.text.to_string(),
    })
}

/// A version that is being fetched, until it is dropped.
struct Pulling<'a>(&'a Inner, Version);

impl Drop for Pulling<'_> {
    fn drop(&mut self) {
        self.0.pulling.lock().remove(&self.1);
    }
}
