//! The selection of each zone's platform watchers and of each instance's observers.

use std::collections::BTreeSet;

use unit::{Instance, Zone};

use crate::entry::Entry;
use crate::rank;
use crate::record::State;
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
        let entries = self.in_zone(zone);
        let live = entries.filter(|entry| entry.is_live() && !entry.observation.suspect);
        lowest_ranked(live, rank::key(zone.as_str()), count)
    }

    /// Whether this daemon is one of its zone's watchers.
    pub fn is_watcher(&self) -> bool {
        let watchers = self.watchers(self.zone(), self.policy.watchers);
        watchers.contains(&self.me)
    }

    /// The watchers of all zones, ordered by their place among those of their zone and then by the
    /// name of the zone.
    pub fn ranked_watchers(&self) -> Vec<Instance> {
        let zones = self.zones();
        let zones = zones.iter();
        let by_zone: Vec<Vec<Instance>> = zones
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
        let zones = self.zones();
        let watchers = zones
            .iter()
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

    /// The zones of all instances that are not gone.
    pub(crate) fn zones(&self) -> BTreeSet<Zone> {
        let records = self.records().filter(|record| record.state != State::Gone);
        records.map(|record| record.zone.clone()).collect()
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
        let before = |entry: &&Entry| {
            let other = entry.record.instance != about.record.instance;
            other && rank::mixed(about.key, entry.key) < own
        };
        let wanted = self.observer_count(about, self.zone());
        let better = self
            .in_zone(self.zone())
            .filter(before)
            .take(wanted)
            .count();
        about.record.instance != self.me && better < wanted
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
        let choose = |zone: &Zone| {
            let inside = self.in_zone(zone);
            let others = inside.filter(|entry| entry.record.instance != about.record.instance);
            lowest_ranked(others, about.key, self.observer_count(about, zone) + slack)
        };
        self.zones().iter().flat_map(choose).collect()
    }

    fn in_zone<'a>(&'a self, zone: &Zone) -> impl Iterator<Item = &'a Entry> + use<'a> {
        let zone = zone.clone();
        let present = self.entries.values().filter(|entry| !entry.is_gone());
        present.filter(move |entry| entry.record.zone == zone)
    }
}

/// The names of the `count` entries that rank lowest for `subject`, lowest first.
fn lowest_ranked<'a>(
    entries: impl Iterator<Item = &'a Entry>,
    subject: u64,
    count: usize,
) -> Vec<Instance> {
    let rank = |entry: &'a Entry| (rank::mixed(subject, entry.key), &entry.record.instance);
    let mut ranked: Vec<_> = entries.map(rank).collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, name)| name.clone()).collect()
}
