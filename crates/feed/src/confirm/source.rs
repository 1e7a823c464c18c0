//! Which daemons are asked for a confirmation, and in which order.

use std::time::Duration;

use confirm::{Moment, Place};
use roster::Roster;
use unit::Instance;

/// Number of daemons that ask one watcher or, in large zones, one other daemon. Each asks 1.2 times a
/// second, and question and answer take 350 bytes with the overhead of the network; a daemon has
/// 9 KB a second for all control traffic, and other messages about roster and rules take half of it.
const FAN_OUT: usize = 6;

/// How long without any answer a daemon is taken to be isolated.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);

/// For how long a source is preferred that answered when the one before it did not.
const PREFERENCE: Duration = Duration::from_secs(5);

/// For how long the roles of a roster are used before they are taken anew.
const ROLES_INTERVAL: Duration = Duration::from_millis(500);

/// The part of a daemon by its roster.
#[derive(Debug, Default)]
pub(super) struct Roles {
    watcher: Option<Place>,
    sources: Vec<Instance>,
    /// The number of daemons between this one and the reader, with itself.
    depth: u32,
    taken: Option<Moment>,
}

impl Roles {
    /// The part in `roster` at `now` of a daemon that is informed as soon as a watcher if it is
    /// `hastened`.
    pub(super) fn of(roster: &Roster, now: Moment, hastened: bool) -> Roles {
        let ranked = roster.ranked_watchers();
        let rank = ranked.iter().position(|name| name == roster.me());
        let (sources, depth) = sources(roster, &ranked, hastened);
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        Roles {
            watcher: rank.map(|rank| Place::Watcher {
                rank: count(rank),
                of: count(ranked.len()),
            }),
            sources,
            depth,
            taken: Some(now),
        }
    }

    pub(super) fn is_fresh(&self, now: Moment) -> bool {
        let age = self.taken.map(|taken| now.since(taken));
        age.is_some_and(|age| age < ROLES_INTERVAL)
    }

    /// The place among the watchers; `None` if this daemon is not one.
    pub(super) fn watcher(&self) -> Option<Place> {
        self.watcher
    }

    /// The daemons to ask, the best first.
    pub(super) fn sources(&self) -> Vec<Instance> {
        self.sources.clone()
    }

    /// The number of daemons between this one and the reader, with itself.
    pub(super) fn depth(&self) -> u32 {
        self.depth
    }
}

/// The state of asking.
#[derive(Debug, Default)]
pub(super) struct Sources {
    /// The place in the list of sources to ask first, and since when.
    first: Option<(usize, Moment)>,
    /// When the first of the questions was sent that have not been answered since.
    unanswered: Option<Moment>,
}

impl Sources {
    /// The place in a list of `count` sources to ask first.
    pub(super) fn first(&mut self, now: Moment, count: usize) -> usize {
        let is_preferred = |(_, since): &(usize, Moment)| now.since(*since) < PREFERENCE;
        self.first = self.first.filter(is_preferred);
        self.first.map_or(0, |(first, _)| first) % count.max(1)
    }

    /// Records a question that was sent at `asked` to the source at `place`, and whether it was
    /// answered with something new.
    pub(super) fn answered(&mut self, asked: Moment, place: usize, is_new: bool) {
        self.unanswered = None;
        let known = self.first.map_or(0, |(first, _)| first);
        if is_new && known != place {
            self.first = Some((place, asked));
        }
    }

    /// Records a question that was sent at `asked` without an answer.
    pub(super) fn failed(&mut self, asked: Moment) {
        self.unanswered.get_or_insert(asked);
    }

    /// Whether no question has been answered for a while.
    pub(super) fn is_isolated(&self, now: Moment) -> bool {
        let since = self.unanswered.map(|since| now.since(since));
        since.is_some_and(|since| since >= ISOLATED_AFTER)
    }
}

/// The position of a daemon in the tree by which confirmations spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position {
    /// The place among the members of the zone that it asks; `None` if it asks other zones.
    parent: Option<usize>,
    /// The number of daemons between it and the reader, with itself.
    depth: u32,
}

impl Position {
    /// The position of the daemon at `place` of its zone, behind `watchers` watchers.
    ///
    /// The first watcher of a zone asks the watchers of all zones, the other watchers ask the first,
    /// all others ask these or those that ask these. The first is left out if there is another, since
    /// it may answer the watchers of the whole fleet.
    fn of(place: usize, watchers: usize) -> Position {
        let serving = watchers.saturating_sub(1).max(1);
        let parent = match place {
            0 => None,
            place if place < watchers => Some(0),
            place => {
                let number = place - watchers;
                Some(match number.checked_sub(serving * FAN_OUT) {
                    None => watchers.saturating_sub(serving) + number % serving,
                    Some(number) => watchers + number / FAN_OUT,
                })
            }
        };
        let depth = parent.map_or(0, |parent| Position::of(parent, watchers).depth);
        Position {
            parent,
            depth: depth + 1,
        }
    }
}

/// The daemons to ask, the best first: the one above in the tree, the watchers of the zone and then
/// those of other zones.
fn sources(roster: &Roster, ranked: &[Instance], hastened: bool) -> (Vec<Instance>, u32) {
    let me = roster.me();
    let watchers = roster.policy().watchers();
    let members = roster.watchers(roster.zone(), usize::MAX);
    let place = members.iter().position(|name| name == me);
    let place = place.unwrap_or(members.len());
    let position = match hastened {
        true => Position::of(place.min(watchers.saturating_sub(1)), watchers),
        false => Position::of(place, watchers),
    };
    let parent = position.parent.and_then(|parent| members.get(parent));
    let mut own = members[..watchers.min(members.len())].to_vec();
    let mut others = ranked.to_vec();
    if place >= watchers {
        // Each begins at another one, so that a lost watcher doesn't burden one other alone.
        let by = place % own.len().max(1);
        own.rotate_left(by);
        let by = place % others.len().max(1);
        others.rotate_left(by);
    }
    if place == 0 {
        own.clear();
    }
    let mut sources: Vec<Instance> = Vec::with_capacity(ranked.len() + 1);
    for source in parent.into_iter().chain(&own).chain(&others) {
        if source != me && !sources.contains(source) {
            sources.push(source.clone());
        }
    }
    (sources, position.depth)
}
