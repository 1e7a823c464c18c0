//! The promises, checked from what callers were told and what targets ran.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;
use unit::Version;

use crate::rules::TIMEOUT;
use crate::sent::{Kind, Sent, Trouble, Window};

/// How late a final answer may be, beyond the rule's timeout; many processes share this machine.
const LATE: Duration = Duration::from_secs(2);
/// A request that is sent so shortly before its daemon has gone meets a closing connection.
const CLOSING: Duration = Duration::from_millis(300);
/// How long trouble has after-effects: links and limits recover.
const AFTER: Duration = Duration::from_secs(4);
/// Extra runs that the retry budget lets through beside its share.
const SAVED: usize = 40;
/// Extra runs for each request that may be repeated, at most.
const SHARE: f64 = 0.25;

/// A broken promise, with what shows it.
#[derive(Debug, Clone, PartialEq)]
pub enum Broken {
    /// What may not be repeated ran so often.
    Twice(String, usize),
    /// A caller was told that this did not run, and it did.
    Word(String),
    /// This answer is not the one to its request, or not whole.
    Answer(String),
    /// This request got no answer although its daemon was there.
    Cut(String),
    /// This final answer came so late.
    Late(String, Duration),
    /// So many runs for so many requests that may be repeated.
    Budget(usize, usize),
    /// An instance served a request not again after all faults were over.
    Recover(usize, String),
    /// An instance had these rules after so long, where others are newer.
    Spread(usize, Version),
    /// An instance went from this version of the rules back to that one.
    Back(usize, Version, Version),
    /// So many requests in four seconds at a target whose limit allows this many.
    Limit(usize, f64),
    /// This request reached a target that its daemon knew to leave.
    Leave(String),
    /// A planned stop of this instance did not end by itself, or not well.
    Stop(usize),
    /// A request ran that was sent to this daemon with a key that was no longer, or never, in force.
    Revoked(String, usize),
    /// So many requests of a workspace in one window, which may have this many.
    Quota(String, usize, f64),
    /// A request ran under these names of workspaces, in place of the one that holds its key.
    Workspace(String, String),
    /// A target was shown the key of a request.
    Key(String),
    /// A request that ran was answered with a status that says that it did not.
    Status(String, u16),
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Twice(path, count) => write!(f, "ran {count} times: {path}"),
            Broken::Word(path) => write!(f, "said to be not run, and was: {path}"),
            Broken::Answer(path) => write!(f, "another answer, or a part of one: {path}"),
            Broken::Cut(path) => write!(f, "no answer from a daemon that was there: {path}"),
            Broken::Late(path, took) => write!(f, "final answer after {took:?}: {path}"),
            Broken::Budget(runs, sent) => write!(f, "{runs} runs of {sent} requests"),
            Broken::Recover(index, what) => write!(f, "desk-{index} does not recover: {what}"),
            Broken::Spread(index, version) => write!(f, "desk-{index} stays at rules {version}"),
            Broken::Back(index, from, to) => {
                write!(f, "desk-{index} went from rules {from} to {to}")
            }
            Broken::Limit(count, allowed) => {
                write!(
                    f,
                    "{count} requests in 4 s at a target that limits them; allowed {allowed:.0}"
                )
            }
            Broken::Leave(path) => write!(f, "reached a target that leaves: {path}"),
            Broken::Stop(index) => write!(f, "desk-{index} did not end its planned stop"),
            Broken::Revoked(path, entry) => {
                write!(
                    f,
                    "ran with a key that is not in force: {path} at desk-{entry}"
                )
            }
            Broken::Quota(workspace, count, allowed) => {
                write!(
                    f,
                    "{count} requests of {workspace} in a window; allowed {allowed:.1}"
                )
            }
            Broken::Workspace(path, named) => write!(f, "ran for workspace {named:?}: {path}"),
            Broken::Key(path) => write!(f, "a target was shown the key: {path}"),
            Broken::Status(path, status) => write!(f, "answered with {status}, and ran: {path}"),
        }
    }
}

/// Compares what callers were told with what targets ran: how often each path.
pub fn check(sent: &[Sent], runs: &BTreeMap<String, usize>, windows: &[Window]) -> Vec<Broken> {
    let mut broken = Vec::new();
    let begun = begun(sent);
    for one in sent {
        let ran = runs.get(&one.path).copied().unwrap_or(0);
        if one.kind == Kind::Book && ran > 1 {
            broken.push(Broken::Twice(one.path.clone(), ran));
        }
        if one.outcome == "not-run" && ran > 0 {
            broken.push(Broken::Word(one.path.clone()));
        }
        if one.outcome == "ran" && one.status == 200 && one.whole && !is_own(one) {
            broken.push(Broken::Answer(one.path.clone()));
        }
        // What a later send is told is about the first one too.
        let since = key(&one.path).and_then(|key| begun.get(key));
        let whole = Sent {
            at: since.copied().unwrap_or(one.at),
            ..one.clone()
        };
        if is_cut(&whole, ran, windows) {
            broken.push(Broken::Cut(told(one)));
        }
        let took = one.ended - one.at;
        let held = windows.iter().any(|window| {
            matches!(window.trouble, Trouble::Paused(_)) && window.touches(one, AFTER)
        });
        if took > TIMEOUT + LATE && !held {
            broken.push(Broken::Late(told(one), took));
        }
    }
    broken.extend(orders(runs));
    broken.extend(budget(sent, runs));
    broken
}

/// When each order was sent first.
fn begun(sent: &[Sent]) -> BTreeMap<&str, Instant> {
    let mut begun = BTreeMap::new();
    for one in sent {
        if let Some(key) = key(&one.path) {
            let first = begun.entry(key).or_insert(one.at);
            *first = one.at.min(*first);
        }
    }
    begun
}

fn told(sent: &Sent) -> String {
    format!(
        "{} at desk-{}: {} {} {}",
        sent.path, sent.entry, sent.status, sent.outcome, sent.reason
    )
}

/// The answer names its request. One that was kept for an order names the send that ran.
fn is_own(sent: &Sent) -> bool {
    let named = sent.body.trim_end();
    match sent.kind {
        Kind::Read | Kind::Book => named == sent.path,
        Kind::Order => key(named).is_some() && key(named) == key(&sent.path),
    }
}

fn key(path: &str) -> Option<&str> {
    path.strip_prefix("/order/")?.split('/').next()
}

/// Whether a request that ran so often was broken off with no trouble that explains it.
fn is_cut(sent: &Sent, ran: usize, windows: &[Window]) -> bool {
    let ended_well = sent.status != 0 && sent.whole && sent.outcome != "unknown";
    if ended_well {
        return false;
    }
    // No answer at all is explained only by a daemon that is gone, or goes while it is asked. One
    // that stops takes no new connections at its end, so there the request must not have run.
    if sent.status == 0 {
        return !windows.iter().any(|window| match window.trouble {
            Trouble::Gone(index) => index == sent.entry && window.touches(sent, CLOSING),
            Trouble::Stopping(index) => {
                index == sent.entry && ran == 0 && window.touches(sent, CLOSING)
            }
            _ => false,
        });
    }
    // A planned stop anywhere explains nothing; all else may.
    let is_plain = |window: &Window| matches!(window.trouble, Trouble::Stopping(_));
    !windows
        .iter()
        .any(|window| !is_plain(window) && window.touches(sent, AFTER))
}

fn orders(runs: &BTreeMap<String, usize>) -> Vec<Broken> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (path, count) in runs {
        if let Some(key) = key(path) {
            *counts.entry(key).or_default() += count;
        }
    }
    let twice = counts.into_iter().filter(|(_, count)| *count > 1);
    twice
        .map(|(key, count)| Broken::Twice(format!("order {key}"), count))
        .collect()
}

fn budget(sent: &[Sent], runs: &BTreeMap<String, usize>) -> Option<Broken> {
    let reads = sent.iter().filter(|one| one.kind == Kind::Read);
    let counts: Vec<usize> = reads
        .map(|one| runs.get(&one.path).copied().unwrap_or(0))
        .collect();
    let extra: usize = counts.iter().map(|count| count.saturating_sub(1)).sum();
    let allowed = SAVED + (counts.len() as f64 * SHARE) as usize;
    (extra > allowed).then(|| Broken::Budget(counts.iter().sum(), counts.len()))
}
