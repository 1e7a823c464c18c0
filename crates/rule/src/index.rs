//! Finds the rules that a path can match, without trying all of them.

use std::collections::BTreeMap;

use crate::Rule;

/// The rules by the first segment of their path, each list in the order of the rules.
///
/// At 500 rules over 10 first segments a decision takes 1.5 to 2.1 us with it, and 8.4 to 11.9 us
/// as a scan; where all rules share one first segment, the two are alike
/// (`cargo run --release -p rule --example decide`).
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Index {
    by_first: BTreeMap<String, Vec<usize>>,
    others: Vec<usize>,
}

impl Index {
    pub(crate) fn of(rules: &[Rule]) -> Index {
        let mut index = Index::default();
        for (i, rule) in rules.iter().enumerate() {
            let first = rule.when.first_segment();
            match first {
                Some(first) => index.by_first.entry(first.to_string()).or_default().push(i),
                None => index.others.push(i),
            }
        }
        index
    }

    /// The numbers of the rules whose first segment fits `path`, in the order of the rules.
    pub(crate) fn candidates(&self, path: &str) -> impl Iterator<Item = usize> {
        let first = path.split('/').find(|segment| !segment.is_empty());
        let named = first.and_then(|first| self.by_first.get(first));
        let named = named.map_or(&[][..], Vec::as_slice);
        merge(named, &self.others)
    }
}

/// Merges two ascending lists.
///
/// We merge for each request instead of once: lists merged in advance would take rules without a
/// first segment times first segments of memory, 25 million numbers for 10,000 rules.
fn merge<'a>(mut a: &'a [usize], mut b: &'a [usize]) -> impl Iterator<Item = usize> + 'a {
    std::iter::from_fn(move || {
        let from_a = match (a.first(), b.first()) {
            (Some(x), Some(y)) => x < y,
            (x, _) => x.is_some(),
        };
        let list = if from_a { &mut a } else { &mut b };
        let (first, rest) = list.split_first()?;
        *list = rest;
        Some(*first)
    })
}
