//! Large documents over thin links.

use std::time::Duration;

use tokio::time::sleep;

use crate::world::{World, many_rules, text};

/// 10 Mbit/s, in bytes a second.
const THIN: u64 = 1_250_000;

/// Within this time a change has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Daemons that have settled, and can send at [`THIN`] each from then on.
async fn fleet(count: usize) -> World {
    let world = World::settled(count).await;
    world.net.limit(THIN);
    world
}

/// Guards against watchers whose links are full of copies of one large text for seconds.
#[tokio::test(start_paused = true)]
async fn a_large_document_is_in_force_in_time_over_thin_links() {
    for (count, rules) in [(82, 1_548), (200, 1_548), (82, 4_500)] {
        let world = fleet(count).await;
        let version = world.put_rules(&many_rules("large", rules)).await;
        let took = world.in_force(version, 30).await.expect("in force");
        println!("{count} daemons, {rules} rules: {took:?}");
        assert!(took < IN_FORCE, "{count}, {rules}: {took:?}");
    }
}

/// Guards against a fetch from a daemon that has died, which kept off all others that hold the document.
#[tokio::test(start_paused = true)]
async fn a_fetch_whose_holder_dies_goes_on_elsewhere() {
    for moment in [30, 80, 150, 300] {
        let world = fleet(82).await;
        let holder = world.watchers()[0].name.clone();
        let version = world.put_rules(&many_rules("large", 1_548)).await;
        sleep(Duration::from_millis(moment)).await;
        world.kill(&holder);
        let took = world.in_force(version, 30).await.expect("in force");
        println!("a holder dies after {moment} ms: {took:?}");
        assert!(took < IN_FORCE, "{moment} ms: {took:?}");
    }
}

/// Guards against changes that wait behind the transfer of an earlier, large one.
#[tokio::test(start_paused = true)]
async fn a_change_right_behind_a_large_one_is_in_force_in_time() {
    let world = fleet(82).await;
    world.put_rules(&many_rules("large", 1_548)).await;
    sleep(Duration::from_millis(200)).await;
    let version = world.put_rules(&text("next")).await;
    let took = world.in_force(version, 30).await.expect("in force");
    assert!(took < IN_FORCE, "{took:?}");
}
