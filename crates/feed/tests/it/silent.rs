//! Watches that wait and are never answered, in fleets of several sizes.

use std::time::Duration;

use feed::{Confirm, Kind};
use tokio::time::sleep;

use crate::world::{World, text};

/// Time within which a change is in force, on the strictest deployment.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Time within which a change is in force while watches work: a pause behind the last one, and the way
/// down the tree.
const WATCHED: Duration = Duration::from_millis(150);

/// A fleet whose watchers check the rules, as on the users' platform.
async fn fleet(count: usize, zones: usize) -> World {
    let world = World::confirming(Confirm::default(), count, zones).await;
    world.settle().await
}

/// Guards against changes that come late because all watches are silent, however many daemons there are.
#[tokio::test(start_paused = true)]
async fn changes_are_in_force_in_time_though_all_watches_are_silent() {
    for (count, zones) in [(8, 4), (80, 3), (200, 4)] {
        let world = fleet(count, zones).await;
        for number in 0..5 {
            world.platform.fault().lose_watches();
            sleep(Duration::from_millis(3_000 + 170 * number)).await;
            let version = world.put_rules(&text(&format!("number-{number}"))).await;
            let took = world.in_force(version, 40).await.expect("is in force");
            println!("{count} daemons in {zones} zones: {took:?}");
            assert!(took < CONFIG_APPLY, "{count} daemons: {took:?}");
        }
    }
}

/// Guards against watches that stay silent although a change has shown that they are.
#[tokio::test(start_paused = true)]
async fn watches_that_have_missed_a_change_begin_anew() {
    let world = fleet(40, 4).await;
    world.platform.fault().lose_watches();
    let version = world.put_rules(&text("missed")).await;
    world.in_force(version, 5).await.expect("is in force");
    sleep(Duration::from_secs(4)).await;
    for number in 0..6 {
        sleep(Duration::from_millis(1_000 + 130 * number)).await;
        let version = world.put_rules(&text(&format!("number-{number}"))).await;
        let took = world.in_force(version, 40).await.expect("is in force");
        assert!(took < WATCHED, "{number}: {took:?}");
    }
}

/// Guards against changes that come late because the first two readers have stopped too.
#[tokio::test(start_paused = true)]
async fn changes_are_in_force_in_time_though_the_first_readers_have_stopped() {
    let world = fleet(80, 3).await;
    world.platform.fault().lose_watches();
    sleep(Duration::from_secs(3)).await;
    let ranked = world.nodes[0]
        .roster
        .with(|roster| roster.ranked_watchers());
    ranked.iter().take(2).for_each(|name| world.kill(name));
    let version = world.put_rules(&text("second")).await;
    let took = world.in_force(version, 40).await.expect("is in force");
    println!("two readers have stopped: {took:?}");
    assert!(took < CONFIG_APPLY, "{took:?}");
}

/// Guards against calls and messages that grow with the fleet: only watchers check, one of them reads.
#[tokio::test(start_paused = true)]
async fn checks_cost_a_larger_fleet_no_more() {
    const SECONDS: u64 = 30;
    for (count, zones) in [(8, 4), (80, 3), (200, 4)] {
        let world = fleet(count, zones).await;
        let checks = || -> u64 {
            let nodes = world.nodes.iter();
            nodes.map(|node| node.feed.stats().checks.get()).sum()
        };
        let before = checks();
        sleep(Duration::from_secs(SECONDS)).await;
        let rate = (checks() - before) as f64 / SECONDS as f64;
        println!("{count} daemons in {zones} zones: {rate} reads a second");
        assert!((0.8..1.3).contains(&rate), "{count} daemons: {rate}");
        for node in world.nodes.iter().filter(|node| !node.is_watcher()) {
            let flows = node.feed.dump().flows;
            assert!(!flows.contains_key(&Kind::Confirm), "{}", node.name);
        }
    }
}
