//! The state of one process, for an operator who asks.

use std::str::FromStr;

use serde::Serialize;

/// The parts of a daemon that can be dumped.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// The settings in use.
    #[display("setting")]
    Setting,
    /// The rules in force.
    #[display("rules")]
    Rules,
    /// The entry: outcomes, and what it knows of targets.
    #[display("entry")]
    Entry,
    /// The gate: slots, queues, limits, suspects.
    #[display("gate")]
    Gate,
    /// The roster.
    #[display("roster")]
    Roster,
    /// How rules and roster came, and what that cost.
    #[display("feed")]
    Feed,
    /// The ledger's shards that this daemon has worked on.
    #[display("ledger")]
    Ledger,
    /// The quotas of workspaces; nothing where they are not counted.
    #[display("quota")]
    Quota,
    /// The links.
    #[display("links")]
    Links,
    /// The rate and the backlog of the machine's link, if answers are paced.
    #[display("bandwidth")]
    Bandwidth,
}

impl Part {
    /// All parts.
    pub const ALL: [Part; 10] = [
        Part::Setting,
        Part::Rules,
        Part::Entry,
        Part::Gate,
        Part::Roster,
        Part::Feed,
        Part::Ledger,
        Part::Quota,
        Part::Links,
        Part::Bandwidth,
    ];
}

impl FromStr for Part {
    type Err = String;

    fn from_str(text: &str) -> Result<Part, String> {
        let found = Part::ALL.into_iter().find(|part| part.to_string() == text);
        found.ok_or_else(|| {
            let all: Vec<String> = Part::ALL.iter().map(ToString::to_string).collect();
            format!("no part {text:?}: expected one of {}", all.join(", "))
        })
    }
}

/// One part with its state.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// Which part.
    pub part: Part,
    /// Its state.
    pub state: serde_json::Value,
}

/// The state of the rules in force.
#[derive(Debug, Serialize)]
pub(crate) struct RulesState {
    pub(crate) version: u64,
    pub(crate) rules: usize,
    pub(crate) names: Vec<String>,
}

/// The state of one service at the entry.
#[derive(Debug, Serialize)]
pub(crate) struct ServiceState {
    pub(crate) service: String,
    pub(crate) choice: pick::Dump,
    pub(crate) retries: pick::retry::Count,
}

/// The state of the entry.
#[derive(Debug, Serialize)]
pub(crate) struct EntryState {
    pub(crate) outcomes: entry::Count,
    pub(crate) services: Vec<ServiceState>,
}

/// The state of one link.
#[derive(Debug, Serialize)]
pub(crate) struct LinkState {
    pub(crate) peer: String,
    pub(crate) address: String,
    pub(crate) open_streams: usize,
    pub(crate) rtt_us: u128,
    pub(crate) bytes: u64,
}
