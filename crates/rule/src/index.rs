//! An index that finds the rules that a path can match without testing every rule.

use std::collections::BTreeMap;

use crate::Rule;

/// Rules by the first segment of their path, as ascending lists of rule positions.
///
/// With 500 rules over 10 first segments, finding a rule takes 1.5 to 2.1 us with the index and 8.4
/// to 11.9 us with a linear scan. If all rules share one first segment, both take about the same
/// time. `cargo run --release -p rule --example decide` measures this.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Index {
    by_first_segment: BTreeMap<String, Vec<usize>>,
    without_first_segment: Vec<usize>,
}

impl Index {
    pub(crate) fn new(rules: &[Rule]) -> Index {
        let mut index = Index::default();
        for (i, rule) in rules.iter().enumerate() {
            let first = rule.when.first_segment();
            match first {
                Some(first) => index
                    .by_first_segment
                    .entry(first.to_string())
                    .or_default()
                    .push(i),
                None => index.without_first_segment.push(i),
            }
        }
        index
    }

    /// The positions of the rules whose first segment allows `path`, in the order of the rules.
    pub(crate) fn candidates(&self, path: &str) -> impl Iterator<Item = usize> {
        let first = path.split('/').find(|segment| !segment.is_empty());
        let matching = first.and_then(|first| self.by_first_segment.get(first));
        let matching = matching.map_or(&[][..], Vec::as_slice);
        merge(matching, &self.without_first_segment)
    }
}

/// Merges two ascending lists.
///
/// The lists are merged for each request instead of in advance: merged lists would repeat each rule
/// without a first segment once per first segment, 25 million entries for 10,000 rules.
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
