//! Finds rules that can never match.

use derive_more::Display;
use jsonc::Position;

use crate::Rule;
use crate::index::Index;

/// A rule that can never match because an earlier rule matches all of its requests.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{position}: rule {rule:?} can never match: rule {shadowed_by:?} matches first")]
pub struct Warning {
    /// The position of the rule in the document.
    pub position: Position,
    /// The rule's name.
    pub rule: String,
    /// The name of the first rule that matches all of its requests.
    pub shadowed_by: String,
}

/// A rule that can never match and the first rule that covers it, as positions in the list.
pub(crate) struct Shadow {
    pub(crate) rule: usize,
    pub(crate) by: usize,
}

/// Compares each rule with the earlier rules that the index finds for its first path segment.
pub(crate) fn find(rules: &[Rule], index: &Index) -> Vec<Shadow> {
    let mut shadows = Vec::new();
    for (i, rule) in rules.iter().enumerate() {
        let first = rule.when.first_segment();
        let earlier = index.candidates(first.unwrap_or_default());
        let mut earlier = earlier.take_while(|by| *by < i);
        if let Some(by) = earlier.find(|by| rules[*by].when.covers(&rule.when)) {
            shadows.push(Shadow { rule: i, by });
        }
    }
    shadows
}
