//! Network partitions between zones and regions, and their end.

use std::collections::BTreeSet;
use std::time::Duration;

use roster::{Ask, Roster, State};
use tokio::time::Instant;
use unit::Instance;

use crate::world::{SECOND, World, records, roster};

const ZONES: [&str; 8] = ["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2"];

/// Whether two instances are on the same side of a partition, by the start of their names.
fn same_side(side: &'static str) -> impl Fn(&Instance, &Instance) -> bool {
    move |from, to| from.as_str().starts_with(side) == to.as_str().starts_with(side)
}

fn partition(side: &'static str, each: u16, seconds: u64) -> World {
    let mut world = World::new(&records(&ZONES, each));
    world.run(30, &|_, _| true);
    world.run(seconds, &same_side(side));
    world
}

fn all_live(world: &World) -> bool {
    let all = world.rosters.len();
    world
        .rosters
        .keys()
        .all(|name| world.counts(name.as_str()) == (all, 0))
}

/// A zone, and then a region, is cut off for ten minutes. Its callers are served by its own
/// targets, which stay live and not suspect; targets beyond the partition are suspect and not
/// removed. When the network is restored no target is suspect after 30 s, and the platform is never
/// called.
#[test]
fn a_partitioned_side_serves_itself_and_recovers_without_the_platform() {
    for (side, zones) in [("a1", 1), ("b", 3)] {
        let mut world = partition(side, 5, 600);
        let name = if side == "b" { "b1-0" } else { "a1-0" };
        let now = world.now;
        let dump = world.roster(name).dump(now);
        let zone = |name: &Instance| name.as_str()[..2].to_string();
        let observed: BTreeSet<String> = dump.subjects.iter().map(zone).collect();
        assert!(observed.len() > zones + 1, "{side}: {observed:?}");
        for line in &dump.instances {
            let beyond = !line.instance.as_str().starts_with(side);
            let unreachable = beyond && observed.contains(&zone(&line.instance));
            assert_eq!(line.suspect, unreachable, "{side}: {}", line.instance);
        }
        assert!(
            world
                .rosters
                .keys()
                .all(|name| world.counts(name.as_str()).0 == 40)
        );
        world.run(30, &|_, _| true);
        assert!(all_live(&world), "{side}");
        assert_eq!((world.writes, world.reads), (0, 0), "{side}");
    }
}

/// A region is cut off for more than an hour. The other five zones may remove its instances; it
/// must not remove theirs, being the smaller side. Afterwards each removed instance refutes its
/// removal by one write, spread over 30 s, and every caller has all targets again.
#[test]
fn the_smaller_side_never_removes_the_larger() {
    let mut world = partition("b", 4, 3_900);
    assert_eq!(world.counts("b2-1").0, 32);
    let removed = 32 - world.counts("c1-2").0;
    println!("removed after an hour: {removed} of 12");
    assert!(removed > 0);
    world.run(90, &|_, _| true);
    assert!(all_live(&world));
    assert_eq!(world.writes, removed);
    assert_eq!(world.reads, 0);
}

/// Guards against overloading the platform. All watchers of a zone of 225 stop and no heartbeat
/// arrives, so no daemon receives updates. If all called the platform at once they would take its
/// reads from others. Neighbours are asked first, and the whole zone calls the platform about five
/// times a second.
#[test]
fn a_zone_without_updates_staggers_its_platform_calls() {
    let now = Instant::now();
    let all = records(&["levis"], 225);
    let mut rosters: Vec<Roster> = all[..225]
        .iter()
        .map(|own| roster(now, own, &all))
        .collect();
    let mut peers = 0;
    let mut calls = Vec::new();
    for second in 0..300 {
        let at = now + SECOND * second;
        let asks = rosters.iter_mut().filter_map(|roster| roster.fallback(at));
        let asks: Vec<Ask> = asks.collect();
        let platform = asks.iter().filter(|ask| **ask == Ask::Platform).count();
        peers += asks.len() - platform;
        calls.push(platform);
    }
    let most = calls.iter().max().copied().unwrap_or(0);
    let total: usize = calls.iter().sum();
    println!("platform calls: {total} in 300 s, at most {most} in one; {peers} to neighbours");
    assert_eq!(peers, 3 * 225);
    assert!((400..=1_500).contains(&total), "{total}");
    assert!(most <= 16, "{most}");
    let updated = &mut rosters[0];
    updated.update_received(now + SECOND * 300);
    assert_eq!(updated.fallback(now + Duration::from_secs(304)), None);
}

/// An instance announces that it leaves while the platform is down. Daemons that receive this send
/// it no new work, and its end is known without its object being deleted.
#[test]
fn leaving_needs_no_platform() {
    let mut world = World::new(&records(&ZONES[..4], 3));
    world.run(10, &|_, _| true);
    let now = world.now;
    world.roster("a2-1").leave(now);
    world.run(1, &|_, _| true);
    assert!(
        world
            .rosters
            .keys()
            .all(|name| world.counts(name.as_str()).0 == 11)
    );
    let now = world.now;
    world.roster("a2-1").depart(now);
    world.run(1, &|_, _| true);
    let left: Instance = "a2-1".parse().unwrap();
    let gone = |roster: &Roster| roster.get(&left).map(|record| record.state) == Some(State::Gone);
    assert!(world.rosters.values().all(gone));
}
