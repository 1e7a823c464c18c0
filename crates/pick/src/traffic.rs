//! Counts the requests that an entry sends to each region, and their bytes.

use std::collections::BTreeMap;

use serde::Serialize;

/// Largest number of regions counted; further ones are counted together under [`OTHERS`].
const MAX_REGIONS: usize = 16;
/// The name of the regions that are counted together.
pub const OTHERS: &str = "others";

/// Requests to the targets of one region since the start, and their bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Calls to targets.
    pub requests: u64,
    /// Bytes of heads, bodies and answers.
    pub bytes: u64,
}

/// The traffic of one entry and service by the region of the target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    counts: BTreeMap<String, Count>,
}

impl Table {
    pub(crate) fn count(&mut self, region: &str) -> &mut Count {
        let room = self.counts.len() < MAX_REGIONS || self.counts.contains_key(region);
        let region = if room { region } else { OTHERS };
        self.counts.entry(region.to_string()).or_default()
    }

    pub(crate) fn counts(&self) -> BTreeMap<String, Count> {
        self.counts.clone()
    }
}
