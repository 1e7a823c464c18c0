//! Zones and regions that part, and come back.

use std::collections::BTreeSet;
use std::time::Duration;

use roster::{Ask, Roster, State};
use tokio::time::Instant;
use unit::Instance;

use crate::world::{SECOND, World, records, roster};

const ZONES: [&str; 8] = ["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2"];

/// The side of a partition that an instance is on, by the start of its name.
fn inside(side: &'static str) -> impl Fn(&Instance, &Instance) -> bool {
    move |from, to| from.as_str().starts_with(side) == to.as_str().starts_with(side)
}

fn part(side: &'static str, each: u16, seconds: u64) -> World {
    let mut world = World::new(&records(&ZONES, each));
    world.run(30, &|_, _| true);
    world.run(seconds, &inside(side));
    world
}

fn whole(world: &World) -> bool {
    let all = world.rosters.len();
    world
        .rosters
        .keys()
        .all(|name| world.counts(name.as_str()) == (all, 0))
}

/// A zone, and then a region, is cut off for ten minutes. Its callers are served by its own
/// targets, which stay live and unsuspected; those beyond the cut are suspect and not removed.
/// When the way is back all are trusted again within seconds, and the platform is never called.
#[test]
fn a_side_cut_off_serves_itself_and_comes_back_without_the_platform() {
    for (side, zones) in [("a1", 1), ("b", 3)] {
        let mut world = part(side, 5, 600);
        let name = if side == "b" { "b1-0" } else { "a1-0" };
        let now = world.now;
        let dump = world.roster(name).dump(now);
        let zone = |name: &Instance| name.as_str()[..2].to_string();
        let observed: BTreeSet<String> = dump.subjects.iter().map(zone).collect();
        assert!(observed.len() > zones + 1, "{side}: {observed:?}");
        for line in &dump.instances {
            let beyond = !line.instance.as_str().starts_with(side);
            let dark = beyond && observed.contains(&zone(&line.instance));
            assert_eq!(line.suspect, dark, "{side}: {}", line.instance);
        }
        assert!(
            world
                .rosters
                .keys()
                .all(|name| world.counts(name.as_str()).0 == 40)
        );
        world.run(30, &|_, _| true);
        assert!(whole(&world), "{side}");
        assert_eq!((world.writes, world.reads), (0, 0), "{side}");
    }
}

/// A region is away for more than an hour. The other five zones may remove its instances; it must
/// not remove theirs, being the smaller side. On return each removed instance refutes by one
/// write, spread over half a minute, and every caller has all targets again.
#[test]
fn the_smaller_side_never_removes_the_larger() {
    let mut world = part("b", 4, 3_900);
    assert_eq!(world.counts("b2-1").0, 32);
    let removed = 32 - world.counts("c1-2").0;
    println!("removed after an hour: {removed} of 12");
    assert!(removed > 0);
    world.run(90, &|_, _| true);
    assert!(whole(&world));
    assert_eq!(world.writes, removed);
    assert_eq!(world.reads, 0);
}

/// All watchers of a zone of 225 stop, and no heartbeat gets through: nobody hears any news. If
/// all asked the platform at once they would take its reads from the rest. Neighbours are asked
/// first, and the platform about five times a second by the whole zone.
#[test]
fn a_zone_without_news_asks_the_platform_in_turn() {
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
    let heard = &mut rosters[0];
    heard.update_received(now + SECOND * 300);
    assert_eq!(heard.fallback(now + Duration::from_secs(304)), None);
}

/// An instance announces that it leaves while the platform is down. It gets no new work from
/// anybody who is told, and its end is known without its object being deleted.
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
