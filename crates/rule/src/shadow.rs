//! Finds rules that can never match.

use derive_more::Display;
use jsonc::Position;

use crate::Rule;
use crate::index::Index;

/// A rule that can never match, because an earlier one takes all its requests.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{position}: rule {rule:?} can never match: rule {shadowed_by:?} matches first")]
pub struct Warning {
    /// The place of the rule.
    pub position: Position,
    /// The rule's name.
    pub rule: String,
    /// The name of the first rule that takes all its requests.
    pub shadowed_by: String,
}

/// The number of a rule that can never match, and that of the first rule that covers it.
pub(crate) struct Shadow {
    pub(crate) rule: usize,
    pub(crate) by: usize,
}

/// Compares each rule with those before it whose paths can cover its own.
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
