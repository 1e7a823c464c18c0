//! What an experiment runs.

use crate::experiment::read;
use crate::policy::{LEAD, Mode, PERIOD, Scenario};

/// The longest text that is read.
const MAX_TEXT: usize = 100_000;

/// What an experiment runs: targets, load and troubles, the modes to compare, and bounds.
#[derive(Debug, Clone)]
pub struct Workload {
    pub(crate) scenario: Scenario,
    /// The first is what the others are compared with.
    pub(crate) modes: Vec<Mode>,
    pub(crate) seeds: u32,
    pub(crate) bounds: Vec<Bound>,
}

/// What the mean over all seeds of a figure must hold.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Bound {
    pub(crate) mode: String,
    pub(crate) class: String,
    pub(crate) figure: String,
    pub(crate) least: Option<f64>,
    pub(crate) most: Option<f64>,
}

impl Workload {
    /// Reads a workload.
    ///
    /// # Errors
    ///
    /// All faults of the text, each with line, column and cause.
    pub fn parse(text: &str) -> Result<Workload, jsonc::Error> {
        jsonc::read(text, MAX_TEXT, read::workload)
    }

    /// Sets how many seeds are run; at least two, as one tells of no spread.
    pub fn set_seeds(&mut self, seeds: u32) {
        self.seeds = seeds.max(2);
    }
}

/// Requests of one run, as far as its load tells.
pub(crate) fn requests(scenario: &Scenario) -> u64 {
    let length = (LEAD + scenario.rounds * PERIOD).as_secs();
    scenario.capacity() * scenario.load / 100 * length
}
