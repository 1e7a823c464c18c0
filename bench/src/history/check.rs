//! What must hold of each history.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use unit::Outcome;

use super::record::{EditEnd, History, Seen, Send, Told};

/// What was violated.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A key ran more than once.
    #[display("two-runs")]
    TwoRuns,
    /// A request ran whose caller was told "not run".
    #[display("run-behind-not-run")]
    RunBehindNotRun,
    /// A caller got an answer that is not its own, or took a cut one for whole.
    #[display("wrong-answer")]
    WrongAnswer,
    /// A caller was told "ran" of a request that never ran.
    #[display("false-ran")]
    FalseRan,
    /// A caller was told "already run" of a key that never ran.
    #[display("false-already-run")]
    FalseAlreadyRun,
    /// All callers of a key were told "not run", and it can't be run afterwards.
    #[display("dead-key")]
    DeadKey,
    /// A daemon went back to older rules, or two show different rules of one version.
    #[display("reverted")]
    Reverted,
    /// An edit of the rules was confirmed, and is gone.
    #[display("lost-edit")]
    LostEdit,
}

/// One violation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, derive_more::Display)]
#[display("{kind}: {detail}")]
pub struct Violation {
    /// What was violated.
    pub kind: Kind,
    /// The key, where it is about one.
    pub key: Option<String>,
    /// The path of the request, where it is about one alone.
    pub path: Option<String>,
    /// Which request or daemon, and how.
    pub detail: String,
}

/// All violations of a history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for send in &history.sends {
        if let Some(told) = &send.told {
            found.extend(answer(history, send, told));
        }
    }
    let keys: BTreeSet<&str> = history
        .sends
        .iter()
        .filter_map(|send| send.key.as_deref())
        .collect();
    for key in keys {
        found.extend(two_runs(history, key));
        found.extend(dead(history, key));
    }
    found.extend(reverted(&history.seen));
    found.extend(lost(history));
    found
}

fn answer(history: &History, send: &Send, told: &Told) -> Option<Violation> {
    let kind = match told.outcome? {
        Outcome::NotRun => (history.runs_of(send).count() > 0).then_some(Kind::RunBehindNotRun),
        Outcome::Unknown => None,
        Outcome::Ran => ran(history, send, told),
        Outcome::AlreadyRun => already(history, send, told),
    };
    let detail = format!(
        "{} was told {} {} {:?}",
        send.path,
        told.status,
        told.reason,
        short(&told.text)
    );
    kind.map(|kind| Violation {
        kind,
        key: send.key.clone(),
        path: Some(send.path.clone()),
        detail,
    })
}

fn ran(history: &History, send: &Send, told: &Told) -> Option<Kind> {
    if history.runs_of(send).count() == 0 {
        return Some(Kind::FalseRan);
    }
    (!belongs(send, told)).then_some(Kind::WrongAnswer)
}

/// The answer is the whole of what the target said to `send`, or visibly cut.
fn belongs(send: &Send, told: &Told) -> bool {
    let answer = send.answer();
    if told.whole {
        return told.text == answer;
    }
    answer.starts_with(&told.text)
}

fn already(history: &History, send: &Send, told: &Told) -> Option<Kind> {
    let key = send.key.as_deref().unwrap_or_default();
    let mut twins = history.sends_of(key);
    if told.reason.is_empty() {
        // It has the answer of a run with it, so it must be the one of this key and body.
        let of_run = |twin: &Send| {
            let same = twin.body == send.body && belongs(twin, told);
            same && history.runs_of(twin).count() > 0
        };
        return (!twins.any(of_run)).then_some(Kind::WrongAnswer);
    }
    let some_ran = twins.any(|twin| history.runs_of(twin).count() > 0);
    (!some_ran).then_some(Kind::FalseAlreadyRun)
}

fn two_runs(history: &History, key: &str) -> Option<Violation> {
    let runs: Vec<String> = history
        .sends_of(key)
        .flat_map(|send| history.runs_of(send))
        .map(|run| format!("{} at {}", run.path, run.target))
        .collect();
    (runs.len() > 1).then(|| Violation {
        kind: Kind::TwoRuns,
        key: Some(key.to_string()),
        path: None,
        detail: format!("key {key} ran {} times: {}", runs.len(), runs.join(", ")),
    })
}

/// A key whose callers were all told "not run" must run when it is sent once more.
///
/// A caller that was told "unknown", or nothing, can't say so: its key may stay taken.
fn dead(history: &History, key: &str) -> Option<Violation> {
    let mut first = history.sends_of(key).filter(|send| !send.last);
    let free = first.all(|send| send.outcome() == Some(Outcome::NotRun));
    let mut last = history.sends_of(key).filter(|send| send.last).peekable();
    last.peek()?;
    let ran = |send: &Send| send.outcome() == Some(Outcome::Ran);
    let mut told = Vec::new();
    for send in last {
        if ran(send) {
            return None;
        }
        let text = send.told.as_ref().map_or("nothing", |told| &told.text);
        told.push(text.to_string());
    }
    free.then(|| Violation {
        kind: Kind::DeadKey,
        key: Some(key.to_string()),
        path: None,
        detail: format!("key {key} never ran, and in the end was told {told:?}"),
    })
}

fn reverted(seen: &[Seen]) -> Option<Violation> {
    let violation = |detail| {
        Some(Violation {
            kind: Kind::Reverted,
            key: None,
            path: None,
            detail,
        })
    };
    let mut newest: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    let mut contents: BTreeMap<u64, &[String]> = BTreeMap::new();
    for Seen {
        daemon,
        life,
        version,
        names,
        ..
    } in seen
    {
        let newest = newest.entry((*daemon, *life)).or_default();
        if *version < *newest {
            return violation(format!("daemon {daemon} went from {newest} to {version}"));
        }
        *newest = *version;
        if *contents.entry(*version).or_insert(names) != names.as_slice() {
            return violation(format!("version {version} has two contents"));
        }
    }
    None
}

fn lost(history: &History) -> Option<Violation> {
    let accepted = history
        .edits
        .iter()
        .filter(|edit| edit.end == EditEnd::Accepted);
    let lost: Vec<&str> = accepted
        .map(|edit| edit.name.as_str())
        .filter(|name| !history.kept.iter().any(|kept| kept == name))
        .collect();
    (!lost.is_empty()).then(|| Violation {
        kind: Kind::LostEdit,
        key: None,
        path: None,
        detail: format!("accepted and gone: {}", lost.join(", ")),
    })
}

/// The beginning of a text, for reports.
pub(crate) fn short(text: &str) -> String {
    const LENGTH: usize = 160;
    text.chars().take(LENGTH).collect()
}
