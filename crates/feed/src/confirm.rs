//! Confirms that the rules in force, and further objects, are the newest in the store.
//!
//! One daemon of the fleet reads the store about once a second ([`read`]); all others ask it, or one
//! that has asked it ([`pull`]). What they hold and how old it is decides the crate [`confirm`].
//!
//! A watch that brings nothing may have nothing to bring, or may have lost its connection. The reads
//! bound the time until a change is found all the same: the reader tells the watchers of all zones
//! which rules it has found.

mod pull;
mod read;
mod source;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use confirm::{Clock, Confirmation, Holding, Moment, Offer, Place, Report, Schedule};
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::sleep;
use unit::Version;

use crate::feed::Inner;
use crate::message::Answer;
use read::Cursor;
pub(crate) use read::NO_WAIT;
use source::{Roles, Sources};

/// Interval of the checks whether a read or a question is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the checks whether a confirmation has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a caller waits before its next attempt: daemons ask for confirmations more often.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a feed confirms.
#[derive(Debug, Clone, Default)]
pub struct Confirm {
    /// The clock on which ages are measured.
    pub clock: Clock,
    /// How long after its removal a key may be used at most; `None` if confirmations don't end.
    pub revoke: Option<Duration>,
    /// Keys that are confirmed besides that of the rules.
    pub keys: Vec<String>,
}

/// The newest confirmation of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirmed {
    /// The time since the moment at which the versions were the newest.
    pub age: Duration,
    /// The versions of the rules, which may not be in force here yet, and of the further keys.
    /// [`Version::NONE`] if there is no object.
    pub versions: Vec<Version>,
    /// The contents of the keys; `None` for the rules and if there is no object.
    pub values: Vec<Option<Bytes>>,
}

/// The rules in force are not confirmed as the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unconfirmed {
    /// The time since they were; `None` if they never were.
    pub age: Option<Duration>,
    /// When confirmation should be checked for again.
    pub retry_after: Duration,
}

/// The state of confirmations, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct Confirmations {
    /// Milliseconds since the rules in force were known to be the newest; `None` if they never were.
    pub age_ms: Option<u64>,
    /// Milliseconds for which a confirmation lasts; `None` if for ever.
    pub lasts_ms: Option<u64>,
    /// Whether keyed requests are served.
    pub serving: bool,
    /// Milliseconds since the moment of the newest confirmation, whose rules may not be in force yet.
    pub newest_age_ms: Option<u64>,
    /// The newest versions known, that of the rules first.
    pub versions: Vec<Version>,
    /// Reads of the store, one for each key.
    pub reads: u64,
    /// Those that failed.
    pub reads_failed: u64,
    /// Questions to other daemons.
    pub asked: u64,
    /// Those without an answer.
    pub asks_failed: u64,
}

/// The part of one daemon in confirming.
pub(crate) struct Confirming {
    clock: Clock,
    schedule: Schedule,
    keys: Vec<String>,
    /// Whether only the watchers confirm.
    only_watchers: bool,
    /// When this daemon began to confirm.
    began: Mutex<Moment>,
    state: Mutex<State>,
    versions: watch::Sender<Vec<Version>>,
    hastened: watch::Sender<bool>,
}

#[derive(Default)]
struct State {
    holding: Holding,
    /// Whether keyed requests were served at the last check.
    serving: bool,
    cursors: Vec<Cursor>,
    read: read::Attempts,
    sources: Sources,
    roles: Option<Roles>,
    reads: u64,
    reads_failed: u64,
    asked: u64,
    asks_failed: u64,
}

impl Confirming {
    /// The state for a feed whose rules have `rules_key`.
    pub(crate) fn new(confirm: Confirm, rules_key: &str) -> Confirming {
        let Confirm {
            clock,
            revoke,
            keys,
        } = confirm;
        let only_watchers = revoke.is_none() && keys.is_empty();
        let mut all = vec![rules_key.to_string()];
        all.extend(keys);
        let state = State {
            cursors: all.iter().map(|_| Cursor::default()).collect(),
            ..State::default()
        };
        Confirming {
            began: Mutex::new(clock.now()),
            clock,
            schedule: Schedule::new(revoke),
            keys: all,
            only_watchers,
            state: Mutex::new(state),
            versions: watch::Sender::default(),
            hastened: watch::Sender::default(),
        }
    }

    /// Whether only the watchers confirm: the news has to reach them, and nothing depends on its age.
    pub(crate) fn is_for_watchers(&self) -> bool {
        self.only_watchers
    }

    /// Whether the rules of version `in_force` are confirmed as the newest.
    pub(crate) fn check(&self, in_force: Version) -> Result<(), Unconfirmed> {
        let Some(lasts) = self.schedule.lasts() else {
            return Ok(());
        };
        let mut state = self.state.lock();
        let now = self.clock.now();
        let age = state.holding.confirmed_at(in_force).map(|at| now.since(at));
        let serving = age.is_some_and(|age| age < lasts);
        if serving != std::mem::replace(&mut state.serving, serving) {
            report_change(&state, serving, age, in_force);
        }
        match serving {
            true => Ok(()),
            false => Err(Unconfirmed {
                age,
                retry_after: RETRY_AFTER,
            }),
        }
    }

    /// The newest confirmation.
    pub(crate) fn confirmed(&self) -> Option<Confirmed> {
        let state = self.state.lock();
        let newest = state.holding.newest()?;
        Some(Confirmed {
            age: newest.age(self.clock.now()),
            versions: newest.versions.clone(),
            values: newest.values.clone(),
        })
    }

    /// Changes when the newest confirmed versions change; empty before the first confirmation.
    pub(crate) fn versions(&self) -> watch::Receiver<Vec<Version>> {
        self.versions.subscribe()
    }

    /// Sets whether this daemon is informed as soon as a watcher.
    pub(crate) fn hasten(&self, hastened: bool) {
        self.hastened.send_replace(hastened);
    }

    /// The answer to a daemon that holds the contents of the versions `held`.
    pub(crate) fn answer(&self, held: &[Version]) -> Answer {
        let state = self.state.lock();
        let now = self.clock.now();
        let newest = state.holding.newest();
        Answer::Confirmed(newest.map(|newest| Report::of(newest, now, held)))
    }

    /// The state at present, for operators.
    pub(crate) fn dump(&self, in_force: Version) -> Confirmations {
        let mut state = self.state.lock();
        let now = self.clock.now();
        let age = state.holding.confirmed_at(in_force).map(|at| now.since(at));
        let newest = state.holding.newest();
        let lasts = self.schedule.lasts();
        Confirmations {
            age_ms: age.map(millis),
            lasts_ms: lasts.map(millis),
            serving: lasts.is_none_or(|lasts| age.is_some_and(|age| age < lasts)),
            newest_age_ms: newest.map(|newest| millis(newest.age(now))),
            versions: newest.map_or_else(Vec::new, |newest| newest.versions.clone()),
            reads: state.reads,
            reads_failed: state.reads_failed,
            asked: state.asked,
            asks_failed: state.asks_failed,
        }
    }

    /// Takes a confirmation in. Returns whether it is the newest now.
    fn offer(&self, confirmation: Confirmation) -> bool {
        let mut state = self.state.lock();
        let versions = confirmation.versions.clone();
        let offer = state.holding.offer(confirmation);
        if offer == Offer::Changed {
            // Sent under the lock, so that receivers see changes in their order.
            self.versions.send_replace(versions);
        }
        offer != Offer::Old
    }

    /// The age of the newest confirmation. Before the first, it is that of one taken shortly before
    /// this daemon began, so that reads begin in the order of ranks.
    fn age(&self) -> Duration {
        let state = self.state.lock();
        let now = self.clock.now();
        let initial = now.since(*self.began.lock()) + self.schedule.initial_age();
        let newest = state.holding.newest();
        newest.map_or(initial, |newest| newest.age(now).min(initial))
    }
}

fn report_change(state: &State, serving: bool, age: Option<Duration>, in_force: Version) {
    let age_ms = age.map_or_else(|| "none".to_string(), |age| age.as_millis().to_string());
    let newest = state.holding.newest();
    let known = newest.map(Confirmation::rules).unwrap_or_default();
    match serving {
        true => log::info!(
            "confirm: keyed requests are served: rules={in_force} known={known} age_ms={age_ms}."
        ),
        false => log::error!(
            "confirm: keyed requests are refused as unconfirmed: rules={in_force} known={known} \
             age_ms={age_ms}."
        ),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The part of this daemon by the roster, taken anew at intervals.
fn with_roles<T>(inner: &Inner, confirming: &Confirming, with: impl FnOnce(&Roles) -> T) -> T {
    let now = confirming.clock.now();
    let mut state = confirming.state.lock();
    if !state
        .roles
        .as_ref()
        .is_some_and(|roles| roles.is_fresh(now))
    {
        drop(state);
        let hastened = *confirming.hastened.borrow();
        let roles = inner.with(|roster| Roles::of(roster, now, hastened));
        state = confirming.state.lock();
        state.roles = Some(roles);
    }
    let roles = state.roles.get_or_insert_default();
    with(roles)
}

/// The place of this daemon in confirming.
fn place(inner: &Inner, confirming: &Confirming) -> Place {
    let watcher = with_roles(inner, confirming, Roles::watcher);
    let now = confirming.clock.now();
    match watcher {
        Some(place) => place,
        None if confirming.only_watchers => Place::Member,
        None if confirming.state.lock().sources.is_isolated(now) => Place::Isolated,
        None => Place::Member,
    }
}

/// Keeps the confirmation of this daemon new. Never returns.
pub(crate) async fn run(inner: Arc<Inner>) {
    let Some(confirming) = &inner.confirming else {
        return std::future::pending().await;
    };
    inner.listed.cancelled().await;
    let check = async {
        loop {
            sleep(END_CHECK_INTERVAL).await;
            let _ = confirming.check(inner.current.version());
        }
    };
    tokio::join!(
        read::run(&inner, confirming),
        pull::run(&inner, confirming),
        check
    );
}

/// Keeps the confirmation of this watcher new, where only watchers confirm. Never returns.
pub(crate) async fn run_for_watcher(inner: &Inner, confirming: &Confirming) {
    *confirming.began.lock() = confirming.clock.now();
    tokio::join!(read::run(inner, confirming), pull::run(inner, confirming));
}
