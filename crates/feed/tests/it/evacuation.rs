//! Evacuations of availability zones, from the store to every daemon.

use std::time::Duration;

use bytes::Bytes;
use store::Condition;
use tokio::time::{Instant, sleep};
use unit::Zone;

use crate::world::{EVACUATIONS, World};

/// What operators are promised.
const BOUND: Duration = Duration::from_secs(5);

fn zone(name: &str) -> Zone {
    name.parse().expect("a zone")
}

impl World {
    async fn evacuate(&self, zone: &str) {
        let store = self.platform.store_named("operator");
        let key = format!("{EVACUATIONS}{zone}");
        let put = store.put(&key, Bytes::from("{}"), Condition::Any).await;
        put.expect("the operator reaches the platform");
    }

    async fn take_back(&self, zone: &str) {
        let store = self.platform.store_named("operator");
        let key = format!("{EVACUATIONS}{zone}");
        let deleted = store.delete(&key, Condition::Any).await;
        deleted.expect("the operator reaches the platform");
    }

    /// The time until all daemons that run hold just these zones for evacuated.
    async fn evacuated(&self, zones: &[&str]) -> Duration {
        let zones: std::collections::BTreeSet<Zone> = zones.iter().map(|name| zone(name)).collect();
        let agree = || {
            let mut alive = self.alive();
            alive.all(|node| *node.evacuations.zones() == zones)
        };
        let time = self.until(60, agree).await;
        time.expect("all agree within a minute")
    }
}

#[tokio::test(start_paused = true)]
async fn evacuation_begins_and_ends_everywhere_within_a_second() {
    let world = World::evacuable(67).await;
    world.evacuate("gialam").await;
    assert!(world.evacuated(&["gialam"]).await < Duration::from_secs(1));
    world.evacuate("dongda").await;
    assert!(world.evacuated(&["dongda", "gialam"]).await < Duration::from_secs(1));
    world.take_back("gialam").await;
    assert!(world.evacuated(&["dongda"]).await < Duration::from_secs(1));
}

/// An evacuation that was taken back and begun again within one pause of the watches was lost.
#[tokio::test(start_paused = true)]
async fn evacuation_begun_again_at_once_is_not_lost() {
    let world = World::evacuable(20).await;
    for _ in 0..5 {
        world.evacuate("gialam").await;
        world.take_back("gialam").await;
        world.evacuate("gialam").await;
        sleep(Duration::from_millis(30)).await;
    }
    assert!(world.evacuated(&["gialam"]).await < BOUND);
    sleep(Duration::from_secs(20)).await;
    assert!(world.evacuated(&["gialam"]).await.is_zero());
}

/// A daemon that started during an evacuation sent requests to the evacuated zone.
#[tokio::test(start_paused = true)]
async fn newly_started_daemon_learns_of_an_earlier_evacuation() {
    let mut world = World::evacuable(20).await;
    world.evacuate("gialam").await;
    world.evacuated(&["gialam"]).await;
    world.add(20);
    assert!(world.evacuated(&["gialam"]).await < Duration::from_secs(3));
}

/// All daemons lost power during an evacuation, and nobody was left who knew of it.
#[tokio::test(start_paused = true)]
async fn evacuation_outlasts_a_power_failure_of_all_daemons() {
    let mut world = World::evacuable(20).await;
    world.evacuate("gialam").await;
    world.evacuated(&["gialam"]).await;
    let names: Vec<_> = world.nodes.iter().map(|node| node.name.clone()).collect();
    names.iter().for_each(|name| world.kill(name));
    (0..names.len()).for_each(|number| world.restart(number));
    let begin = Instant::now();
    world.evacuated(&["gialam"]).await;
    assert!(
        begin.elapsed() < Duration::from_secs(3),
        "{:?}",
        begin.elapsed()
    );
}

/// The store turned away all watchers of one zone, and that zone's entries went on sending.
#[tokio::test(start_paused = true)]
async fn zone_whose_watchers_are_turned_away_hears_from_others() {
    let world = World::evacuable(20).await;
    for node in world.watchers() {
        if node.zone() == zone("gialam") {
            world.platform.fault_of(node.name.as_str()).down(true);
        }
    }
    world.evacuate("dongda").await;
    assert!(world.evacuated(&["dongda"]).await < Duration::from_secs(2));
}

/// The store turned all daemons away while an evacuation ended, so that no watch reported the end.
#[tokio::test(start_paused = true)]
async fn end_that_no_watch_reports_is_found_by_a_listing() {
    let world = World::evacuable(20).await;
    world.evacuate("gialam").await;
    world.evacuated(&["gialam"]).await;
    let turn_away = |down| {
        let names = world.nodes.iter().map(|node| node.name.as_str());
        names.for_each(|name| world.platform.fault_of(name).down(down));
    };
    turn_away(true);
    sleep(Duration::from_secs(5)).await;
    world.take_back("gialam").await;
    sleep(Duration::from_secs(5)).await;
    turn_away(false);
    assert!(world.evacuated(&[]).await < BOUND);
}

/// An object whose name is not that of a zone hid the evacuations beside it.
#[tokio::test(start_paused = true)]
async fn object_that_names_no_zone_evacuates_nothing() {
    let world = World::evacuable(8).await;
    world.evacuate("gialam/old").await;
    world.evacuate("gialam").await;
    assert!(world.evacuated(&["gialam"]).await < Duration::from_secs(1));
}

/// The store came back from an older copy without an evacuation, and traffic returned to the zone
/// before the operator had written it again.
#[tokio::test(start_paused = true)]
async fn evacuation_goes_on_while_a_restored_store_lacks_it() {
    let world = World::evacuable(12).await;
    let copy = world.platform.snapshot();
    world.evacuate("gialam").await;
    world.evacuated(&["gialam"]).await;
    world.platform.restore(copy);
    for _ in 0..8 {
        sleep(Duration::from_secs(1)).await;
        assert!(world.evacuated(&["gialam"]).await.is_zero());
    }
    world.evacuate("gialam").await;
    sleep(Duration::from_secs(20)).await;
    assert!(world.evacuated(&["gialam"]).await.is_zero());
    world.take_back("gialam").await;
    assert!(world.evacuated(&[]).await < BOUND);
}

/// What the operator does not write again after a restoration has ended.
#[tokio::test(start_paused = true)]
async fn evacuation_that_a_restored_store_lacks_ends_at_last() {
    let world = World::evacuable(12).await;
    let copy = world.platform.snapshot();
    world.evacuate("gialam").await;
    world.evacuated(&["gialam"]).await;
    world.platform.restore(copy);
    assert!(world.evacuated(&[]).await < Duration::from_secs(20));
}

/// Following evacuations must cost a quiet fleet next to nothing: two watches for each zone.
#[tokio::test(start_paused = true)]
async fn quiet_fleet_pays_two_watches_a_zone() {
    let world = World::evacuable(67).await;
    let (calls, bytes) = (world.calls(), world.bytes());
    sleep(Duration::from_secs(100)).await;
    let watches = world.watchers().len() as u64;
    let calls = world.calls() - calls;
    // Two watches of 25 s for rules and evacuations, and one of each zone for announcements.
    assert!(
        calls <= 4 * (2 * watches + 4) + 8,
        "{calls} calls by {watches} watchers"
    );
    let each = (world.bytes() - bytes) / 100 / 67;
    assert!(each < 9_000, "{each} bytes a second");
}
