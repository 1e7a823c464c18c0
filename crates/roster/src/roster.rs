//! The records that a daemon holds, and the merging of new ones.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use unit::{Fingerprint, Instance, Service, Version, Zone};

use crate::ask::Fallback;
use crate::entry::Entry;
use crate::index::Index;
use crate::listing::Allowance;
use crate::observer::Subjects;
use crate::own::Own;
use crate::policy::Policy;
use crate::record::{Merge, Record, State};
use crate::review::Isolation;
use crate::summary::Summary;
use crate::target::Target;

/// All that one daemon knows about the instances; see the [crate's documentation](crate).
#[derive(Debug)]
pub struct Roster {
    pub(crate) me: Instance,
    pub(crate) policy: Policy,
    pub(crate) entries: BTreeMap<Instance, Entry>,
    /// The instances among them that are not gone.
    pub(crate) index: Index,
    pub(crate) summary: Summary,
    pub(crate) own: Own,
    pub(crate) subjects: Subjects,
    pub(crate) fallback: Fallback,
    pub(crate) allowance: Allowance,
    pub(crate) last_review: Instant,
    pub(crate) isolation: Isolation,
    pub(crate) rng: Pcg64Mcg,
    /// Counts changes that a reader of records or targets can notice.
    version: u64,
    /// Counts changes of which instances exist and in which zones; the ranks depend on it.
    membership: u64,
    /// Services whose targets have changed since the last [`Roster::take_changed_services`].
    changed_services: BTreeSet<Service>,
    /// Instances that have changed since the last [`Roster::take_changed_instances`].
    changed_instances: BTreeSet<Instance>,
}

impl Roster {
    /// Returns a roster that knows only its own instance, as `own` announces it.
    ///
    /// The incarnation must be above that of any earlier process of the same name. The wall clock's
    /// milliseconds at the start serve well, and need no call to the platform.
    pub fn new(now: Instant, own: Record, policy: Policy, seed: u64) -> Roster {
        let mut roster = Roster {
            me: own.instance.clone(),
            entries: BTreeMap::new(),
            index: Index::default(),
            summary: Summary::default(),
            own: Own::new(now, own.clone()),
            subjects: Subjects::default(),
            fallback: Fallback::new(now),
            allowance: Allowance::new(now, policy.max_listing_removals),
            last_review: now,
            isolation: Isolation::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            version: 0,
            membership: 1,
            changed_services: BTreeSet::new(),
            changed_instances: BTreeSet::new(),
            policy,
        };
        roster.upsert(now, own);
        roster
    }

    /// Merges a record from any source if it is newer than the one held.
    ///
    /// A record about this daemon's own instance that the daemon did not make is answered with a
    /// higher incarnation; see [`Roster::take_announcement`].
    pub fn merge(&mut self, now: Instant, record: Record) -> Merge {
        if record.instance == self.me {
            return self.merge_own(now, record);
        }
        self.upsert(now, record)
    }

    /// The record of an instance, also if the instance is gone and its record has not expired.
    pub fn get(&self, instance: &Instance) -> Option<&Record> {
        self.entries.get(instance).map(|entry| &entry.record)
    }

    /// The live instances of a service, ordered by name, with suspects marked.
    pub fn live(&self, service: &Service) -> Vec<Target> {
        let entries = self.entries.values();
        let live = entries.filter(|entry| entry.is_live() && entry.record.service == *service);
        live.map(|entry| Target::of(&entry.record, entry.observation.suspect))
            .collect()
    }

    /// All other instances that are not gone: links may be opened to and accepted from these.
    pub fn peers(&self) -> impl Iterator<Item = &Record> {
        let others = self.records().filter(|record| record.instance != self.me);
        others.filter(|record| record.state != State::Gone)
    }

    /// The record of the instance whose certificate has `fingerprint`, also if that instance is
    /// gone.
    ///
    /// A link from a gone instance must be accepted for heartbeats and records: a live instance
    /// that was removed by mistake learns of it, and refutes it, only if other daemons communicate
    /// with it. Work is accepted from and sent to [`peers`](Roster::peers) only.
    pub fn by_fingerprint(&self, fingerprint: &Fingerprint) -> Option<&Record> {
        self.records()
            .find(|record| record.fingerprint == *fingerprint)
    }

    /// All records, those of gone instances included.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// This daemon's own instance.
    pub fn me(&self) -> &Instance {
        &self.me
    }

    /// The availability zone of this daemon's instance.
    pub fn zone(&self) -> &Zone {
        &self.own.record().zone
    }

    /// Whether `instance` is in this daemon's zone, or nobody else is.
    pub fn is_near(&self, instance: &Instance) -> bool {
        let zone = self.zone();
        let is_there = self
            .get(instance)
            .is_some_and(|record| record.zone == *zone);
        is_there || self.index.members(zone).len() < 2
    }

    /// The settings of this roster.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// A counter that rises whenever a reader of records or targets could notice a change.
    pub fn version(&self) -> Version {
        Version::of(self.version)
    }

    /// A counter that rises whenever an instance appears, moves to another zone or is gone.
    pub(crate) fn membership(&self) -> u64 {
        self.membership
    }

    /// Returns the services whose targets have changed since the last call.
    pub fn take_changed_services(&mut self) -> BTreeSet<Service> {
        std::mem::take(&mut self.changed_services)
    }

    /// Returns the instances whose record, or whose suspicion here, has changed since the last call.
    pub fn take_changed_instances(&mut self) -> BTreeSet<Instance> {
        std::mem::take(&mut self.changed_instances)
    }

    /// Stores a record if it is newer, and updates the digests and counters.
    pub(crate) fn upsert(&mut self, now: Instant, record: Record) -> Merge {
        let Some(entry) = self.entries.get_mut(&record.instance) else {
            return self.insert(now, record);
        };
        if !record.supersedes(&entry.record) {
            return Merge::Old;
        }
        let before = entry.record.service.clone();
        let after = record.service.clone();
        let moved = entry.record.zone != record.zone || entry.is_gone();
        let stopped = record.state == State::Gone;
        self.summary.remove(&entry.record, entry.digest);
        self.index.remove(entry);
        entry.replace(now, record);
        self.summary.add(&entry.record, entry.digest);
        self.index.add(entry);
        self.membership += u64::from(moved || stopped);
        let instance = entry.record.instance.clone();
        self.note_change(&instance, before);
        self.note_change(&instance, after);
        Merge::Changed
    }

    fn insert(&mut self, now: Instant, record: Record) -> Merge {
        let entry = Entry::new(now, record);
        self.summary.add(&entry.record, entry.digest);
        self.index.add(&entry);
        let service = entry.record.service.clone();
        self.membership += 1;
        let instance = entry.record.instance.clone();
        self.entries.insert(instance.clone(), entry);
        self.note_change(&instance, service);
        Merge::New
    }

    /// Records that a reader of `service` could notice a change of `instance`.
    pub(crate) fn note_change(&mut self, instance: &Instance, service: Service) {
        self.version += 1;
        self.changed_services.insert(service);
        self.changed_instances.insert(instance.clone());
    }
}
