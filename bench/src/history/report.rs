//! What came of many histories, and a violating one shortened for reading.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use super::check::{Violation, short};
use super::plan::Plan;
use super::record::{History, Send};

/// Counts over many histories.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Histories.
    pub histories: usize,
    /// Requests sent.
    pub sends: usize,
    /// Requests that targets began to run.
    pub runs: usize,
    /// Edits of the rules, by how they ended.
    pub edits: BTreeMap<String, usize>,
    /// Changes of rules that were seen at daemons.
    pub seen: usize,
    /// Faults by kind.
    pub faults: BTreeMap<String, usize>,
    /// Answers by outcome and reason.
    pub outcomes: BTreeMap<String, usize>,
    /// Violations by kind.
    pub violations: BTreeMap<String, usize>,
    /// The violating histories.
    pub violating: Vec<Violating>,
    /// Histories that could not be run, with the cause.
    pub failed: Vec<String>,
}

/// One violating history.
#[derive(Debug, Serialize)]
pub struct Violating {
    /// What was violated.
    pub violations: Vec<Violation>,
    /// The whole history.
    pub history: History,
}

impl Report {
    pub(crate) fn add(&mut self, plan: &Plan, history: History, violations: Vec<Violation>) {
        self.histories += 1;
        self.sends += history.sends.len();
        self.runs += history.runs.len();
        self.seen += history.seen.len();
        for edit in &history.edits {
            let end = format!("{:?}", edit.end).to_lowercase();
            *self.edits.entry(end).or_default() += 1;
        }
        for fault in &plan.faults {
            *self.faults.entry(fault.what.to_string()).or_default() += 1;
        }
        for send in &history.sends {
            *self.outcomes.entry(told(send)).or_default() += 1;
        }
        for violation in &violations {
            let kind = violation.kind.to_string();
            *self.violations.entry(kind).or_default() += 1;
        }
        if !violations.is_empty() {
            self.violating.push(Violating {
                violations,
                history,
            });
        }
    }
}

fn told(send: &Send) -> String {
    let Some(told) = &send.told else {
        return "no answer".to_string();
    };
    let outcome = told.outcome;
    let outcome = outcome.map_or_else(|| "no outcome".to_string(), |known| known.to_string());
    format!("{outcome} {}", told.reason).trim_end().to_string()
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for violating in &self.violating {
            write!(f, "{violating}")?;
        }
        for failed in &self.failed {
            writeln!(f, "not run: {failed}")?;
        }
        let Report {
            histories,
            sends,
            runs,
            seen,
            ..
        } = self;
        writeln!(
            f,
            "{histories} histories, {sends} sends, {runs} runs, {seen} changes of rules seen"
        )?;
        let lists = [
            ("edits", &self.edits),
            ("faults", &self.faults),
            ("outcomes", &self.outcomes),
            ("violations", &self.violations),
        ];
        for (name, counts) in lists {
            writeln!(f, "{name}: {}", counts.values().sum::<usize>())?;
            for (what, count) in counts {
                writeln!(f, "  {count:>7} {what}")?;
            }
        }
        Ok(())
    }
}

/// For each violation the sends of its key, their runs, and the faults.
impl fmt::Display for Violating {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for violation in &self.violations {
            writeln!(f, "seed {}: {violation}", self.history.seed)?;
            for (at, line) in lines(&self.history, violation) {
                writeln!(f, "  {:>6} ms  {line}", at.as_millis())?;
            }
        }
        Ok(())
    }
}

fn lines(history: &History, violation: &Violation) -> Vec<(Duration, String)> {
    let mut lines: Vec<(Duration, String)> = history
        .faults
        .iter()
        .map(|event| (event.at, format!("fault: {}", event.what)))
        .collect();
    let concerned = |send: &&Send| match &violation.key {
        Some(key) => send.key.as_ref() == Some(key),
        None => violation.path.as_ref() == Some(&send.path),
    };
    for send in history.sends.iter().filter(concerned) {
        lines.extend(lines_of(history, send));
    }
    if violation.key.is_none() && violation.path.is_none() {
        lines.extend(rules(history));
    }
    lines.sort_by_key(|(at, _)| *at);
    lines
}

fn lines_of(history: &History, send: &Send) -> Vec<(Duration, String)> {
    let path = &send.path;
    let sent = format!("send {path} by {}", send.entry);
    let mut lines = vec![(send.at, sent)];
    for run in history.runs_of(send) {
        lines.push((run.at, format!("run  {path} at {}", run.target)));
    }
    if let Some(told) = &send.told {
        let text = short(&told.text);
        let line = format!("told {path}: {} {} {text:?}", told.status, self::told(send));
        lines.push((told.at, line));
    }
    lines
}

fn rules(history: &History) -> Vec<(Duration, String)> {
    let edits = history.edits.iter();
    let edits = edits.map(|edit| (edit.at, format!("edit {}: {:?}", edit.name, edit.end)));
    let seen = history.seen.iter().map(|seen| {
        let line = format!(
            "seen at {}, life {}: version {} with {:?}",
            seen.daemon, seen.life, seen.version, seen.names
        );
        (seen.at, line)
    });
    edits.chain(seen).collect()
}
