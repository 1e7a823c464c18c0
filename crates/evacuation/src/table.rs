//! The newest record of each zone.

use std::collections::BTreeMap;

use unit::{Era, Version, Zone};
use xxhash_rust::xxh3::Xxh3;

use crate::Record;

/// Maximum number of zones that a table holds. Records of further zones are ignored, so that a
/// faulty writer can't fill the memory of all daemons.
pub const MAX_ZONES: usize = 256;

/// The newest record of each zone that is or was evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    records: BTreeMap<Zone, Record>,
}

impl Table {
    /// Merges a record. Returns whether it is new here.
    pub fn merge(&mut self, record: &Record) -> bool {
        let known = self.records.get(&record.zone);
        if known.is_some_and(|known| !record.supersedes(known)) {
            return false;
        }
        if known.is_none() && self.records.len() >= MAX_ZONES {
            log::warn!(
                "evacuation: zone {} is ignored: {MAX_ZONES} zones are known.",
                record.zone
            );
            return false;
        }
        self.records.insert(record.zone.clone(), record.clone());
        true
    }

    /// Merges a complete listing that was made at `revision`, and returns the records that are new
    /// here. Zones that are missing from it are no longer evacuated.
    pub fn apply_listing(&mut self, listed: &[Record], revision: Version) -> Vec<Record> {
        self.apply(listed, revision, |_| true)
    }

    /// The same for a store that has just been restored from an older copy. Evacuations of former
    /// eras go on, because the operator may be about to write them again.
    pub fn apply_restored_listing(&mut self, listed: &[Record], revision: Version) -> Vec<Record> {
        let same_era = |era: Era| era == revision.era;
        self.apply(listed, revision, |known| same_era(known.version.era))
    }

    fn apply(
        &mut self,
        listed: &[Record],
        revision: Version,
        may_end: impl Fn(&Record) -> bool,
    ) -> Vec<Record> {
        let is_listed = |zone: &Zone| listed.iter().any(|record| record.zone == *zone);
        let known = self.records.values();
        let missing = known.filter(|known| known.evacuated && !is_listed(&known.zone));
        let ended = missing.filter(|known| may_end(known)).map(|known| Record {
            zone: known.zone.clone(),
            version: revision,
            evacuated: false,
        });
        let ended: Vec<Record> = ended.collect();
        let all = listed.iter().chain(&ended).cloned();
        all.filter(|record| self.merge(record)).collect()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        let record = self.records.get(zone);
        record.is_some_and(|record| record.evacuated)
    }

    /// The evacuated zones, by name.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        let records = self.records.values().filter(|record| record.evacuated);
        records.map(|record| &record.zone)
    }

    /// All records, by zone.
    pub fn records(&self) -> Vec<Record> {
        self.records.values().cloned().collect()
    }

    /// A digest of all records, by which two daemons check that they agree; 0 if there are none.
    pub fn digest(&self) -> u64 {
        if self.records.is_empty() {
            return 0;
        }
        let mut hasher = Xxh3::new();
        for record in self.records.values() {
            hasher.update(record.zone.as_str().as_bytes());
            hasher.update(&record.version.era.0.to_le_bytes());
            hasher.update(&record.version.revision.to_le_bytes());
            hasher.update(&[u8::from(record.evacuated)]);
        }
        hasher.digest()
    }
}
