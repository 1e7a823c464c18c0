//! Which confirmations count, and when.

use std::time::Duration;

use bytes::Bytes;
use confirm::{Clock, Confirmation, Holding, Moment, Offer, Place, Report, Schedule};
use tokio::time::Instant;
use unit::{Era, Version};

fn clock() -> Clock {
    Clock::new(|| Duration::ZERO)
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn confirmation(began: Moment, rules: u64) -> Confirmation {
    Confirmation {
        began,
        versions: vec![Version::of(rules)],
        values: vec![None],
    }
}

fn later(moment: Moment, by: u64) -> Moment {
    moment.after(ms(by)).expect("is in the clock's range")
}

#[test]
fn a_confirmation_of_rules_not_in_force_does_not_count() {
    let start = clock().now();
    let mut holding = Holding::default();
    holding.offer(confirmation(start, 7));
    assert_eq!(holding.confirmed_at(Version::of(6)), None);
    assert_eq!(holding.confirmed_at(Version::of(7)), Some(start));
}

#[test]
fn rules_in_force_stay_confirmed_as_of_the_last_read_that_showed_them() {
    let start = clock().now();
    let mut holding = Holding::default();
    holding.offer(confirmation(start, 7));
    holding.offer(confirmation(later(start, 800), 8));
    holding.offer(confirmation(later(start, 1_600), 8));
    assert_eq!(holding.confirmed_at(Version::of(7)), Some(start));
    assert_eq!(
        holding.confirmed_at(Version::of(8)),
        Some(later(start, 1_600))
    );
}

#[test]
fn newer_rules_than_the_confirmed_ones_count() {
    // The store came back from a copy with an older configuration.
    let start = clock().now();
    let mut holding = Holding::default();
    let mut older = confirmation(start, 0);
    older.versions = vec![Version::in_era(Era(1), 5)];
    holding.offer(older);
    assert_eq!(
        holding.confirmed_at(Version::in_era(Era(1), 6)),
        Some(start)
    );
}

#[test]
fn no_object_confirms_no_rules() {
    // Nothing tells a configuration that was removed from one that cannot be read.
    let start = clock().now();
    let mut holding = Holding::default();
    holding.offer(confirmation(start, 0));
    assert_eq!(holding.confirmed_at(Version::of(7)), None);
}

#[test]
fn an_answer_overtaken_by_a_newer_one_brings_no_version_back() {
    // The moments of two ways differ by their delays, so that the older read may seem later.
    let start = clock().now();
    let mut holding = Holding::default();
    assert_eq!(holding.offer(confirmation(start, 8)), Offer::Changed);
    assert_eq!(holding.offer(confirmation(later(start, 30), 7)), Offer::Old);
    assert_eq!(
        holding.newest().map(Confirmation::rules),
        Some(Version::of(8))
    );
    // After a restoration of the store it stays lower.
    assert_eq!(
        holding.offer(confirmation(later(start, 1_000), 7)),
        Offer::Changed
    );
}

#[test]
fn versions_that_are_never_in_force_are_bounded_in_number() {
    let start = clock().now();
    let mut holding = Holding::default();
    for version in 1..10_000 {
        holding.offer(confirmation(later(start, version), version));
    }
    assert_eq!(holding.confirmed_at(Version::of(9_000)), None);
    assert_eq!(
        holding.confirmed_at(Version::of(9_999)),
        Some(later(start, 9_999))
    );
}

#[test]
fn a_report_carries_only_the_contents_that_the_asker_lacks() {
    let start = clock().now();
    let held = Confirmation {
        began: start,
        versions: [3, 4, 5].map(Version::of).to_vec(),
        values: vec![None, Some(Bytes::from("four")), Some(Bytes::from("five"))],
    };
    let newer = Confirmation {
        began: later(start, 500),
        versions: [3, 4, 6].map(Version::of).to_vec(),
        values: vec![None, Some(Bytes::from("four")), Some(Bytes::from("six"))],
    };
    let report = Report::of(&newer, later(start, 700), &held.versions);
    assert_eq!(report.age, ms(200));
    let places: Vec<u32> = report
        .contents
        .iter()
        .map(|content| content.place)
        .collect();
    assert_eq!(places, [2]);
    let asked = later(start, 690);
    let received = report
        .clone()
        .received(asked, Some(&held))
        .expect("is whole");
    assert_eq!(received.began, later(start, 490));
    assert_eq!(received.values, newer.values);
    // The asker holds other contents by the time of the answer.
    assert_eq!(report.received(asked, None), None);
}

#[test]
fn time_of_suspensions_counts() {
    let clock = Clock::new(|| ms(4_000));
    let now = Instant::now();
    let before = self::clock().at(now);
    assert_eq!(clock.at(now + ms(500)).since(before), ms(4_500));
}

#[test]
fn the_clock_of_this_machine_does_not_go_back() {
    let clock = Clock::system();
    let moments: Vec<Moment> = (0..1_000).map(|_| clock.now()).collect();
    assert!(moments.is_sorted());
}

#[test]
fn each_rank_reads_later_than_the_one_before() {
    let schedule = Schedule::new(Some(ms(5_000)));
    let ages: Vec<Duration> = (0..20)
        .filter_map(|rank| schedule.read_age(Place::Watcher { rank, of: 20 }, false))
        .collect();
    assert_eq!(ages[..3], [ms(800), ms(1_100), ms(1_400)]);
    assert!(ages.is_sorted());
    // All have read before confirmations end.
    assert_eq!(ages.last(), Some(&ms(3_000)));
    assert_eq!(schedule.lasts(), Some(ms(4_500)));
    let failed = schedule.read_age(Place::Watcher { rank: 0, of: 6 }, true);
    assert_eq!(failed, Some(ms(2_600)));
    assert_eq!(schedule.read_age(Place::Member, false), None);
}
