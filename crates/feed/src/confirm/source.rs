//! Which daemons are asked for a confirmation, and in which order.

use std::time::Duration;

use confirm::Moment;
use roster::Roster;
use unit::Instance;

/// Number of daemons that ask one watcher or, in large zones, one other daemon. At most this many
/// questions arrive at one daemon in each interval.
const FAN_OUT: usize = 8;

/// How long without any answer a daemon is taken to be isolated.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);

/// For how long a source is preferred that answered when the one before it did not.
const PREFERENCE: Duration = Duration::from_secs(5);

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

/// The daemons to ask, the best first.
///
/// The first watcher of a zone asks the watchers of all zones in their rank, the other watchers of
/// the zone ask the first, and all others ask these; see [`parent`]. Each continues with the
/// watchers of its zone and then with those of other zones.
pub(super) fn sources(roster: &Roster) -> Vec<Instance> {
    let me = roster.me();
    let ranked = roster.ranked_watchers();
    let watchers = roster.policy().watchers();
    let members = roster.watchers(roster.zone(), usize::MAX);
    let place = members.iter().position(|name| name == me);
    let place = place.unwrap_or(members.len());
    let own = &members[..watchers.min(members.len())];
    let parent = match place {
        0 => None,
        place if place < watchers => members.first(),
        place => members.get(parent(place, watchers)),
    };
    // Each begins at another one, so that a lost watcher doesn't burden one other alone.
    let mut own = own.to_vec();
    let by = place % own.len().max(1);
    own.rotate_left(by);
    let mut others: Vec<Instance> = ranked.clone();
    if place >= watchers {
        let by = place % others.len().max(1);
        others.rotate_left(by);
    }
    let mut sources: Vec<Instance> = Vec::with_capacity(ranked.len() + 1);
    let all = match place {
        0 => others,
        _ => parent
            .cloned()
            .into_iter()
            .chain(own)
            .chain(others)
            .collect(),
    };
    for source in all {
        if source != *me && !sources.contains(&source) {
            sources.push(source);
        }
    }
    sources
}

/// The place of the daemon that the one at `place` of its zone asks, behind `watchers` watchers.
///
/// The first watcher answers the watchers of the zone and perhaps those of the fleet, so that it is
/// left out where there are others.
fn parent(place: usize, watchers: usize) -> usize {
    let serving = watchers.saturating_sub(1).max(1);
    let number = place - watchers.min(place);
    match number < serving * FAN_OUT {
        true => watchers.saturating_sub(serving) + number % serving,
        false => watchers + (number - serving * FAN_OUT) / FAN_OUT,
    }
}
