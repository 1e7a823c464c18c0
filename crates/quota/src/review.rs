//! Whether the list of allocators has to be written again, and with whom.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use unit::{Era, Instance, Version, Zone};

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

/// The most daemons that a list names. The list passes to each daemon, so above this number none are
/// named, and each takeover takes its whole time.
const MAX_NAMED: usize = 256;

/// The least time from one list to the next that only names other daemons.
const NAME_PAUSE: Duration = Duration::from_secs(1);

/// How long a daemon has to be gone before it is named as leaving.
const LEAVE_AFTER: Duration = Duration::from_secs(30);

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
    /// The allocators that have said that they are clear since the list has stood.
    clear: BTreeSet<Member>,
    /// Since when daemons that the list names are gone.
    gone: BTreeMap<Instance, Moment>,
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
            clear: BTreeSet::new(),
            gone: BTreeMap::new(),
            has_seen_list: false,
            reviewed: None,
            gathered: None,
        }
    }

    /// Records whether an allocator has answered a probe and may lend, and whether it is clear of
    /// takeovers and of the margin.
    pub fn probed(&mut self, now: Moment, member: &Member, lends: bool, is_clear: bool) {
        if lends {
            self.silent.remove(member);
        } else {
            self.silent.entry(member.clone()).or_insert(now);
        }
        if is_clear && self.has_stood(now) {
            self.clear.insert(member.clone());
        } else {
            self.clear.remove(member);
        }
    }

    /// Whether the list has been the same for so long that all loans by former ones have ended.
    fn has_stood(&self, now: Moment) -> bool {
        let wait = self.setting.takeover_wait();
        self.seen.is_some_and(|(_, at)| now.since(at) >= wait)
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
            self.clear.clear();
        }
        self.has_seen_list = true;
        let Some(list) = view.list else {
            // An operator has written something else; numbers go on from the revision.
            return Some(self.list(view, version.revision + 1, &[], wanted(live)));
        };
        self.silent
            .retain(|member, _| list.allocators.contains(member));
        let has_stood = self.has_stood(now);
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
        let moves = usable.len() < count.min(live) || !has_size;
        let is_of_era = list.is_of_era(version) && version.era == view.era;
        let is_clear = list.allocators.iter().all(|m| self.clear.contains(m));
        let settles = !list.settled && has_stood && is_clear && is_of_era;
        let has_paused = self.seen.is_some_and(|(_, at)| now.since(at) >= NAME_PAUSE);
        let names_differ = self.names_differ(now, list, view) && has_paused;
        if !moves && !fleet_differs && !settles && !names_differ {
            return None;
        }
        let size = if has_size { count.min(live) } else { wanted };
        let mut next = self.list(view, list.number + 1, &usable, size);
        self.follow(now, &mut next, list, view);
        if fleet_differs {
            // Daemons that have not heard of it yet use the former even share for a while.
            next.follows_settled = false;
        } else {
            next.fleet = list.fleet;
        }
        let is_kept = next.allocators == list.allocators && !fleet_differs;
        next.settled = is_kept && is_of_era && (list.settled || settles);
        Some(next)
    }

    /// Whether the daemons that may borrow differ from those that the list names.
    fn names_differ(&mut self, now: Moment, list: &List, view: &View<'_>) -> bool {
        let known: BTreeSet<&Instance> = view.daemons.iter().map(|d| &d.member.instance).collect();
        self.gone
            .retain(|name, _| !known.contains(name) && list.daemons.contains(name));
        for name in list.daemons.iter().filter(|name| !known.contains(name)) {
            self.gone.entry(name.clone()).or_insert(now);
        }
        let left = |since: &Moment| now.since(*since) >= LEAVE_AFTER;
        if known.len() > MAX_NAMED {
            return !list.daemons.is_empty();
        }
        known
            .iter()
            .any(|name| list.daemons.binary_search(name).is_err())
            || self.gone.values().any(left)
    }

    /// Sets what `next` says of the list before it.
    fn follow(&self, now: Moment, next: &mut List, list: &List, view: &View<'_>) {
        let is_of_era = view
            .version
            .is_some_and(|version| list.is_of_era(version) && version.era == view.era);
        let is_seen = self
            .seen
            .is_some_and(|(seen, _)| Some(seen) == view.version);
        let has_stood = is_seen && self.has_stood(now);
        next.follows_settled = is_of_era && list.settled;
        next.complete = is_of_era && !list.daemons.is_empty() && (list.complete || has_stood);
        if next.daemons.is_empty() {
            return;
        }
        // Those that are gone for a short time only come back without another list.
        let left = |name: &Instance| {
            let since = self.gone.get(name);
            since.is_some_and(|since| now.since(*since) >= LEAVE_AFTER)
        };
        let (leaving, kept): (Vec<Instance>, Vec<Instance>) =
            list.daemons.iter().cloned().partition(left);
        next.daemons.extend(kept);
        next.daemons.sort();
        next.daemons.dedup();
        next.leaving.extend(leaving);
        if !has_stood {
            next.leaving.extend(list.leaving.iter().cloned());
        }
        next.leaving.sort();
        next.leaving.dedup();
        next.leaving
            .retain(|name| next.daemons.binary_search(name).is_err());
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
        let mut next = self.list(&view, list.number + 1, &kept, kept.len().max(1));
        self.follow(now, &mut next, list, &view);
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
        let mut first = self.list(view, 1, &[], wanted(live));
        first.settled = settled;
        first.complete = settled;
        first
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
    fn list(&self, view: &View<'_>, number: u64, kept: &[Member], size: usize) -> List {
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
        let mut daemons: Vec<Instance> = view
            .daemons
            .iter()
            .map(|daemon| daemon.member.instance.clone())
            .collect();
        daemons.sort();
        daemons.truncate(if daemons.len() > MAX_NAMED {
            0
        } else {
            MAX_NAMED
        });
        List {
            number,
            era: view.era,
            settled: false,
            follows_settled: false,
            complete: false,
            fleet: fleet(view.daemons.len() as u32),
            allocators,
            daemons,
            leaving: Vec::new(),
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
