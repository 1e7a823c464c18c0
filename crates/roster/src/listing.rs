//! What the platform's listing of announcements adds, and what its gaps may remove.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;
use unit::{Instance, Version};

use crate::entry::Entry;
use crate::record::{Merge, Record, State};
use crate::roster::Roster;

/// The time in which [`Builder::max_listing_removals`](crate::Builder::max_listing_removals) removals may happen.
const WINDOW: Duration = Duration::from_secs(60);

/// What a listing led to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Records that were news here, removals included; they are to be relayed.
    pub updates: Vec<Record>,
    /// Own-zone instances that are heard though their objects are missing: a watcher writes
    /// these objects again, only where none is, and within its budget of calls.
    pub restore: Vec<Record>,
    /// Objects of instances that are known to be gone: a watcher deletes these, on condition
    /// that they are still at the version listed.
    pub stale: Vec<Record>,
    /// Instances whose objects are missing and that were kept all the same.
    pub held: Vec<Instance>,
}

/// How many instances the platform's word alone may still remove.
#[derive(Debug)]
pub(crate) struct Allowance {
    revision: Option<Version>,
    window: Instant,
    left: usize,
}

impl Allowance {
    pub(crate) fn new(now: Instant, most: usize) -> Allowance {
        Allowance {
            revision: None,
            window: now,
            left: most,
        }
    }
}

impl Roster {
    /// Takes in a whole listing of `instances/` at the platform's `revision`.
    ///
    /// What it shows is merged. What it lacks is removed with care, for a store that has lost
    /// its data, or was restored from an older copy, lists few instances or none while all of
    /// them work. Believing it would leave callers without targets. So an instance is kept if
    ///
    /// - the listing may be older than its announcement: it was never listed and is fresh;
    /// - the listing is not newer than the last one;
    /// - it is heard on links or by heartbeats;
    /// - more instances are missing than may vanish within a minute. Real departures say
    ///   `Leaving` first and don't count, crashes are found by observers, and so a sharp drop is
    ///   the platform's fault; an object deleted by hand is one or a few.
    pub fn apply_listing(&mut self, now: Instant, shown: &[Record], revision: Version) -> Listing {
        let mut listing = Listing::default();
        let step = self.advance(revision);
        for record in shown {
            self.apply_shown(now, record, revision, &mut listing);
        }
        let names: BTreeSet<&Instance> = shown.iter().map(|record| &record.instance).collect();
        let missing = self.missing_from(now, &names, revision, step);
        self.apply_missing(now, missing, step, &mut listing);
        if step == Step::Back {
            self.start_anew(now);
        }
        listing
    }

    /// Takes in a listing that may be old: what it shows is merged, and what it lacks says nothing.
    pub fn apply_old_listing(&mut self, now: Instant, shown: &[Record]) -> Listing {
        let is_new = |record: &&Record| self.merge(now, (*record).clone()) != Merge::Old;
        let updates = shown.iter().filter(is_new).cloned().collect();
        Listing {
            updates,
            ..Listing::default()
        }
    }

    /// Takes in one deleted object, as a watch on the platform tells it.
    pub fn apply_deleted(&mut self, now: Instant, name: &Instance, revision: Version) -> Listing {
        let mut listing = Listing::default();
        let step = self.advance(revision);
        // A name may live again before the deletion of its former object is told here.
        let entry = self.entries.get(name);
        if entry.is_some_and(|entry| self.is_dated(now, entry, revision, step)) {
            self.apply_missing(now, vec![name.clone()], step, &mut listing);
        }
        listing
    }

    /// Takes in one written object, as a watch on the platform tells it.
    pub fn apply_written(&mut self, now: Instant, record: &Record, revision: Version) -> Listing {
        let mut listing = Listing::default();
        self.advance(revision);
        self.apply_shown(now, record, revision, &mut listing);
        listing
    }

    /// Moves to the revision of a listing or change, which may also have gone back.
    fn advance(&mut self, revision: Version) -> Step {
        match self.allowance.revision.replace(revision) {
            Some(before) if revision < before || revision.era != before.era => Step::Back,
            Some(before) if revision == before => Step::Same,
            _ => Step::Newer,
        }
    }

    /// Starts anew from a restored store: nothing counts as listed, so that the gaps of later
    /// listings are held against nobody for a grace time.
    fn start_anew(&mut self, now: Instant) {
        log::warn!("roster: the platform's revision went back.");
        let entries = self.entries.values_mut();
        for entry in entries.filter(|entry| !entry.is_gone()) {
            entry.listed = None;
            entry.since = now;
        }
    }

    fn apply_shown(
        &mut self,
        now: Instant,
        record: &Record,
        revision: Version,
        listing: &mut Listing,
    ) {
        if self.merge(now, record.clone()) != Merge::Old {
            listing.updates.push(record.clone());
        }
        let Some(entry) = self.entries.get_mut(&record.instance) else {
            return;
        };
        entry.listed = Some(revision);
        if entry.is_gone() && self.may_sweep(record) {
            listing.stale.push(record.clone());
        }
    }

    /// Whether deleting the object of a gone instance falls to this daemon's zone: it is its own,
    /// or nobody there is left to do it.
    fn may_sweep(&self, record: &Record) -> bool {
        record.zone == *self.zone() || self.watchers(&record.zone, 1).is_empty()
    }

    fn missing_from(
        &self,
        now: Instant,
        shown: &BTreeSet<&Instance>,
        revision: Version,
        step: Step,
    ) -> Vec<Instance> {
        let dated = |entry: &&Entry| self.is_dated(now, entry, revision, step);
        let entries = self.entries.values();
        let absent = entries.filter(|entry| !shown.contains(&entry.record.instance));
        let missing = absent.filter(dated);
        missing.map(|entry| entry.record.instance.clone()).collect()
    }

    /// Whether an object that is missing at `revision` counts against its instance: it was listed
    /// before, or has had the time to be.
    fn is_dated(&self, now: Instant, entry: &Entry, revision: Version, step: Step) -> bool {
        let dated = match entry.listed {
            _ if step == Step::Back => true,
            Some(listed) => listed < revision,
            None => now.saturating_duration_since(entry.since) >= self.policy.grace,
        };
        dated && !entry.is_gone()
    }

    fn apply_missing(
        &mut self,
        now: Instant,
        missing: Vec<Instance>,
        step: Step,
        listing: &mut Listing,
    ) {
        let mut vanished = Vec::new();
        let mut silent = Vec::new();
        for name in missing {
            match self.standing(now, &name) {
                Standing::Own => self.rewrite(now),
                Standing::Heard => self.hold_heard(name, listing),
                Standing::Left => vanished.push(name),
                Standing::Silent => silent.push(name),
            }
        }
        if step != Step::Newer {
            silent.append(&mut vanished);
        } else if self.spend(now, silent.len()) {
            vanished.append(&mut silent);
        }
        if !silent.is_empty() {
            let count = silent.len();
            log::warn!("roster: {count} objects are missing, and their instances kept.");
        }
        listing.held.append(&mut silent);
        for name in vanished {
            self.vanish(now, &name, listing);
        }
    }

    fn standing(&self, now: Instant, name: &Instance) -> Standing {
        let Some(entry) = self.entries.get(name) else {
            return Standing::Left;
        };
        if *name == self.me {
            return Standing::Own;
        }
        if entry.sight.seen_within(now, self.policy.suspect_after) {
            return Standing::Heard;
        }
        match entry.record.state {
            State::Live => Standing::Silent,
            State::Leaving | State::Gone => Standing::Left,
        }
    }

    fn hold_heard(&mut self, name: Instance, listing: &mut Listing) {
        let record = self.get(&name).cloned();
        let live = record.filter(|record| record.state == State::Live);
        let near = live.filter(|record| record.zone == *self.zone());
        listing.restore.extend(near);
        listing.held.push(name);
    }

    fn vanish(&mut self, now: Instant, name: &Instance, listing: &mut Listing) {
        let Some(gone) = self.get(name).map(Record::gone) else {
            return;
        };
        if self.place(now, gone.clone()) != Merge::Old {
            listing.updates.push(gone);
        }
    }

    /// Takes `count` removals from the allowance of this minute; all or none.
    fn spend(&mut self, now: Instant, count: usize) -> bool {
        if now.saturating_duration_since(self.allowance.window) >= WINDOW {
            self.allowance.window = now;
            self.allowance.left = self.policy.max_listing_removals;
        }
        if count > self.allowance.left {
            return false;
        }
        self.allowance.left -= count;
        true
    }
}

/// How a revision compares with the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Newer,
    Same,
    /// The store was restored, or the answer comes late.
    Back,
}

/// How an instance stands whose object is missing.
enum Standing {
    Own,
    Heard,
    Left,
    Silent,
}
