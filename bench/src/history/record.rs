//! What one run leaves behind: calls, runs at targets, answers, rules seen and edited, faults.

use std::time::Duration;

use serde::Serialize;
use unit::Outcome;

/// The pieces of an answer that a target breaks off.
const CUT_PIECES: usize = 4;

/// One history. Times count from its begin.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct History {
    /// The seed that its schedule was drawn from.
    pub seed: u64,
    /// All requests, in the order of the plan; the last ones were sent after the faults had ended.
    pub sends: Vec<Send>,
    /// What targets began to run, in order.
    pub runs: Vec<Run>,
    /// The rules that each daemon showed, whenever they had changed.
    pub seen: Vec<Seen>,
    /// What operators wrote.
    pub edits: Vec<Edit>,
    /// The edits in the document at the end.
    pub kept: Vec<String>,
    /// The faults, in order.
    pub faults: Vec<Event>,
}

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Send {
    /// Its path, which no other request has, so that a target's log tells which request ran.
    pub path: String,
    /// The key of the order; `None` for a request that may be repeated.
    pub key: Option<String>,
    /// Its body.
    pub body: String,
    /// The instance that it entered by.
    pub entry: usize,
    /// When it was sent.
    pub at: Duration,
    /// It was sent once more after the faults had ended.
    pub last: bool,
    /// What the caller was told; `None` if no head of an answer came.
    pub told: Option<Told>,
}

/// An answer as its caller has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Told {
    /// When it had come.
    pub at: Duration,
    /// The HTTP status.
    pub status: u16,
    /// What became of the request; `None` if the answer does not say.
    pub outcome: Option<Outcome>,
    /// Why there is no answer of a target; empty if there is one.
    pub reason: String,
    /// The body as far as it came.
    pub text: String,
    /// The answer came to its end.
    pub whole: bool,
}

/// A request that a target began to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Run {
    /// The instance of the target.
    pub target: usize,
    /// The path of the request.
    pub path: String,
    /// When its head came.
    pub at: Duration,
}

/// Rules in force at a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Seen {
    /// The instance.
    pub daemon: usize,
    /// Which of its lives.
    pub life: u32,
    /// When it was first seen.
    pub at: Duration,
    /// The version.
    pub version: u64,
    /// The names of the rules.
    pub names: Vec<String>,
}

/// An edit of the rules by one of the operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Edit {
    /// The name of the rule that it adds.
    pub name: String,
    /// When it was settled.
    pub at: Duration,
    /// How it ended.
    pub end: EditEnd,
}

/// How an edit ended for its operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EditEnd {
    /// The platform has confirmed it.
    Accepted,
    /// The platform refused it, or could not be reached.
    Refused,
    /// The answer was lost.
    Unknown,
}

/// A fault that began, or ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Event {
    /// When.
    pub at: Duration,
    /// What, in words.
    pub what: String,
}

impl History {
    /// The sends of a key, in order.
    pub fn sends_of<'a>(&'a self, key: &'a str) -> impl Iterator<Item = &'a Send> {
        let of_key = move |send: &&Send| send.key.as_deref() == Some(key);
        self.sends.iter().filter(of_key)
    }

    /// The runs of one send.
    pub fn runs_of<'a>(&'a self, send: &'a Send) -> impl Iterator<Item = &'a Run> {
        self.runs.iter().filter(|run| run.path == send.path)
    }
}

impl Send {
    /// The whole of what a target means to answer to this request; on a path that begins with
    /// `/cut` it breaks off before the end of it.
    pub fn answer(&self) -> String {
        if self.path.starts_with("/cut/") {
            let pieces = (0..CUT_PIECES).map(|at| format!("piece {at}\n"));
            return pieces.collect();
        }
        format!("{} {}", self.path, self.body)
    }

    /// The outcome that the caller was told.
    pub fn outcome(&self) -> Option<Outcome> {
        self.told.as_ref().and_then(|told| told.outcome)
    }
}
