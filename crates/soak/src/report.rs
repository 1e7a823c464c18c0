//! What a run injected and what was seen.

use std::collections::BTreeMap;
use std::fmt;

use crate::check::Broken;

/// At most so many broken promises are printed.
const PRINTED: usize = 12;

/// The report of one run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// How often each fault was injected; those that met a daemon in other trouble are left out.
    pub injected: BTreeMap<&'static str, usize>,
    /// Faults that were left out.
    pub left_out: usize,
    /// How many requests had each status and outcome.
    pub seen: BTreeMap<String, usize>,
    /// Versions of the rules that were written.
    pub versions: u64,
    /// The promises that were broken.
    pub broken: Vec<Broken>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = match self.broken.len() {
            0 => "kept".to_string(),
            count => format!("{count} BROKEN"),
        };
        writeln!(f, "seed {}: {verdict}", self.seed)?;
        let list = |map: Vec<String>| map.join(", ");
        let injected = self
            .injected
            .iter()
            .map(|(name, count)| format!("{name} {count}"));
        writeln!(
            f,
            "  injected: {}; left out {}",
            list(injected.collect()),
            self.left_out
        )?;
        let seen = self
            .seen
            .iter()
            .map(|(name, count)| format!("{name} {count}"));
        writeln!(
            f,
            "  seen: {}; rules written {}",
            list(seen.collect()),
            self.versions
        )?;
        for broken in self.broken.iter().take(PRINTED) {
            writeln!(f, "  {broken}")?;
        }
        Ok(())
    }
}
