//! Watchers, fan-out and heartbeats at the design size of 1,800 instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use roster::{Policy, Record, Roster, State, heartbeat};
use tokio::time::Instant;
use unit::Instance;

use crate::world::{records, roster};

const DEGREE: usize = 8;

fn zone() -> (Vec<Record>, Roster) {
    let all = records(&["levis"], 225);
    let roster = roster(Instant::now(), &all[0], &all);
    (all, roster)
}

/// Returns how many of the zone's 225 a message reaches from its watchers if `missing` relay
/// nothing.
fn reached(roster: &Roster, all: &[Record], seeds: &[u64], missing: &BTreeSet<Instance>) -> usize {
    let mut known: BTreeSet<Instance> = BTreeSet::new();
    for seed in seeds {
        let mut queue = roster.watchers(&all[0].zone, 3);
        let mut seen = BTreeSet::new();
        while let Some(name) = queue.pop() {
            if missing.contains(&name) || !seen.insert(name.clone()) {
                continue;
            }
            let children = roster.relay_children(*seed, &name);
            assert!(children.len() <= DEGREE);
            queue.extend(children);
        }
        known.extend(seen);
    }
    known.len()
}

/// Each of 225 instances receives a message once, and none sends more than eight.
#[test]
fn the_tree_reaches_all() {
    let (all, roster) = zone();
    let mut got: BTreeMap<Instance, usize> = BTreeMap::new();
    for record in &all {
        for child in roster.relay_children(7, &record.instance) {
            *got.entry(child).or_default() += 1;
        }
    }
    assert_eq!(got.len(), 222);
    assert!(got.values().all(|count| *count == 1));
    assert_eq!(reached(&roster, &all, &[7], &BTreeSet::new()), 225);
}

/// A tenth of the zone has stopped and no daemon has detected it. Instances below a stopped one in
/// the tree miss the message until the next heartbeat; a second tree leaves far fewer of them
/// unreached.
#[test]
fn a_tenth_missing_leaves_few_unreached() {
    let (all, roster) = zone();
    let mut unreached = [0, 0];
    for round in 0..50u64 {
        let missing: BTreeSet<Instance> = (0..22)
            .map(|step| {
                all[((round * 31 + step * 10 + 1) % 225) as usize]
                    .instance
                    .clone()
            })
            .collect();
        let live = 225 - missing.len();
        unreached[0] += live - reached(&roster, &all, &[2 * round], &missing);
        unreached[1] += live - reached(&roster, &all, &[2 * round, 2 * round + 1], &missing);
    }
    println!(
        "unreached of 50 x 203: {} by one tree, {} by two",
        unreached[0], unreached[1]
    );
    assert!(unreached[0] * 4 < 50 * 203, "{unreached:?}");
    assert!(unreached[1] * 3 < unreached[0], "{unreached:?}");
}

/// Guards against changes of watchers, each of which costs calls to the platform. If an instance
/// that is no watcher stops, the watchers stay; if a watcher stops, only it is replaced.
#[test]
fn watchers_are_stable() {
    let (all, full) = zone();
    let zone = &all[0].zone;
    let before = full.watchers(zone, 3);
    for gone in &all[1..] {
        let mut less = roster(Instant::now(), &all[0], &all);
        less.merge(
            Instant::now(),
            Record {
                state: State::Gone,
                ..gone.clone()
            },
        );
        let after = less.watchers(zone, 3);
        let kept: Vec<&Instance> = before
            .iter()
            .filter(|name| **name != gone.instance)
            .collect();
        assert!(
            kept.into_iter()
                .eq(after.iter().filter(|name| before.contains(name)))
        );
        assert_eq!(after.len(), 3);
    }
}

/// With 1,800 instances in 8 zones each sends heartbeats to 11 observers, and no daemon receives so
/// many that heartbeats take more than a third of its 9 KB/s.
#[test]
fn heartbeats_stay_within_the_allowance() {
    let all = records(&["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2"], 225);
    let roster = roster(Instant::now(), &all[0], &all);
    let mut heard: BTreeMap<Instance, usize> = BTreeMap::new();
    for record in all.iter().step_by(8) {
        let observers = roster.observers(&record.instance);
        assert_eq!(observers.len(), 11);
        for observer in observers {
            *heard.entry(observer).or_default() += 1;
        }
    }
    let subjects = roster.dump(Instant::now()).subjects.len();
    println!("the first daemon observes {subjects}");
    let cost = heartbeat::cost(Policy::default().heartbeat_interval(), 11, subjects.max(30));
    println!(
        "{:.0} bytes a second with {} observed",
        cost.bytes.per_second(),
        subjects.max(30)
    );
    assert!(cost.bytes.per_second() < 3_000.0);
    assert!(heard.values().all(|count| *count < 15), "{heard:?}");
    assert_eq!(
        Policy::default().heartbeat_interval(),
        Duration::from_secs(5)
    );
}
