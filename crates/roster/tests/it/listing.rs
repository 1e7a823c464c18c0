//! What the platform's listing may and may not remove.

use roster::{Record, Roster, State};
use tokio::time::Instant;
use unit::{Incarnation, Version};

use crate::world::{SECOND, record, records, roster};

const ZONES: [&str; 2] = ["sorel", "levis"];

/// A roster that has seen all 200 of two zones listed, and hears those of its own zone.
fn listed(now: Instant) -> (Roster, Vec<Record>) {
    let all = records(&ZONES, 100);
    let mut roster = roster(now, &all[0], &all);
    roster.apply_listing(now, &all, Version::of(100));
    for record in &all[1..100] {
        roster.mark_seen(now, &record.instance);
    }
    (roster, all)
}

/// The platform has lost its data and lists nothing, or three of 200. If its word were taken,
/// callers would be left without targets though all of them work. Nobody is removed, and the
/// objects of those who are heard are named for writing again.
#[test]
fn a_listing_that_lost_data_removes_nobody() {
    for left in [0, 3] {
        let now = Instant::now() + SECOND;
        let (mut roster, all) = listed(now);
        let listing = roster.apply_listing(now, &all[..left], Version::of(101));
        assert_eq!(listing.updates, []);
        assert_eq!(listing.restore.len(), 100 - left.max(1));
        assert_eq!(roster.live(&all[0].service).len(), 200);
        let own = roster.due_write(now + SECOND * 30);
        assert_eq!(own.is_some(), left == 0);
    }
}

/// The platform was restored from an older copy: its revision goes back, and newer objects are
/// missing. They are held against nobody, then or for a minute after it, also once the revision
/// has passed the former one; those who are heard get their objects back.
#[test]
fn a_restored_platform_removes_nobody() {
    let now = Instant::now();
    let (mut roster, all) = listed(now);
    let older = [&all[5..150], &all[155..]].concat();
    let back = roster.apply_listing(now, &older, Version::of(40));
    assert_eq!((back.updates.len(), back.restore.len()), (0, 4));
    assert!(roster.due_write(now + SECOND * 30).is_some());
    let passed = roster.apply_listing(now + SECOND * 30, &older, Version::of(101));
    assert_eq!(passed.updates, []);
    assert_eq!(roster.live(&all[0].service).len(), 200);
}

/// An operator deletes the object of an instance that nobody hears: it is removed. One that is
/// heard is kept; it works, whatever the platform says.
#[test]
fn a_few_deleted_objects_remove_the_silent() {
    let now = Instant::now();
    let (mut roster, all) = listed(now);
    let deleted = roster.apply_deleted(now, &all[150].instance, Version::of(101));
    assert_eq!(deleted.updates.len(), 1);
    let kept = roster.apply_deleted(now, &all[50].instance, Version::of(102));
    assert_eq!(
        (kept.updates.len(), kept.held.len(), kept.restore.len()),
        (0, 1, 1)
    );
    let mut removed = 1;
    for (number, record) in all[151..].iter().enumerate() {
        let revision = Version::of(103 + number as u64);
        removed += roster
            .apply_deleted(now, &record.instance, revision)
            .updates
            .len();
    }
    assert_eq!(removed, 16);
}

/// An instance is replaced under its name. The newcomer is known by relay before a watcher is
/// told that the former object was deleted. That deletion must not remove the newcomer.
#[test]
fn a_late_deletion_spares_the_next_life() {
    let now = Instant::now();
    let (mut roster, all) = listed(now);
    let next = Record {
        incarnation: Incarnation(2),
        ..all[150].clone()
    };
    roster.merge(now, next.clone());
    assert_eq!(
        roster
            .apply_deleted(now, &next.instance, Version::of(101))
            .updates,
        []
    );
    assert_eq!(roster.get(&next.instance), Some(&next));
    let lacking: Vec<Record> = all
        .iter()
        .filter(|r| r.instance != next.instance)
        .cloned()
        .collect();
    assert_eq!(
        roster
            .apply_listing(now, &lacking, Version::of(102))
            .updates,
        []
    );
    roster.apply_written(now, &next, Version::of(103));
    let removed = roster
        .apply_listing(now, &lacking, Version::of(104))
        .updates;
    assert_eq!(
        removed,
        [Record {
            state: State::Gone,
            ..next
        }]
    );
}

/// An instance was removed by its observers, and its object is still there. A watcher of its
/// zone is told to delete it; else each newcomer would take the dead instance for a target.
#[test]
fn the_object_of_a_removed_instance_is_swept() {
    let now = Instant::now();
    let (mut roster, all) = listed(now);
    for number in [50, 150] {
        roster.merge(
            now,
            Record {
                state: State::Gone,
                ..all[number].clone()
            },
        );
    }
    let listing = roster.apply_listing(now, &all, Version::of(101));
    assert_eq!(listing.stale, [all[50].clone()]);
    assert_eq!(listing.updates, []);
    let newcomer = record("sorel", 100);
    let listing = roster.apply_written(now, &newcomer, Version::of(102));
    assert_eq!(listing.updates, [newcomer]);
}
