//! Applies the platform's listings and watch events, and limits what missing objects may remove.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;
use unit::{Instance, Version};

use crate::entry::Entry;
use crate::record::{Merge, Record, State};
use crate::roster::Roster;

/// The window in which at most
/// [`Builder::max_listing_removals`](crate::Builder::max_listing_removals) removals may happen.
const WINDOW: Duration = Duration::from_secs(60);

/// The effect of a listing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Records that changed this roster, removals included; to be relayed.
    pub updates: Vec<Record>,
    /// Instances of this zone that were seen recently although their objects are missing. A watcher
    /// writes these objects again, only if no object exists, and within its budget of calls.
    pub restore: Vec<Record>,
    /// Listed objects of gone instances. A watcher deletes these, on condition that they are still
    /// at the listed version.
    pub stale: Vec<Record>,
    /// Instances that were kept although their objects are missing.
    pub held: Vec<Instance>,
}

/// How many instances missing objects may still remove in the present window.
#[derive(Debug)]
pub(crate) struct Allowance {
    revision: Option<Version>,
    window_start: Instant,
    remaining: usize,
}

impl Allowance {
    pub(crate) fn new(now: Instant, max: usize) -> Allowance {
        Allowance {
            revision: None,
            window_start: now,
            remaining: max,
        }
    }
}

impl Roster {
    /// Applies a complete listing of `instances/` at the platform's `revision`.
    ///
    /// Listed records are merged. Missing ones are removed with care: a store that has lost its
    /// data, or was restored from an older copy, lists few instances or none while all of them
    /// work. Removing these would leave callers without targets. So an instance is kept if one of
    /// these holds:
    ///
    /// - The listing may be older than its announcement: it was never listed, and the grace time
    ///   has not passed.
    /// - The listing is not newer than the last one.
    /// - Something was received from it recently, over a link or as a heartbeat.
    /// - More silent instances are missing than may be removed within a minute. Instances that
    ///   depart announce `Leaving` first and don't count, and observers detect crashes. So a sharp
    ///   drop is a fault of the platform, whereas objects deleted by hand are one or a few.
    pub fn apply_listing(&mut self, now: Instant, shown: &[Record], revision: Version) -> Listing {
        let mut listing = Listing::default();
        let step = self.advance(revision);
        for record in shown {
            self.apply_listed(now, record, revision, &mut listing);
        }
        let names: BTreeSet<&Instance> = shown.iter().map(|record| &record.instance).collect();
        let missing = self.missing_from(now, &names, revision, step);
        self.apply_missing(now, missing, step, &mut listing);
        if step == Step::Backwards {
            self.reset_listed(now);
        }
        listing
    }

    /// Merges the records of a listing that may be stale. Missing records are ignored.
    pub fn apply_old_listing(&mut self, now: Instant, shown: &[Record]) -> Listing {
        let is_new = |record: &&Record| self.merge(now, (*record).clone()) != Merge::Old;
        let updates = shown.iter().filter(is_new).cloned().collect();
        Listing {
            updates,
            ..Listing::default()
        }
    }

    /// Applies the deletion of one object, as reported by a watch on the platform.
    pub fn apply_deleted(&mut self, now: Instant, name: &Instance, revision: Version) -> Listing {
        let mut listing = Listing::default();
        let step = self.advance(revision);
        // A new instance may use the name before the deletion of the former object is reported
        // here.
        let entry = self.entries.get(name);
        if entry.is_some_and(|entry| self.counts_as_missing(now, entry, revision, step)) {
            self.apply_missing(now, vec![name.clone()], step, &mut listing);
        }
        listing
    }

    /// Applies the write of one object, as reported by a watch on the platform.
    pub fn apply_written(&mut self, now: Instant, record: &Record, revision: Version) -> Listing {
        let mut listing = Listing::default();
        self.advance(revision);
        self.apply_listed(now, record, revision, &mut listing);
        listing
    }

    /// Stores the revision of a listing or change, and compares it with the one before.
    fn advance(&mut self, revision: Version) -> Step {
        match self.allowance.revision.replace(revision) {
            Some(before) if revision < before || revision.era != before.era => Step::Backwards,
            Some(before) if revision == before => Step::Same,
            _ => Step::Newer,
        }
    }

    /// Marks all instances as never listed after the store was restored, so that their absence from
    /// later listings has no effect for a grace time.
    fn reset_listed(&mut self, now: Instant) {
        log::warn!("roster: the platform's revision went backwards; objects count as unlisted.");
        let entries = self.entries.values_mut();
        for entry in entries.filter(|entry| !entry.is_gone()) {
            entry.listed = None;
            entry.since = now;
        }
    }

    fn apply_listed(
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
        if entry.is_gone() && self.may_delete_object(record) {
            listing.stale.push(record.clone());
        }
    }

    /// Whether this daemon's zone has to delete the object of a gone instance: the instance was in
    /// this zone, or its own zone has no watcher left.
    fn may_delete_object(&self, record: &Record) -> bool {
        record.zone == *self.zone() || self.watchers(&record.zone, 1).is_empty()
    }

    fn missing_from(
        &self,
        now: Instant,
        shown: &BTreeSet<&Instance>,
        revision: Version,
        step: Step,
    ) -> Vec<Instance> {
        let missing = |entry: &&Entry| self.counts_as_missing(now, entry, revision, step);
        let entries = self.entries.values();
        let absent = entries.filter(|entry| !shown.contains(&entry.record.instance));
        let missing = absent.filter(missing);
        missing.map(|entry| entry.record.instance.clone()).collect()
    }

    /// Whether the absence of an object at `revision` counts against its instance: it was listed
    /// before, or its grace time has passed and all instances are announced.
    fn counts_as_missing(
        &self,
        now: Instant,
        entry: &Entry,
        revision: Version,
        step: Step,
    ) -> bool {
        let missing = match entry.listed {
            None if self.policy.sparse => false,
            _ if step == Step::Backwards => true,
            Some(listed) => listed < revision,
            None => now.saturating_duration_since(entry.since) >= self.policy.grace,
        };
        missing && !entry.is_gone()
    }

    fn apply_missing(
        &mut self,
        now: Instant,
        missing: Vec<Instance>,
        step: Step,
        listing: &mut Listing,
    ) {
        let mut removable = Vec::new();
        let mut silent = Vec::new();
        for name in missing {
            match self.presence(now, &name) {
                Presence::Own => self.schedule_rewrite(now),
                Presence::Seen => self.keep_seen(name, listing),
                Presence::Leaving => removable.push(name),
                Presence::Silent => silent.push(name),
            }
        }
        if step != Step::Newer {
            silent.append(&mut removable);
        } else if self.spend(now, silent.len()) {
            removable.append(&mut silent);
        }
        if !silent.is_empty() {
            let count = silent.len();
            log::warn!("roster: kept {count} instances whose objects are missing on the platform.");
        }
        listing.held.append(&mut silent);
        for name in removable {
            self.remove_unlisted(now, &name, listing);
        }
    }

    fn presence(&self, now: Instant, name: &Instance) -> Presence {
        let Some(entry) = self.entries.get(name) else {
            return Presence::Leaving;
        };
        if *name == self.me {
            return Presence::Own;
        }
        if entry
            .observation
            .seen_within(now, self.policy.suspect_after)
        {
            return Presence::Seen;
        }
        match entry.record.state {
            State::Live => Presence::Silent,
            State::Leaving | State::Gone => Presence::Leaving,
        }
    }

    fn keep_seen(&mut self, name: Instance, listing: &mut Listing) {
        let record = self.get(&name).cloned();
        let live = record.filter(|record| record.state == State::Live);
        let near = live.filter(|record| record.zone == *self.zone());
        listing.restore.extend(near);
        listing.held.push(name);
    }

    fn remove_unlisted(&mut self, now: Instant, name: &Instance, listing: &mut Listing) {
        let Some(gone) = self.get(name).map(Record::gone) else {
            return;
        };
        if self.upsert(now, gone.clone()) != Merge::Old {
            listing.updates.push(gone);
        }
    }

    /// Takes `count` removals from the allowance of the present window, if that many remain.
    fn spend(&mut self, now: Instant, count: usize) -> bool {
        if now.saturating_duration_since(self.allowance.window_start) >= WINDOW {
            self.allowance.window_start = now;
            self.allowance.remaining = self.policy.max_listing_removals;
        }
        if count > self.allowance.remaining {
            return false;
        }
        self.allowance.remaining -= count;
        true
    }
}

/// How a revision compares with the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Newer,
    Same,
    /// The store was restored, or the answer is late.
    Backwards,
}

/// The state of an instance whose object is missing.
enum Presence {
    Own,
    Seen,
    Leaving,
    Silent,
}
