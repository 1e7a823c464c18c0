//! Targets that join, close, or can't be reached.

use std::time::Duration;

use pick::{Need, Pick, Preference, Setting, Target};
use tokio::time::Instant;
use unit::{Incarnation, Urgency, Zone};

use crate::world::{answer, report};
use pick::Kind;

fn target(name: &str, zone: &str) -> Target {
    Target {
        instance: name.parse().expect("a name"),
        zone: zone.parse().expect("a zone"),
        incarnation: Incarnation(1),
        leaving: false,
    }
}

/// A choice in `near` with two targets there and one far, where the far cost much.
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

/// A target joins in another zone while there is little to do. Estimates keep all requests near, and
/// it would never be asked until it is needed: so each entry asks it once.
#[test]
fn one_that_joins_far_away_is_asked_once() {
    let mut now = Instant::now();
    let mut pick = pick(now);
    chosen(&mut pick, &mut now, 50);
    let mut all = vec![target("a", "near"), target("b", "near"), target("c", "far")];
    all.push(target("d", "far"));
    pick.set_targets(now, &all);
    let asked = chosen(&mut pick, &mut now, 50);
    assert_eq!(
        asked.iter().filter(|name| *name == "d").count(),
        1,
        "{asked:?}"
    );
}

/// A call to another zone is paid for by the byte, so requests stay while the wait is short, and go
/// when it is long.
#[test]
fn requests_stay_in_their_zone_while_the_wait_is_short() {
    let mut now = Instant::now();
    let mut pick = pick(now);
    let near = chosen(&mut pick, &mut now, 100);
    let far = near.iter().filter(|name| *name == "c").count();
    assert!(far <= 2, "{far} of 100 went far");
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

/// A target without a link, or whose gate has said that it takes no work, is passed over while there
/// are others; when there are none, it is better than nothing.
#[test]
fn closed_and_cut_targets_are_passed_over() {
    let mut now = Instant::now();
    let mut pick = pick(now);
    chosen(&mut pick, &mut now, 20);
    pick.set_unreachable(&"a".parse().expect("a name"), true);
    let asked = chosen(&mut pick, &mut now, 20);
    assert!(!asked.contains(&"a".to_string()), "{asked:?}");
    let closed = unit::Report {
        closed: true,
        ..report(0, 0)
    };
    pick.receive_report(now, &"b".parse().expect("a name"), closed);
    let need = Need::of(Urgency::Routine);
    let instance = pick.choose(now, &need).expect("a target");
    assert_eq!(instance.as_str(), "c");
    now += Duration::from_millis(600);
    let asked = chosen(&mut pick, &mut now, 20);
    assert!(
        asked.contains(&"b".to_string()),
        "it is asked again: {asked:?}"
    );
}

/// Thirty targets join a service of 66, and 40 entries use each of them. If each entry asked each new
/// one with its next requests, a new target would have 40 requests in the moment in which it is cold, and
/// runs seven. Together the entries send it its fair share, and each has asked it soon.
#[test]
fn targets_that_join_are_not_asked_by_all_at_once() {
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
    let mut asked = std::collections::BTreeMap::new();
    for pick in &mut entries {
        for _ in 0..10 {
            let instance = pick.choose(now, &need).expect("a target");
            pick.begin(now, &instance);
            *asked.entry(instance).or_insert(0) += 1;
        }
    }
    let newest = |number: usize| asked.get(&name(number).parse().expect("a name"));
    let most = (66..96).filter_map(newest).max().copied().unwrap_or(0);
    // 400 requests over 96 targets are 4 for each.
    assert!(most <= 14, "{most} for one new target");
    let first = (66..96).filter(|number| newest(*number).is_some()).count();
    assert!(first >= 20, "{first} of 30 new targets were asked");
}
