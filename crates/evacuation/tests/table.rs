//! Tests of the merging of records.

use evacuation::{Record, Shared, Table};
use proptest::prelude::*;
use unit::{Era, Version, Zone};

fn zone(name: &str) -> Zone {
    name.parse().expect("a zone")
}

fn record(name: &str, revision: u64, evacuated: bool) -> Record {
    Record {
        zone: zone(name),
        version: Version::of(revision),
        evacuated,
    }
}

/// A slow peer sent a record of an evacuation that had ended, and the zone was evacuated again.
#[test]
fn ended_evacuation_does_not_come_back() {
    let mut table = Table::default();
    table.merge(&record("longbien", 5, true));
    table.merge(&record("longbien", 8, false));
    assert!(!table.merge(&record("longbien", 5, true)));
    assert!(!table.is_evacuated(&zone("longbien")));
}

/// A watch reported the deletion with the version of the deleted object, and lost to it.
#[test]
fn deletion_at_the_version_of_its_object_ends_the_evacuation() {
    let mut table = Table::default();
    table.merge(&record("longbien", 5, true));
    assert!(table.merge(&record("longbien", 5, false)));
    assert!(!table.merge(&record("longbien", 5, true)));
}

/// An evacuation that was ended and begun again within one pause of the watch must stay.
#[test]
fn evacuation_begun_again_holds_against_the_listing_before_it() {
    let mut table = Table::default();
    table.merge(&record("longbien", 5, true));
    table.merge(&record("longbien", 9, true));
    assert_eq!(table.apply_listing(&[], Version::of(7)), []);
    assert!(table.is_evacuated(&zone("longbien")));
}

/// A store that came back from an older copy lacked an evacuation, and traffic returned to the zone
/// before the operator had written it again.
#[test]
fn evacuation_outlasts_the_restoration_of_the_store() {
    let mut table = Table::default();
    table.merge(&record("longbien", 50, true));
    let restored = Version::in_era(Era(1), 40);
    assert_eq!(table.apply_restored_listing(&[], restored), []);
    assert!(table.is_evacuated(&zone("longbien")));
    assert_eq!(table.apply_listing(&[], restored).len(), 1);
    assert!(!table.is_evacuated(&zone("longbien")));
}

/// A writer that creates entries without end must not fill the memory of all daemons.
#[test]
fn number_of_zones_is_bounded() {
    let mut table = Table::default();
    for number in 0..10_000 {
        table.merge(&record(&format!("zone-{number}"), 1, true));
    }
    assert_eq!(table.records().len(), evacuation::MAX_ZONES);
}

#[test]
fn readers_are_notified_of_changes_only() {
    let shared = Shared::default();
    let mut zones = shared.subscribe();
    shared.merge(&[record("longbien", 5, true)]);
    assert!(zones.has_changed().expect("the table lives"));
    assert!(zones.borrow_and_update().contains(&zone("longbien")));
    shared.merge(&[record("longbien", 5, true), record("gialam", 6, false)]);
    assert!(!zones.has_changed().expect("the table lives"));
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let names = prop::sample::select(vec!["longbien", "gialam", "dongda"]);
    let one = (names, 1..20_u64, any::<bool>());
    prop::collection::vec(one.prop_map(|(name, at, on)| record(name, at, on)), 0..30)
}

proptest! {
    /// Daemons that received the same records in different orders must agree.
    #[test]
    fn order_of_records_does_not_matter(records in records(), seed in any::<u64>()) {
        let mut shuffled = records.clone();
        let length = shuffled.len().max(1);
        for at in 0..records.len() {
            let other = (seed as usize).wrapping_mul(at + 7) % length;
            shuffled.swap(at, other);
        }
        let (mut one, mut other) = (Table::default(), Table::default());
        for (record, swapped) in records.iter().zip(&shuffled) {
            one.merge(record);
            other.merge(swapped);
        }
        prop_assert_eq!(one.digest(), other.digest());
        prop_assert_eq!(one, other);
    }
}
