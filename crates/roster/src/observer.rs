//! The selection of each zone's platform watchers and of each instance's observers.

use std::collections::BTreeSet;

use unit::{Instance, Zone};

use crate::entry::Entry;
use crate::index::Member;
use crate::rank;
use crate::roster::Roster;

/// How many additional ranks a voter may be from the observers that this roster selects.
///
/// Rosters differ for moments: an observer by its own roster may be the next in rank by this one.
const RANK_SLACK: usize = 4;

/// The instances that this daemon observes, recomputed after each change of membership.
#[derive(Debug, Default)]
pub(crate) struct Subjects {
    pub(crate) membership: u64,
    pub(crate) names: BTreeSet<Instance>,
}

impl Roster {
    /// The instances of a zone that watch the platform for it: the `count` lowest by rank.
    ///
    /// Suspects are left out, so two daemons may select differently for a while, and a zone may
    /// have one watcher more or less. Only the number of calls to the platform depends on it.
    pub fn watchers(&self, zone: &Zone, count: usize) -> Vec<Instance> {
        let is_able = |member: &Member| {
            let entry = self.entries.get(&member.name);
            entry.is_some_and(|entry| entry.is_live() && !entry.observation.suspect)
        };
        let subject = rank::key(zone.as_str());
        self.index.lowest(zone, subject, count, is_able)
    }

    /// Whether this daemon is one of its zone's watchers.
    pub fn is_watcher(&self) -> bool {
        let watchers = self.watchers(self.zone(), self.policy.watchers);
        watchers.contains(&self.me)
    }

    /// The watchers of all zones, ordered by their place among those of their zone and then by the
    /// name of the zone.
    pub fn ranked_watchers(&self) -> Vec<Instance> {
        let by_zone: Vec<Vec<Instance>> = self
            .index
            .zones()
            .map(|zone| self.watchers(zone, self.policy.watchers))
            .collect();
        let places = 0..self.policy.watchers;
        let ranked =
            places.flat_map(|place| by_zone.iter().filter_map(move |zone| zone.get(place)));
        ranked.cloned().collect()
    }

    /// The instances to which an update for every zone is sent: the watchers of all zones, except
    /// this instance.
    pub fn roots(&self) -> Vec<Instance> {
        let watchers = self
            .index
            .zones()
            .flat_map(|zone| self.watchers(zone, self.policy.watchers));
        watchers.filter(|name| *name != self.me).collect()
    }

    /// The observers of an instance: some of its own zone, and one of each other zone.
    ///
    /// Each instance has its own observers, so that no daemon receives the heartbeats of a whole
    /// zone, and so that each side of a network partition has observers of the other.
    pub fn observers(&self, about: &Instance) -> Vec<Instance> {
        self.ranked(about, 0)
    }

    /// Whether a vote of `observer` on `about` counts here.
    pub(crate) fn accepts_observer(&self, observer: &Instance, about: &Instance) -> bool {
        self.ranked(about, RANK_SLACK).contains(observer)
    }

    /// Recomputes the instances that this daemon observes, if the membership has changed.
    pub(crate) fn refresh_subjects(&mut self) {
        if self.subjects.membership == self.membership() {
            return;
        }
        let present = self.entries.values().filter(|entry| !entry.is_gone());
        let observed = present.filter(|entry| self.observes(entry));
        let names = observed
            .map(|entry| entry.record.instance.clone())
            .collect();
        self.subjects = Subjects {
            membership: self.membership(),
            names,
        };
    }

    /// Whether this daemon is an observer of `about`: few enough instances of its zone rank before
    /// it.
    ///
    /// This counts instead of sorting, since it runs for every instance after each change.
    fn observes(&self, about: &Entry) -> bool {
        let own = rank::mixed(about.key, rank::key(self.me.as_str()));
        let before = |member: &&Member| {
            let ranks = rank::mixed(about.key, member.key) < own;
            ranks && member.name != about.record.instance
        };
        let wanted = self.observer_count(about, self.zone());
        let members = self.index.members(self.zone()).iter();
        let better = members.filter(before).take(wanted).count();
        better < wanted && about.record.instance != self.me
    }

    fn observer_count(&self, about: &Entry, zone: &Zone) -> usize {
        if about.record.zone == *zone {
            self.policy.zone_observers
        } else {
            1
        }
    }

    fn ranked(&self, about: &Instance, slack: usize) -> Vec<Instance> {
        let Some(about) = self.entries.get(about) else {
            return Vec::new();
        };
        let is_other = |member: &Member| member.name != about.record.instance;
        let choose = |zone: &Zone| {
            let count = self.observer_count(about, zone) + slack;
            self.index.lowest(zone, about.key, count, is_other)
        };
        self.index.zones().flat_map(choose).collect()
    }
}
