//! Who watches the platform for a zone, and who observes whom.

use std::collections::BTreeSet;

use unit::{Instance, Zone};

use crate::entry::Entry;
use crate::rank;
use crate::record::State;
use crate::roster::Roster;

/// How many more places down the rank a voter may stand than this roster would choose.
///
/// Rosters differ for moments; an observer by its own roster may be the next one by ours.
const SLACK: usize = 4;

/// The instances that this daemon observes, worked out again after each change of members.
#[derive(Debug, Default)]
pub(crate) struct Subjects {
    pub(crate) members: u64,
    pub(crate) names: BTreeSet<Instance>,
}

impl Roster {
    /// The instances of a zone that watch the platform for it: the lowest `count` by rank.
    ///
    /// A hint: suspects are passed over, so two daemons may think differently for a while, and a
    /// zone has one watcher more or less. Nothing but the number of calls depends on it.
    pub fn watchers(&self, zone: &Zone, count: usize) -> Vec<Instance> {
        let entries = self.inside(zone);
        let live = entries.filter(|entry| entry.is_live() && !entry.sight.suspect);
        lowest(live, rank::key(zone.as_str()), count)
    }

    /// Whether this daemon is one of its zone's watchers.
    pub fn is_watcher(&self) -> bool {
        let watchers = self.watchers(self.zone(), self.policy.watchers);
        watchers.contains(&self.me)
    }

    /// Whom to send news that must reach every zone: the watchers of all zones, but not itself.
    pub fn roots(&self) -> Vec<Instance> {
        let zones = self.zones();
        let watchers = zones
            .iter()
            .flat_map(|zone| self.watchers(zone, self.policy.watchers));
        watchers.filter(|name| *name != self.me).collect()
    }

    /// The observers of an instance: some of its zone, and one of each other zone.
    ///
    /// Each instance has its own, so that no daemon carries a whole zone's heartbeats, and so
    /// that the two sides of any partition each hold observers of the other.
    pub fn observers(&self, about: &Instance) -> Vec<Instance> {
        self.ranked(about, 0)
    }

    /// Whether a vote of `observer` on `about` counts here.
    pub(crate) fn may_observe(&self, observer: &Instance, about: &Instance) -> bool {
        self.ranked(about, SLACK).contains(observer)
    }

    /// The zones of all instances that have not gone.
    pub(crate) fn zones(&self) -> BTreeSet<Zone> {
        let records = self.records().filter(|record| record.state != State::Gone);
        records.map(|record| record.zone.clone()).collect()
    }

    /// Works out again whom this daemon observes, if the members have changed.
    pub(crate) fn refresh_subjects(&mut self) {
        if self.subjects.members == self.members() {
            return;
        }
        let present = self.entries.values().filter(|entry| !entry.is_gone());
        let observed = present.filter(|entry| self.observes(entry));
        let names = observed
            .map(|entry| entry.record.instance.clone())
            .collect();
        self.subjects = Subjects {
            members: self.members(),
            names,
        };
    }

    /// Whether this daemon is an observer of `about`: few of its own zone rank before it.
    ///
    /// This counts instead of sorting, since it runs for every instance after each change.
    fn observes(&self, about: &Entry) -> bool {
        let own = rank::mixed(about.key, rank::key(self.me.as_str()));
        let before = |entry: &&Entry| {
            let other = entry.record.instance != about.record.instance;
            other && rank::mixed(about.key, entry.key) < own
        };
        let wanted = self.wanted(about, self.zone());
        let better = self.inside(self.zone()).filter(before).take(wanted).count();
        about.record.instance != self.me && better < wanted
    }

    fn wanted(&self, about: &Entry, zone: &Zone) -> usize {
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
            let inside = self.inside(zone);
            let others = inside.filter(|entry| entry.record.instance != about.record.instance);
            lowest(others, about.key, self.wanted(about, zone) + slack)
        };
        self.zones().iter().flat_map(choose).collect()
    }

    fn inside<'a>(&'a self, zone: &Zone) -> impl Iterator<Item = &'a Entry> + use<'a> {
        let zone = zone.clone();
        let present = self.entries.values().filter(|entry| !entry.is_gone());
        present.filter(move |entry| entry.record.zone == zone)
    }
}

/// The names of the `count` entries that rank lowest for `subject`, the lowest first.
fn lowest<'a>(
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
