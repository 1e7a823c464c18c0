//! Whether the list of allocators has to be written again, and with whom.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use unit::{Era, Version, Zone};

use crate::{ALLOCATOR_TIMEOUT, List, Member, Moment, Setting};

/// One allocator for this number of daemons, within the bounds below.
const DAEMONS_PER_ALLOCATOR: usize = 10;
const MIN_ALLOCATORS: usize = 3;
const MAX_ALLOCATORS: usize = 16;

/// The list is written again once it has fewer allocators than the wanted number divided by this, or
/// more than its multiple.
const SIZE_FACTOR: usize = 2;

/// The list is written again once its fleet is over this multiple of the number of daemons.
const MAX_FLEET_FACTOR: u32 = 3;

/// How long the number of daemons has to be the same before the first list is written.
const GATHER: Duration = Duration::from_secs(2);

/// A daemon that may be an allocator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Daemon {
    /// Its life.
    pub member: Member,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it takes new work and has been heard lately.
    pub is_live: bool,
}

/// What a watcher knows.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The era of the store.
    pub era: Era,
    /// The version of the list's object that is confirmed as the newest; `None` if there is none.
    pub version: Option<Version>,
    /// The list in it; `None` if it can't be read.
    pub list: Option<&'a List>,
    /// All daemons of the fleet that are not gone.
    pub daemons: &'a [Daemon],
    /// Whether the confirmation is so new that silent allocators are not the watcher's own fault.
    pub is_fresh: bool,
}

/// Decides when a watcher writes the list again.
#[derive(Debug)]
pub struct Review {
    setting: Setting,
    /// The list in force and since when it is known here.
    seen: Option<(Version, Moment)>,
    /// Since when each allocator has not answered, or not lent.
    silent: BTreeMap<Member, Moment>,
    has_seen_list: bool,
    reviewed: Option<Moment>,
    /// The number of live daemons, and since when it is the same.
    gathered: Option<(usize, Moment)>,
}

impl Review {
    /// A review that has seen no list yet.
    pub fn new(setting: Setting) -> Review {
        Review {
            setting,
            seen: None,
            silent: BTreeMap::new(),
            has_seen_list: false,
            reviewed: None,
            gathered: None,
        }
    }

    /// Records whether an allocator has answered a probe and may lend.
    pub fn probed(&mut self, now: Moment, member: &Member, lends: bool) {
        if lends {
            self.silent.remove(member);
        } else {
            self.silent.entry(member.clone()).or_insert(now);
        }
    }

    fn is_silent(&self, now: Moment, member: &Member) -> bool {
        let since = self.silent.get(member);
        since.is_some_and(|since| now.since(*since) >= ALLOCATOR_TIMEOUT)
    }

    /// The list that should replace the present one, if any.
    pub fn next(&mut self, now: Moment, view: &View<'_>) -> Option<List> {
        // After a freeze of this process, silence is its own.
        let paused = self
            .reviewed
            .is_some_and(|last| now.since(last) >= ALLOCATOR_TIMEOUT);
        self.reviewed = Some(now);
        if !view.is_fresh || paused {
            self.silent.clear();
        }
        if !view.is_fresh {
            return None;
        }
        let live = view.daemons.iter().filter(|daemon| daemon.is_live).count();
        if live == 0 {
            return None;
        }
        let Some(version) = view.version else {
            return self.has_gathered(now, live).then(|| self.first(view));
        };
        if self.seen.is_none_or(|(seen, _)| seen != version) {
            self.seen = Some((version, now));
            self.silent.clear();
        }
        self.has_seen_list = true;
        let Some(list) = view.list else {
            // An operator has written something else; numbers go on from the revision.
            return Some(self.list(view, version.revision + 1, false, &[], wanted(live)));
        };
        self.silent
            .retain(|member, _| list.allocators.contains(member));
        let since = self.seen.map_or(now, |(_, since)| since);
        let has_stood = now.since(since) >= self.setting.settle_wait();
        let usable: Vec<Member> = list
            .allocators
            .iter()
            .filter(|member| self.is_usable(now, member, view))
            .cloned()
            .collect();
        if usable.len() < list.allocators.len().div_ceil(SIZE_FACTOR)
            && self.hears_few(now, list, view)
        {
            // This watcher is more likely cut off than half of the allocators at once.
            return None;
        }
        let wanted = wanted(live);
        let count = list.allocators.len();
        let daemons = view.daemons.len() as u32;
        let fleet_differs = daemons > list.fleet || list.fleet > daemons * MAX_FLEET_FACTOR;
        // Each change of the size moves workspaces, whose new allocators have to wait.
        let has_size = count * SIZE_FACTOR >= wanted && count <= wanted * SIZE_FACTOR;
        let is_due = usable.len() < count.min(live)
            || !has_size
            || fleet_differs
            || (!list.settled && has_stood);
        if !is_due {
            return None;
        }
        let size = if has_size { count.min(live) } else { wanted };
        let mut next = self.list(view, list.number + 1, has_stood, &usable, size);
        if !fleet_differs {
            next.fleet = list.fleet;
        } else {
            // Daemons that have not heard of it yet use the former even share for a while.
            next.settled = false;
        }
        Some(next)
    }

    /// The list without a member that stops, and without changes otherwise.
    pub fn without(&self, now: Moment, view: &View<'_>, member: &Member) -> Option<List> {
        let list = view.list?;
        let kept: Vec<Member> = list
            .allocators
            .iter()
            .filter(|m| *m != member)
            .cloned()
            .collect();
        let since = self.seen.filter(|(seen, _)| Some(*seen) == view.version);
        let has_stood = since.is_some_and(|(_, at)| now.since(at) >= self.setting.settle_wait());
        let daemons: Vec<Daemon> = view
            .daemons
            .iter()
            .filter(|daemon| daemon.member != *member)
            .cloned()
            .collect();
        let view = View {
            daemons: &daemons,
            ..*view
        };
        let mut next = self.list(&view, list.number + 1, has_stood, &kept, kept.len().max(1));
        next.fleet = list.fleet;
        (!next.allocators.is_empty()).then_some(next)
    }

    /// Whether no daemon has come or gone lately. A fleet that starts at once would otherwise be listed
    /// in part, and the next list would make its new allocators wait.
    fn has_gathered(&mut self, now: Moment, live: usize) -> bool {
        let gathered = self.gathered.filter(|(count, _)| *count == live);
        let (_, since) = *self.gathered.insert(gathered.unwrap_or((live, now)));
        now.since(since) >= GATHER
    }

    /// The first list; it is settled only where no list was before it.
    fn first(&self, view: &View<'_>) -> List {
        let settled = !self.has_seen_list && view.era == Era(0);
        let live = view.daemons.iter().filter(|daemon| daemon.is_live).count();
        self.list(view, 1, settled, &[], wanted(live))
    }

    fn is_usable(&self, now: Moment, member: &Member, view: &View<'_>) -> bool {
        let daemon = view.daemons.iter().find(|daemon| daemon.member == *member);
        daemon.is_some_and(|daemon| daemon.is_live) && !self.is_silent(now, member)
    }

    fn hears_few(&self, now: Moment, list: &List, view: &View<'_>) -> bool {
        let known = |member: &&Member| view.daemons.iter().any(|daemon| daemon.member == **member);
        let silent = list.allocators.iter().filter(known);
        let silent = silent.filter(|member| self.is_silent(now, member)).count();
        silent * SIZE_FACTOR > list.allocators.len()
    }

    /// A list of `size` allocators: those kept first, then the longest-running daemons, spread over zones.
    fn list(
        &self,
        view: &View<'_>,
        number: u64,
        settled: bool,
        kept: &[Member],
        size: usize,
    ) -> List {
        let live: Vec<&Daemon> = view
            .daemons
            .iter()
            .filter(|daemon| daemon.is_live)
            .collect();
        let mut allocators: Vec<Member> = kept.to_vec();
        allocators.truncate(size);
        let zones: BTreeSet<&Zone> = live.iter().map(|daemon| &daemon.zone).collect();
        let zone_of = |member: &Member| live.iter().find(|d| d.member == *member).map(|d| &d.zone);
        while allocators.len() < size {
            let in_zone = |zone: &Zone| {
                allocators
                    .iter()
                    .filter(|m| zone_of(m) == Some(zone))
                    .count()
            };
            let free = live.iter().filter(|d| {
                !allocators.contains(&d.member) && !self.silent.contains_key(&d.member)
            });
            let next =
                free.min_by_key(|d| (in_zone(&d.zone), d.member.incarnation, &d.member.instance));
            let Some(next) = next.filter(|_| !zones.is_empty()) else {
                break;
            };
            allocators.push(next.member.clone());
        }
        allocators.sort();
        List {
            number,
            settled,
            fleet: fleet(view.daemons.len() as u32),
            allocators,
        }
    }
}

fn wanted(daemons: usize) -> usize {
    daemons
        .div_ceil(DAEMONS_PER_ALLOCATOR)
        .clamp(MIN_ALLOCATORS, MAX_ALLOCATORS)
        .min(daemons)
}

/// One and a half times the number of daemons, so that some may be added.
fn fleet(daemons: u32) -> u32 {
    (daemons + daemons.div_ceil(2)).max(1)
}
