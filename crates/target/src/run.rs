//! Runs of the target, and bounded lists of them.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use unit::Incarnation;

/// Number of runs that a list remembers.
const MAX_RUNS: usize = 32;

/// One run of the target, told by its name and the time of its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Its name.
    pub name: String,
    /// When it started, by the target's clock, if it says so.
    pub born: Option<Incarnation>,
}

impl Run {
    /// Whether a message of a life called `name` that started at `born` comes from this run, or from
    /// an earlier one of the same name.
    pub(crate) fn covers(&self, name: &str, born: Option<Incarnation>) -> bool {
        let later = born.is_some() && born > self.born;
        self.name == name && !later
    }
}

/// The last runs that something was recorded of.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Runs(VecDeque<Run>);

impl Runs {
    pub(crate) fn push(&mut self, run: Run) {
        self.0.push_back(run);
        if self.0.len() > MAX_RUNS {
            self.0.pop_front();
        }
    }

    /// Whether one of the runs covers a message, see [`Run::covers`].
    pub(crate) fn cover(&self, name: &str, born: Option<Incarnation>) -> bool {
        self.0.iter().any(|run| run.covers(name, born))
    }

    /// Removes the runs that cover a message.
    pub(crate) fn remove(&mut self, name: &str, born: Option<Incarnation>) {
        self.0.retain(|run| !run.covers(name, born));
    }

    /// Sets the start of the runs called `name` that have none.
    pub(crate) fn date(&mut self, name: &str, born: Option<Incarnation>) {
        for run in self.0.iter_mut().filter(|run| run.name == name) {
            run.born = run.born.or(born);
        }
    }

    pub(crate) fn to_vec(&self) -> Vec<Run> {
        self.0.iter().cloned().collect()
    }
}
