//! Daemons that can't reach each other for a while.

use std::time::Duration;

use roster::State;
use tokio::time::sleep;
use unit::Instance;

use crate::world::{World, text};

#[tokio::test(start_paused = true)]
async fn regions_that_part_come_back_without_a_storm() {
    // Two of four zones lose the way to the others and to the platform for ten minutes. Each side
    // serves on with what it has; the side with the platform gets new rules and an instance. When
    // the way is back, beats find what differs: all rosters and rules agree within seconds, also
    // while the platform is still out of reach for one side, and nobody was removed. When that is
    // back too, it sees little more than the watchers of that side.
    let mut world = World::start(40, 4).await;
    sleep(Duration::from_secs(30)).await;
    let quiet = world.cost(60).await.calls;
    let aside: Vec<Instance> = (0..40)
        .filter(|number| number % 4 < 2)
        .map(|number| world.nodes[number].name.clone())
        .collect();
    let stores = aside
        .iter()
        .map(|name| world.platform.fault_of(name.as_str()));
    let stores: Vec<_> = stores.collect();
    world.net.part(aside.clone());
    stores.iter().for_each(|store| store.down(true));
    sleep(Duration::from_secs(300)).await;
    let version = world.put_rules(&text("second")).await;
    world.add(42);
    sleep(Duration::from_secs(300)).await;
    let behind = world.nodes.iter().filter(|node| node.rules() < version);
    assert_eq!(behind.count(), 20);
    world.net.part([]);
    let agree = || {
        let mut nodes = world.nodes.iter();
        nodes.all(|node| node.rules() == version && node.live() == 41)
    };
    let took = world.until(60, agree).await.unwrap();
    assert!(took < Duration::from_secs(20), "{took:?}");
    stores.iter().for_each(|store| store.down(false));
    let before = world.calls();
    sleep(Duration::from_secs(60)).await;
    let calls = (world.calls() - before) as f64;
    println!(
        "back after {took:?}; {calls} calls in 60 s, {} in quiet",
        quiet * 60.0
    );
    assert!(
        calls < quiet * 60.0 * 1.3 + 40.0,
        "{calls} calls, {quiet}/s in quiet"
    );
    assert!(agree());
    let lives = |node: &crate::world::Node| node.record(&node.name).unwrap().incarnation.0;
    assert!(world.nodes.iter().all(|node| lives(node) == 1));
}

#[tokio::test(start_paused = true)]
async fn a_false_removal_heals() {
    // One instance is out of reach for two minutes: its observers vote and all daemons remove it,
    // though its target works. When it is back, its first beats show that its
    // observers' digests differ, and the comparison that it is held for gone. It takes a higher incarnation, tells all, and gets work from callers again.
    let world = World::start(40, 4).await;
    sleep(Duration::from_secs(30)).await;
    let name = world.nodes[9].name.clone();
    world.net.part([name.clone()]);
    sleep(Duration::from_secs(120)).await;
    let others = || world.nodes.iter().filter(|node| node.name != name);
    let gone = |node: &crate::world::Node| node.record(&name).unwrap().state == State::Gone;
    assert!(others().all(gone));
    let before = world.platform.count().writes();
    world.net.part([]);
    let back = world.until(30, || world.nodes.iter().all(|node| node.live() == 40));
    let took = back.await.unwrap();
    println!("live everywhere after {took:?}");
    assert!(took < Duration::from_secs(10), "{took:?}");
    sleep(Duration::from_secs(60)).await;
    let record = world.nodes[0].record(&name).unwrap();
    assert!(record.incarnation.0 > 1);
    let writes = world.platform.count().writes() - before;
    assert!(writes <= 2, "{writes} writes");
    let store = world.platform.store_named("operator");
    let object = store
        .get(&format!("instances/{name}"))
        .await
        .unwrap()
        .unwrap();
    let written: roster::Record = serde_json::from_slice(&object.value).unwrap();
    assert_eq!(written, record);
}
