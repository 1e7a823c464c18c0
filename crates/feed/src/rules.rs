//! Rules: offered, passed on, fetched.

use std::time::Duration;

use tokio::time::sleep;
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

/// Puts rules in force if they are newer, and has them passed on once.
///
/// Rules that don't parse here go no further: those below would refuse them too. They leave no
/// trace but their version, so that the next good ones pass.
pub(crate) fn offer(
    inner: &Inner,
    version: Version,
    text: &str,
    origin: Origin,
) -> Result<Offer, Error> {
    let first = inner.current.version() == Version(0);
    let offer = inner.current.offer(version, text)?;
    // A newcomer that fetches its first rules fetches what the others have.
    let news = origin == Origin::Tree || (offer == Offer::Taken && !first);
    if news && inner.current.version() == version {
        pass_on(inner, version);
    }
    Ok(offer)
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
    let pulled = fetch(inner, from).await;
    drop(pulling);
    match pulled {
        Ok(Some(Text { version, text })) => {
            // A refusal is logged where it arises, and the last good rules stay.
            drop(offer(inner, version, &text, Origin::Asked));
        }
        Ok(None) => (),
        Err(error) => log::debug!("feed: rules not fetched: {error}."),
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
