//! An in-memory index of the sealed segments that may hold a key.

use std::collections::BTreeMap;
use std::ops::Range;

use unit::Digest;

use crate::claim::Moment;
use crate::slot::Generation;

/// The keys of all sealed segments, eight bytes each.
///
/// Eight bytes of a key suffice to rule a segment out. A hit is checked against the segment itself,
/// so a collision of the eight bytes does no harm.
#[derive(Debug, Default)]
pub(crate) struct Index {
    segments: BTreeMap<u64, Segment>,
    keys: usize,
}

#[derive(Debug)]
struct Segment {
    prefixes: Vec<u64>,
    newest: Moment,
}

fn prefix(key: Digest) -> u64 {
    (key.0 >> 64) as u64
}

impl Index {
    pub(crate) fn insert(&mut self, number: u64, generation: &Generation) {
        // The keys are sorted, so their high halves are sorted too, as the binary search requires.
        let prefixes: Vec<u64> = generation.keys().map(prefix).collect();
        self.remove(number);
        self.keys += prefixes.len();
        let newest = generation.newest();
        self.segments.insert(number, Segment { prefixes, newest });
    }

    pub(crate) fn remove(&mut self, number: u64) {
        let removed = self.segments.remove(&number);
        self.keys -= removed.map_or(0, |segment| segment.prefixes.len());
    }

    /// Removes all segments outside the range that a head counts.
    pub(crate) fn retain(&mut self, counted: Range<u64>) {
        let numbers = self.segments.keys().copied();
        let others: Vec<u64> = numbers.filter(|n| !counted.contains(n)).collect();
        others.into_iter().for_each(|number| self.remove(number));
    }

    pub(crate) fn contains(&self, number: u64) -> bool {
        self.segments.contains_key(&number)
    }

    pub(crate) fn newest(&self, number: u64) -> Option<Moment> {
        self.segments.get(&number).map(|segment| segment.newest)
    }

    /// The segments that may hold the key, the newest first.
    pub(crate) fn candidates(&self, key: Digest) -> Vec<u64> {
        let prefix = prefix(key);
        let newest_first = self.segments.iter().rev();
        let candidates =
            newest_first.filter(|(_, segment)| segment.prefixes.binary_search(&prefix).is_ok());
        candidates.map(|(number, _)| *number).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.keys
    }
}
