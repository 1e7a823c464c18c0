//! How soon news is everywhere, and at what cost.

use std::time::Duration;

use tokio::time::sleep;

use crate::world::{World, long_text, text};

#[tokio::test(start_paused = true)]
async fn rules_reach_the_last_of_100_daemons_within_a_second() {
    for zones in [1, 4] {
        let world = World::start(100, zones).await;
        sleep(Duration::from_secs(10)).await;
        let version = world.put_rules(&text("second")).await;
        let took = world.in_force(version, 10).await.unwrap();
        println!("{zones} zones: {took:?}");
        assert!(took < Duration::from_secs(1), "{took:?}");
        // A text that is too long for the tree is fetched level by level.
        let version = world.put_rules(&long_text("long", 900_000)).await;
        let took = world.in_force(version, 10).await.unwrap();
        println!("{zones} zones, 900 KB: {took:?}");
        assert!(took < Duration::from_secs(1), "{took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_watcher_killed_at_that_moment_costs_less_than_a_second() {
    // An operator changes the rules, and at that moment one of the zone's three watchers stops.
    // It never passes the change on, and the daemons below it in the tree wait for it. The other
    // two tell it too, get no answer, and take its children over. Callers see the new rules on
    // every daemon within the second; without this it would take until the beats.
    for killed in 0..3 {
        let world = World::start(100, 1).await;
        sleep(Duration::from_secs(10)).await;
        let name = world.watchers()[killed].name.clone();
        let version = world.put_rules(&text("second")).await;
        world.kill(&name);
        let took = world.in_force(version, 10).await.unwrap();
        println!("{name} killed: {took:?}");
        assert!(took < Duration::from_secs(1), "{took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn calls_on_the_store_fall_for_each_daemon_as_daemons_grow() {
    let mut before = f64::MAX;
    for count in [3, 10, 30, 100] {
        let world = World::start(count, 1).await;
        let cost = world.cost(60).await;
        println!("{count} daemons: {cost:?}");
        assert!(cost.calls > 0.0, "the watchers call");
        assert!((100.0..1_000.0).contains(&cost.bytes), "{cost:?}");
        // A waiting watch counts as one call a second, the strictest way to read the platform.
        let each = (cost.calls + cost.waiting) / count as f64;
        assert!(
            each < before * 0.5,
            "{each} calls/s a daemon, {before} before"
        );
        before = each;
    }
}

#[tokio::test(start_paused = true)]
async fn control_traffic_of_100_daemons_is_under_9_kilobytes_a_second_each() {
    // With a change of 16 KB every 35 s, which is 2,500 a day.
    let world = World::start(100, 4).await;
    sleep(Duration::from_secs(60)).await;
    let before = world.bytes();
    for change in 0..10 {
        let text = long_text(&format!("rules-{change}"), 15_800);
        let version = world.put_rules(&text).await;
        sleep(Duration::from_secs(35)).await;
        assert!(world.nodes.iter().all(|node| node.rules() == version));
    }
    let each = (world.bytes() - before) as f64 / 350.0 / 100.0;
    println!("{each} bytes/s");
    assert!((200.0..9_000.0).contains(&each), "{each} bytes/s");
}
