//! Anti-entropy: digests by which two daemons find the few records that differ.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::Instance;
use xxhash_rust::xxh3::Xxh3;

use crate::entry::Entry;
use crate::rank;
use crate::record::{Merge, Record, State};
use crate::roster::Roster;

/// The number of buckets into which instances are divided by the hash of their names.
///
/// At 1,800 instances a bucket holds 28. More buckets make the summary longer, which is sent often;
/// fewer make each bucket longer, which is sent only when it differs.
pub const BUCKETS: usize = 64;

/// The number of a bucket, below [`BUCKETS`].
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
pub struct Bucket(u8);

/// One digest for each bucket, independent of the order in which records arrived.
///
/// Records of gone instances are left out. Daemons drop these at different times, so digests that
/// included them would differ, and daemons would exchange them for ever.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    digests: Vec<u64>,
}

/// The result of merging a neighbour's records of a bucket.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Exchange {
    /// Records that changed this roster.
    pub updates: Vec<Record>,
    /// Records that the neighbour lacks or holds in an older form; to be sent to it.
    pub reply: Vec<Record>,
}

impl Bucket {
    pub(crate) fn of(instance: &Instance) -> Bucket {
        Bucket::of_key(rank::key(instance.as_str()))
    }

    /// The bucket of the instance whose name has this hash.
    fn of_key(key: u64) -> Bucket {
        Bucket((key % BUCKETS as u64) as u8)
    }

    fn index(self) -> usize {
        usize::from(self.0) % BUCKETS
    }
}

impl Default for Summary {
    fn default() -> Summary {
        Summary {
            digests: vec![0; BUCKETS],
        }
    }
}

impl Summary {
    /// A digest over all buckets, for heartbeats: equal rosters have equal totals.
    pub fn total(&self) -> u64 {
        let mut state = Xxh3::new();
        for digest in &self.digests {
            state.update(&digest.to_le_bytes());
        }
        state.digest()
    }

    /// Adds a record. Addition is commutative, so the order doesn't matter, and it can be undone.
    pub(crate) fn add(&mut self, record: &Record, digest: u64) {
        if record.state != State::Gone {
            let at = Bucket::of(&record.instance).index();
            self.digests[at] = self.digests[at].wrapping_add(digest);
        }
    }

    pub(crate) fn remove(&mut self, record: &Record, digest: u64) {
        if record.state != State::Gone {
            let at = Bucket::of(&record.instance).index();
            self.digests[at] = self.digests[at].wrapping_sub(digest);
        }
    }

    /// The buckets in which `self` and `other` differ; a digest that one of them lacks differs.
    fn differing(&self, other: &Summary) -> Vec<Bucket> {
        let at = |number: &usize| self.digests.get(*number) != other.digests.get(*number);
        let numbers = (0..BUCKETS).filter(at);
        numbers.map(|number| Bucket(number as u8)).collect()
    }
}

/// The digest of one record over all its fields, each prefixed with its length.
pub(crate) fn digest(record: &Record) -> u64 {
    let link = record.link.to_string();
    let parts: [&[u8]; 8] = [
        record.instance.as_str().as_bytes(),
        &record.incarnation.0.to_le_bytes(),
        &[record.state as u8],
        record.zone.as_str().as_bytes(),
        record.region.as_bytes(),
        record.service.as_str().as_bytes(),
        link.as_bytes(),
        &record.fingerprint.0,
    ];
    unit::Digest::of_parts(&parts).0 as u64
}

impl Roster {
    /// The digests of the records held, kept up to date by each merge.
    pub fn summary(&self) -> &Summary {
        &self.summary
    }

    /// The buckets in which a neighbour's summary differs from what is held here.
    pub fn differing_buckets(&self, theirs: &Summary) -> Vec<Bucket> {
        self.summary.differing(theirs)
    }

    /// The records of a bucket, without those of gone instances.
    pub fn bucket(&self, bucket: Bucket) -> Vec<Record> {
        let inside = |entry: &&Entry| !entry.is_gone() && Bucket::of_key(entry.key) == bucket;
        let entries = self.entries.values().filter(inside);
        entries.map(|entry| entry.record.clone()).collect()
    }

    /// Merges a neighbour's records of a bucket, and returns what the neighbour is to be sent.
    ///
    /// The record of a gone instance is sent only to a neighbour that holds the instance as live.
    /// So tombstones reach all who need them, and still expire everywhere.
    pub fn exchange(&mut self, now: Instant, bucket: Bucket, theirs: Vec<Record>) -> Exchange {
        let mut result = Exchange::default();
        let mut named = Vec::with_capacity(theirs.len());
        for record in theirs {
            named.push(record.instance.clone());
            self.exchange_one(now, record, &mut result);
        }
        named.sort_unstable();
        let unnamed = |record: &Record| named.binary_search(&record.instance).is_err();
        let lacking = self.bucket(bucket).into_iter().filter(unnamed);
        result.reply.extend(lacking);
        result
    }

    fn exchange_one(&mut self, now: Instant, record: Record, result: &mut Exchange) {
        if self.merge(now, record.clone()) != Merge::Old {
            result.updates.push(record);
            return;
        }
        let held = self.get(&record.instance);
        let newer = held.filter(|held| held.supersedes(&record));
        result.reply.extend(newer.cloned());
    }
}
