//! The objects, their versions, and a bounded log of changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use store::{Change, Condition, Deletion, Kind, Listing, Object};
use unit::{Era, Version};

/// The objects; it does no waiting and knows no faults.
#[derive(Debug, Clone)]
pub(crate) struct Memory {
    objects: BTreeMap<String, Object>,
    revision: Version,
    log: VecDeque<Entry>,
    log_length: usize,
    /// Changes up to this revision have left the log.
    compacted: Version,
}

#[derive(Debug, Clone)]
struct Entry {
    key: String,
    version: Version,
}

impl Memory {
    pub(crate) fn new(log_length: usize) -> Memory {
        Memory {
            objects: BTreeMap::new(),
            revision: Version::NONE,
            log: VecDeque::new(),
            log_length,
            compacted: Version::NONE,
        }
    }

    pub(crate) fn revision(&self) -> Version {
        self.revision
    }

    pub(crate) fn get(&self, key: &str) -> Option<Object> {
        self.objects.get(key).cloned()
    }

    pub(crate) fn put(
        &mut self,
        key: &str,
        value: Bytes,
        when: Condition,
    ) -> Result<Version, Kind> {
        self.check(key, when)?;
        let version = self.advance(key);
        let object = Object {
            key: key.to_string(),
            value,
            version,
        };
        self.objects.insert(key.to_string(), object);
        Ok(version)
    }

    pub(crate) fn delete(&mut self, key: &str, when: Condition) -> Result<(), Kind> {
        self.check(key, when)?;
        if self.objects.remove(key).is_some() {
            self.advance(key);
        }
        Ok(())
    }

    pub(crate) fn list(&self, prefix: &str) -> Listing {
        let from = self.objects.range(prefix.to_string()..);
        let under = from.take_while(|(key, _)| key.starts_with(prefix));
        Listing {
            objects: under.map(|(_, object)| object.clone()).collect(),
            revision: self.revision,
        }
    }

    /// The changes under `prefix` after `since`, or that the log no longer has them.
    ///
    /// A revision that we have not reached comes from before a restart; it counts as compacted.
    pub(crate) fn since(&self, prefix: &str, since: Version) -> Result<Change, Kind> {
        let is_of_this_era = since.era == self.revision.era;
        if !is_of_this_era || since < self.compacted || since > self.revision {
            return Err(Kind::Compacted);
        }
        let newer = self.log.iter().rev();
        let newer = newer.take_while(|entry| entry.version > since);
        let mut change = Change {
            revision: self.revision,
            ..Change::default()
        };
        let mut seen = BTreeSet::new();
        for entry in newer.filter(|entry| entry.key.starts_with(prefix)) {
            if !seen.insert(&entry.key) {
                continue;
            }
            match self.objects.get(&entry.key) {
                Some(object) => change.changed.push(object.clone()),
                None => change.deleted.push(Deletion {
                    key: entry.key.clone(),
                    version: entry.version,
                }),
            }
        }
        Ok(change)
    }

    /// Goes on from what the store held earlier, in an era that was never there. What was written in
    /// that time is gone, and its revisions are given out again.
    pub(crate) fn restore(&mut self, copy: Memory) {
        let era = Era(self.revision.era.0 + 1);
        let revision = Version::in_era(era, copy.revision.revision);
        *self = Memory {
            revision,
            compacted: revision,
            log: VecDeque::new(),
            ..copy
        };
    }

    fn check(&self, key: &str, when: Condition) -> Result<(), Kind> {
        let current = self.objects.get(key).map(|object| object.version);
        let holds = match when {
            Condition::Any => true,
            Condition::Absent => current.is_none(),
            Condition::Match(version) => current == Some(version),
        };
        if holds {
            return Ok(());
        }
        Err(Kind::Conflict(current))
    }

    fn advance(&mut self, key: &str) -> Version {
        self.revision = Version::in_era(self.revision.era, self.revision.revision + 1);
        self.log.push_back(Entry {
            key: key.to_string(),
            version: self.revision,
        });
        if self.log.len() > self.log_length
            && let Some(entry) = self.log.pop_front()
        {
            self.compacted = entry.version;
        }
        self.revision
    }
}
