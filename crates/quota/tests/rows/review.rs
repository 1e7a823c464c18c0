//! When the list of allocators is written, and with whom.

use super::*;

fn daemons(zones: usize, each: usize) -> Vec<Daemon> {
    let all = (0..zones * each).map(|place| Daemon {
        member: member(&format!("d{place:02}"), 100 + place as u64),
        zone: format!("zone-{}", place % zones).parse().expect("a zone"),
        is_live: true,
    });
    all.collect()
}

fn view<'a>(list: Option<&'a List>, daemons: &'a [Daemon]) -> View<'a> {
    View {
        era: Era(0),
        version: list.map(|list| Version::of(list.number)),
        list,
        daemons,
        is_fresh: true,
    }
}

/// Reviews from one time to another, until there is a list to write.
fn review(review: &mut Review, from: u64, to: u64, view: &View<'_>) -> Option<(u64, List)> {
    (from..to)
        .step_by(250)
        .find_map(|ms| Some((ms, review.next(at(ms), view)?)))
}

fn zones_of(list: &List, daemons: &[Daemon]) -> Vec<usize> {
    let mut counts = vec![0; 3];
    for allocator in &list.allocators {
        let place = daemons
            .iter()
            .position(|daemon| daemon.member == *allocator);
        counts[place.expect("known") % 3] += 1;
    }
    counts
}

/// All allocators in one zone would go with it; one of many lives would change soon again.
#[test]
fn first_list_has_the_longest_running_daemons_of_all_zones() {
    let daemons = daemons(3, 27);
    let mut reviewer = Review::new(SETTING);
    let (ms, first) = review(&mut reviewer, 0, 5_000, &view(None, &daemons)).expect("a list");
    assert_eq!(ms, 2_000, "it waits until no daemon has come for 2 s");
    assert_eq!((first.number, first.settled, first.fleet), (1, true, 122));
    assert_eq!(first.allocators.len(), 9);
    assert_eq!(zones_of(&first, &daemons), [3, 3, 3]);
    assert!(
        first
            .allocators
            .iter()
            .all(|member| member.incarnation.0 < 109)
    );
    let later = View {
        era: Era(1),
        ..view(None, &daemons)
    };
    let (_, first) = review(&mut Review::new(SETTING), 0, 5_000, &later).expect("a list");
    assert!(!first.settled, "an older list may be lost");
}

/// The margin of the last takeover was still lent when the next allocator lent it again.
#[test]
fn list_is_settled_only_once_all_allocators_are_clear() {
    let mut daemons = daemons(3, 27);
    let (_, mut first) =
        review(&mut Review::new(SETTING), 0, 5_000, &view(None, &daemons)).expect("a list");
    first.settled = false;
    let mut reviewer = Review::new(SETTING);
    let next = review(&mut reviewer, 0, 30_000, &view(Some(&first), &daemons));
    assert_eq!(next, None, "no allocator has said that it is clear");
    for (place, allocator) in first.allocators.iter().enumerate() {
        assert_eq!(
            reviewer.next(at(30_000), &view(Some(&first), &daemons)),
            None
        );
        reviewer.probed(at(30_000), allocator, true, true);
        assert!(place < first.allocators.len());
    }
    let next = reviewer.next(at(30_000), &view(Some(&first), &daemons));
    let next = next.expect("a list");
    assert_eq!((next.number, next.settled), (2, true));
    assert_eq!(next.allocators, first.allocators);
    // What they say before the list has stood is of no use.
    let mut reviewer = Review::new(SETTING);
    reviewer.next(at(0), &view(Some(&first), &daemons));
    for allocator in &first.allocators {
        reviewer.probed(at(12_400), allocator, true, true);
    }
    assert_eq!(
        review(&mut reviewer, 12_000, 13_000, &view(Some(&first), &daemons)),
        None
    );
    // One that is lost before is replaced by a list that says so.
    daemons[0].member.incarnation = Incarnation(500);
    let (ms, next) =
        review(&mut reviewer, 13_000, 14_000, &view(Some(&first), &daemons)).expect("a list");
    assert_eq!(
        (ms, next.settled, next.follows_settled),
        (13_000, false, false),
        "a restart is replaced at once"
    );
}

/// After a loss of all power the margin was not used, as no process had seen the list before.
#[test]
fn list_of_a_fresh_process_follows_what_the_store_says() {
    let mut daemons = daemons(3, 27);
    let (_, first) =
        review(&mut Review::new(SETTING), 0, 5_000, &view(None, &daemons)).expect("a list");
    for daemon in &mut daemons {
        daemon.member.incarnation.0 += 1_000;
    }
    let next = |first: &List, view: &View<'_>| {
        let next = review(&mut Review::new(SETTING), 0, 1_000, view);
        let (_, next) = next.expect("a list");
        assert_ne!(next.allocators, first.allocators);
        (next.settled, next.follows_settled, next.complete)
    };
    let present = view(Some(&first), &daemons);
    assert_eq!(next(&first, &present), (false, true, true));
    let unsettled = List {
        settled: false,
        ..first.clone()
    };
    let present = view(Some(&unsettled), &daemons);
    assert_eq!(next(&first, &present), (false, false, true));
    // A later era begins with a list that may be older than one that was in force.
    let restored = View {
        era: Era(1),
        version: Some(Version::in_era(Era(1), 1)),
        ..view(Some(&first), &daemons)
    };
    assert_eq!(next(&first, &restored), (false, false, false));
}

/// A new daemon was never allowed to borrow, or one that is gone for good was waited for at each takeover.
#[test]
fn list_names_the_daemons_that_may_borrow() {
    let all = daemons(3, 27);
    let few = &all[..78];
    let (_, first) = review(&mut Review::new(SETTING), 0, 5_000, &view(None, few)).expect("a list");
    let mut reviewer = Review::new(SETTING);
    let added = review(&mut reviewer, 0, 3_000, &view(Some(&first), &all));
    let (ms, added) = added.expect("a list");
    assert_eq!((ms, added.daemons.len(), added.settled), (1_000, 81, true));
    assert_eq!(added.allocators, first.allocators);
    let mut reviewer = Review::new(SETTING);
    let left = review(&mut reviewer, 0, 40_000, &view(Some(&added), few));
    let (ms, left) = left.expect("a list");
    assert_eq!(
        (ms, left.daemons.len(), left.leaving.len()),
        (30_000, 78, 3)
    );
}

/// The allocators of a lost zone were replaced one after the other, each time with a takeover.
#[test]
fn silent_allocators_are_replaced_in_one_write() {
    let daemons = daemons(3, 27);
    let (_, first) =
        review(&mut Review::new(SETTING), 0, 5_000, &view(None, &daemons)).expect("a list");
    let mut reviewer = Review::new(SETTING);
    assert_eq!(
        review(&mut reviewer, 0, 1_000, &view(Some(&first), &daemons)),
        None
    );
    let silent: Vec<Member> = (0..3)
        .map(|place| daemons[place * 3].member.clone())
        .collect();
    for member in &silent {
        reviewer.probed(at(1_000), member, false, false);
    }
    let next = review(&mut reviewer, 1_000, 5_000, &view(Some(&first), &daemons));
    let (ms, next) = next.expect("a list");
    assert_eq!(ms, 2_500);
    assert_eq!(next.allocators.len(), 9);
    assert!(
        silent
            .iter()
            .all(|member| !next.allocators.contains(member))
    );
    // A watcher that hears most of them no more is cut off itself.
    let mut reviewer = Review::new(SETTING);
    assert_eq!(
        review(&mut reviewer, 0, 1_000, &view(Some(&first), &daemons)),
        None
    );
    for member in first.allocators.iter().take(6) {
        reviewer.probed(at(1_000), member, false, false);
    }
    assert_eq!(
        review(&mut reviewer, 1_000, 9_000, &view(Some(&first), &daemons)),
        None
    );
}

/// More daemons than the even share is split over would exceed the limit together.
#[test]
fn list_is_written_again_when_the_fleet_outgrows_it() {
    let few = daemons(3, 27);
    let (_, first) =
        review(&mut Review::new(SETTING), 0, 5_000, &view(None, &few)).expect("a list");
    let many = daemons(3, 41);
    let mut reviewer = Review::new(SETTING);
    let (_, next) = review(&mut reviewer, 0, 1_000, &view(Some(&first), &many)).expect("a list");
    assert_eq!((next.fleet, next.settled), (185, false));
    assert_eq!(next.allocators, first.allocators, "no workspace moves");
    let few = daemons(3, 13);
    let mut reviewer = Review::new(SETTING);
    let (_, next) = review(&mut reviewer, 0, 1_000, &view(Some(&first), &few)).expect("a list");
    assert_eq!(next.fleet, 59);
}
