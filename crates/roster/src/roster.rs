//! The records that a daemon holds, and how new ones come in.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use unit::{Fingerprint, Instance, Service, Version, Zone};

use crate::ask::Asking;
use crate::entry::Entry;
use crate::listing::Allowance;
use crate::observer::Subjects;
use crate::own::Own;
use crate::policy::Policy;
use crate::record::{Merge, Record, State};
use crate::review::Blind;
use crate::summary::Summary;
use crate::target::Target;

/// All that one daemon knows of the instances; see the [crate's page](crate).
#[derive(Debug)]
pub struct Roster {
    pub(crate) me: Instance,
    pub(crate) policy: Policy,
    pub(crate) entries: BTreeMap<Instance, Entry>,
    pub(crate) summary: Summary,
    pub(crate) own: Own,
    pub(crate) subjects: Subjects,
    pub(crate) asking: Asking,
    pub(crate) allowance: Allowance,
    pub(crate) reviewed: Instant,
    pub(crate) blind: Blind,
    pub(crate) rng: Pcg64Mcg,
    /// Counts changes that a reader of targets can notice.
    version: u64,
    /// Counts changes to who exists where, on which the ranks depend.
    members: u64,
    /// Services whose targets have changed since these were last taken.
    changed_services: BTreeSet<Service>,
}

impl Roster {
    /// A roster that knows only its own instance, as `own` announces it.
    ///
    /// The incarnation must be above that of any earlier life under the same name: the wall
    /// clock's milliseconds at start serve well, and need no call to the platform.
    pub fn new(now: Instant, own: Record, policy: Policy, seed: u64) -> Roster {
        let mut roster = Roster {
            me: own.instance.clone(),
            entries: BTreeMap::new(),
            summary: Summary::default(),
            own: Own::new(now, own.clone()),
            subjects: Subjects::default(),
            asking: Asking::new(now),
            allowance: Allowance::new(now, policy.max_listing_removals),
            reviewed: now,
            blind: Blind::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            version: 0,
            members: 1,
            changed_services: BTreeSet::new(),
            policy,
        };
        roster.place(now, own);
        roster
    }

    /// Takes a record in, from whatever source, if it is newer than what is held.
    ///
    /// A record about this daemon's own instance that it did not make is answered by a higher
    /// incarnation; see [`Roster::take_announcement`].
    pub fn merge(&mut self, now: Instant, record: Record) -> Merge {
        if record.instance == self.me {
            return self.merge_own(now, record);
        }
        self.place(now, record)
    }

    /// The record of an instance, also if it has gone but is still remembered.
    pub fn get(&self, instance: &Instance) -> Option<&Record> {
        self.entries.get(instance).map(|entry| &entry.record)
    }

    /// The instances of a service that take new work, by name, suspects marked.
    pub fn live(&self, service: &Service) -> Vec<Target> {
        let entries = self.entries.values();
        let live = entries.filter(|entry| entry.is_live() && entry.record.service == *service);
        live.map(|entry| Target::of(&entry.record, entry.sight.suspect))
            .collect()
    }

    /// All other instances that have not gone: those that links may be opened to and taken from.
    pub fn peers(&self) -> impl Iterator<Item = &Record> {
        let others = self.records().filter(|record| record.instance != self.me);
        others.filter(|record| record.state != State::Gone)
    }

    /// Who shows `fingerprint` on a link, also if it is held for gone.
    ///
    /// A link of a gone instance must be accepted for heartbeats and records: a live instance
    /// that was removed by mistake learns of it, and refutes it, only if somebody talks to it.
    /// Work is taken from and sent to [`peers`](Roster::peers) only.
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

    /// This daemon's zone.
    pub fn zone(&self) -> &Zone {
        &self.own.record().zone
    }

    /// The settings.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Rises whenever a reader of records or targets could notice a change.
    pub fn version(&self) -> Version {
        Version::of(self.version)
    }

    /// Rises whenever who exists where has changed.
    pub(crate) fn members(&self) -> u64 {
        self.members
    }

    /// The services whose targets have changed since the last call.
    pub fn take_changed_services(&mut self) -> BTreeSet<Service> {
        std::mem::take(&mut self.changed_services)
    }

    /// Puts a record in place if it is newer, and keeps digests and counters true.
    pub(crate) fn place(&mut self, now: Instant, record: Record) -> Merge {
        let Some(entry) = self.entries.get_mut(&record.instance) else {
            return self.insert(now, record);
        };
        if !record.supersedes(&entry.record) {
            return Merge::Old;
        }
        let before = entry.record.service.clone();
        let after = record.service.clone();
        let moved = entry.record.zone != record.zone || entry.is_gone();
        let dies = record.state == State::Gone;
        self.summary.remove(&entry.record, entry.digest);
        entry.replace(now, record);
        self.summary.add(&entry.record, entry.digest);
        self.members += u64::from(moved || dies);
        self.note_change(before);
        self.note_change(after);
        Merge::Changed
    }

    fn insert(&mut self, now: Instant, record: Record) -> Merge {
        let entry = Entry::new(now, record);
        self.summary.add(&entry.record, entry.digest);
        let service = entry.record.service.clone();
        self.members += 1;
        self.entries.insert(entry.record.instance.clone(), entry);
        self.note_change(service);
        Merge::New
    }

    /// Notes that a reader of `service` could see a change.
    pub(crate) fn note_change(&mut self, service: Service) {
        self.version += 1;
        self.changed_services.insert(service);
    }
}
