//! Targets that are added, take no work, or have no link.

use std::time::Duration;

use pick::{Need, Pick, Preference, Setting, Target};
use tokio::time::Instant;
use unit::{Incarnation, Urgency, Zone};

use crate::world::{answer, report};
use pick::Kind;

fn target(name: &str, zone: &str) -> Target {
    Target {
        instance: name.parse().expect("a name"),
        region: "r".to_string(),
        zone: zone.parse().expect("a zone"),
        incarnation: Incarnation(1),
        leaving: false,
        evacuated: false,
    }
}

/// A [`Pick`] in zone `near` with two targets there and one in `far`, at a high cross-zone cost.
fn pick(now: Instant) -> Pick {
    let zone: Zone = "near".parse().expect("a zone");
    let setting = Setting {
        cross_zone_cost: 2.0,
        ..Setting::default()
    };
    let mut pick = Pick::builder(zone).seed(7).setting(setting).build();
    pick.set_targets(
        now,
        &[target("a", "near"), target("b", "near"), target("c", "far")],
    );
    pick
}

fn chosen(pick: &mut Pick, now: &mut Instant, count: usize) -> Vec<String> {
    let need = Need::of(Urgency::Routine);
    let choose = |_| {
        *now += Duration::from_millis(20);
        let instance = pick.choose(*now, &need).expect("a target");
        pick.begin(*now, &instance);
        *now += Duration::from_millis(10);
        pick.end(*now, &instance, &answer(Kind::Ok, 10, report(1, 0)));
        instance.to_string()
    };
    (0..count).map(choose).collect()
}

/// A target joins in another zone at low load. The estimates keep all requests in their zone, so
/// without this it would get no call until it is needed, and its speed would be unknown.
#[test]
fn a_new_target_in_another_zone_is_called_once() {
    let mut now = Instant::now();
    let mut pick = pick(now);
    chosen(&mut pick, &mut now, 50);
    let mut all = vec![target("a", "near"), target("b", "near"), target("c", "far")];
    all.push(target("d", "far"));
    pick.set_targets(now, &all);
    let called = chosen(&mut pick, &mut now, 50);
    assert_eq!(
        called.iter().filter(|name| *name == "d").count(),
        1,
        "{called:?}"
    );
}

/// Traffic between zones is billed by the byte, so requests leave their zone only when the wait
/// there is long.
#[test]
fn requests_stay_in_their_zone_while_the_wait_is_short() {
    let mut now = Instant::now();
    let mut pick = pick(now);
    let near = chosen(&mut pick, &mut now, 100);
    let far = near.iter().filter(|name| *name == "c").count();
    assert!(far <= 2, "{far} of 100 left the zone");
    let need = Need {
        zone: Preference::Near,
        ..Need::of(Urgency::Routine)
    };
    for name in ["a", "b"] {
        pick.receive_report(now, &name.parse().expect("a name"), report(10, 60));
    }
    pick.receive_report(now, &"c".parse().expect("a name"), report(0, 0));
    let instance = pick.choose(now, &need).expect("a target");
    assert_eq!(instance.as_str(), "c");
}

/// A target that has no link, or reported that it takes no work, is passed over while there are
/// others. It is called again after the report has expired.
#[test]
fn closed_and_unreachable_targets_are_skipped() {
    let mut now = Instant::now();
    let mut pick = pick(now);
    chosen(&mut pick, &mut now, 20);
    pick.set_unreachable(&"a".parse().expect("a name"), true);
    let called = chosen(&mut pick, &mut now, 20);
    assert!(!called.contains(&"a".to_string()), "{called:?}");
    let closed = unit::Report {
        closed: true,
        ..report(0, 0)
    };
    pick.receive_report(now, &"b".parse().expect("a name"), closed);
    let need = Need::of(Urgency::Routine);
    let instance = pick.choose(now, &need).expect("a target");
    assert_eq!(instance.as_str(), "c");
    now += Duration::from_millis(600);
    let called = chosen(&mut pick, &mut now, 20);
    assert!(
        called.contains(&"b".to_string()),
        "it is called again: {called:?}"
    );
}

/// Thirty targets join a service of 66 that 40 entries use. If each entry sent each new target one
/// of its next requests, a new target would get 40 requests at once while it is cold and runs seven
/// at a time. All entries together must send it its fair share, and most new targets must get calls
/// soon.
#[test]
fn new_targets_are_not_called_by_all_entries_at_once() {
    const ENTRIES: u64 = 40;
    let mut now = Instant::now();
    let name = |number: usize| format!("t-{number}");
    let old: Vec<Target> = (0..66)
        .map(|number| target(&name(number), "near"))
        .collect();
    let all: Vec<Target> = (0..96)
        .map(|number| target(&name(number), "near"))
        .collect();
    let zone: Zone = "near".parse().expect("a zone");
    let mut entries: Vec<Pick> = (0..ENTRIES)
        .map(|seed| Pick::builder(zone.clone()).seed(seed).build())
        .collect();
    for pick in &mut entries {
        pick.set_targets(now, &old);
        chosen(pick, &mut now, 100);
        pick.set_targets(now, &all);
    }
    let need = Need::of(Urgency::Routine);
    let mut called = std::collections::BTreeMap::new();
    for pick in &mut entries {
        for _ in 0..10 {
            let instance = pick.choose(now, &need).expect("a target");
            pick.begin(now, &instance);
            *called.entry(instance).or_insert(0) += 1;
        }
    }
    let newest = |number: usize| called.get(&name(number).parse().expect("a name"));
    let most = (66..96).filter_map(newest).max().copied().unwrap_or(0);
    // 400 requests over 96 targets are 4 for each.
    assert!(most <= 14, "{most} for one new target");
    let first = (66..96).filter(|number| newest(*number).is_some()).count();
    assert!(first >= 20, "{first} of 30 new targets were called");
}
