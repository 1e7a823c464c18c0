//! The instances of each zone, with the keys from which ranks are computed.
//!
//! Each change of membership and each message that is relayed asks for the lowest ranks of a zone.
//! With the keys side by side, that takes a few steps for each instance of one zone, and no walk over
//! the records of all.

use std::collections::BTreeMap;

use unit::{Instance, Zone};

use crate::entry::Entry;
use crate::rank;

/// An instance of a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Member {
    /// The hash of the name.
    pub(crate) key: u64,
    pub(crate) name: Instance,
}

impl Member {
    fn of(entry: &Entry) -> Member {
        Member {
            key: entry.key,
            name: entry.record.instance.clone(),
        }
    }
}

/// The instances that are not gone, by zone. A zone without instances is left out.
#[derive(Debug, Default)]
pub(crate) struct Index {
    zones: BTreeMap<Zone, Vec<Member>>,
}

impl Index {
    /// Adds an instance, unless it is gone.
    pub(crate) fn add(&mut self, entry: &Entry) {
        if entry.is_gone() {
            return;
        }
        let members = self.zones.entry(entry.record.zone.clone()).or_default();
        let member = Member::of(entry);
        if let Err(place) = members.binary_search(&member) {
            members.insert(place, member);
        }
    }

    /// Removes an instance as it was added; one that is gone was not.
    pub(crate) fn remove(&mut self, entry: &Entry) {
        let zone = &entry.record.zone;
        let Some(members) = self.zones.get_mut(zone) else {
            return;
        };
        if let Ok(place) = members.binary_search(&Member::of(entry)) {
            members.remove(place);
        }
        if members.is_empty() {
            self.zones.remove(zone);
        }
    }

    /// The zones, by name.
    pub(crate) fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.zones.keys()
    }

    /// The instances of a zone.
    pub(crate) fn members(&self, zone: &Zone) -> &[Member] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    /// The instances of a zone that `matches` selects and that rank lowest for `subject`, lowest first
    /// and `count` at most.
    pub(crate) fn lowest(
        &self,
        zone: &Zone,
        subject: u64,
        count: usize,
        matches: impl Fn(&Member) -> bool,
    ) -> Vec<Instance> {
        let members = self.members(zone).iter();
        let mut ranked: Vec<(u64, &Member)> = members
            .map(|member| (rank::mixed(subject, member.key), member))
            .collect();
        ranked.sort_unstable_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.name.cmp(&b.1.name)));
        let names = ranked.into_iter().map(|(_, member)| member);
        let lowest = names.filter(|member| matches(member)).take(count);
        lowest.map(|member| member.name.clone()).collect()
    }
}

#[cfg(test)]
#[path = "../tests/internal/index.rs"]
mod tests;
