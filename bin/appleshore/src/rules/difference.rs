//! Which rules of two documents differ.

use std::collections::BTreeMap;
use std::fmt;

use rule::{Document, Rule};

/// What one document has against another, by the names of the rules.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Difference {
    added: Vec<String>,
    removed: Vec<String>,
    changed: Vec<String>,
    reordered: bool,
    workspaces: bool,
}

impl Difference {
    /// What `theirs` has against `mine`.
    pub(crate) fn of(mine: &Document, theirs: &Document) -> Difference {
        let (my_rules, their_rules) = (by_name(mine), by_name(theirs));
        let here = |name: &str| my_rules.contains_key(name);
        let there = |name: &str| their_rules.contains_key(name);
        let changed = |name: &str| here(name) && my_rules.get(name) != their_rules.get(name);
        Difference {
            added: names(theirs, |name| !here(name)),
            removed: names(mine, |name| !there(name)),
            changed: names(theirs, changed),
            reordered: names(mine, there) != names(theirs, here),
            workspaces: mine.workspaces() != theirs.workspaces(),
        }
    }

    fn is_empty(&self) -> bool {
        let names = [&self.added, &self.removed, &self.changed];
        names.iter().all(|names| names.is_empty()) && !self.reordered && !self.workspaces
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lists = [
            ("added", &self.added),
            ("removed", &self.removed),
            ("changed", &self.changed),
        ];
        for (what, names) in lists {
            if !names.is_empty() {
                writeln!(f, "  {what}: {}", quoted(names))?;
            }
        }
        if self.reordered {
            writeln!(
                f,
                "  order: the rules that both have stand in another order"
            )?;
        }
        if self.workspaces {
            writeln!(f, "  workspaces: their members, keys or quotas differ")?;
        }
        if self.is_empty() {
            writeln!(f, "  no rule: only comments, layout or \"caller\" differ")?;
        }
        Ok(())
    }
}

fn by_name(document: &Document) -> BTreeMap<&str, &Rule> {
    let rules = document.rules().iter();
    rules.map(|rule| (rule.name.as_str(), rule)).collect()
}

/// The names of the rules that `keep` takes, in the order of the document.
fn names(document: &Document, keep: impl Fn(&str) -> bool) -> Vec<String> {
    let names = document.rules().iter().map(|rule| rule.name.clone());
    names.filter(|name| keep(name)).collect()
}

fn quoted(names: &[String]) -> String {
    let names: Vec<String> = names.iter().map(|name| format!("{name:?}")).collect();
    names.join(", ")
}
