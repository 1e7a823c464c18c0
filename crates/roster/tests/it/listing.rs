//! Which instances a listing of the platform may remove.

use roster::{Record, Roster, State};
use tokio::time::Instant;
use unit::{Incarnation, Version};

use crate::world::{SECOND, record, records, roster};

const ZONES: [&str; 2] = ["sorel", "levis"];

/// Returns a roster for which all 200 instances of two zones were listed, and that has received
/// something from those of its own zone.
fn listed(now: Instant) -> (Roster, Vec<Record>) {
    let all = records(&ZONES, 100);
    let mut roster = roster(now, &all[0], &all);
    roster.apply_listing(now, &all, Version::of(100));
    for record in &all[1..100] {
        roster.mark_seen(now, &record.instance);
    }
    (roster, all)
}

/// Guards against a platform that has lost its data and lists none or three of 200 instances.
/// Removing the others would leave callers without targets although all of them work. No instance
/// is removed, and the objects of recently seen instances are returned for writing again.
#[test]
fn a_listing_that_lost_data_removes_no_instance() {
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

/// Guards against a platform restored from an older copy: its revision goes backwards, and newer
/// objects are missing. Missing objects remove no instance then or for a minute after, also once
/// the revision has passed the former one. Recently seen instances get their objects back.
#[test]
fn a_restored_platform_removes_no_instance() {
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

/// An operator deletes the object of an instance from which this daemon has received nothing: it
/// is removed. A recently seen instance is kept, since it works whatever the platform lists.
#[test]
fn deleted_objects_remove_a_few_silent_instances() {
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

/// Guards against a late deletion removing a new instance. An instance is replaced under its name,
/// and the new one is known by relay before a watcher receives the deletion of the former object.
#[test]
fn a_late_deletion_keeps_the_next_incarnation() {
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

/// An instance was removed by its observers, and its object still exists. A watcher of its zone is
/// to delete it; otherwise each new instance would take the stopped one for a target.
#[test]
fn the_object_of_a_removed_instance_is_deleted() {
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
