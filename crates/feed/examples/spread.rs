//! Prints what rules and roster cost as daemons grow, and how soon a change is everywhere.
//!
//! All daemons run here, on the paused clock, with a network and a platform in memory; one way
//! takes 5 ms. `cargo run --release -p feed --example spread`

use std::time::Duration;

use tokio::time::sleep;

#[path = "../tests/it/quiet.rs"]
mod quiet;
#[path = "../tests/it/world.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod world;

use world::{World, long_text};

/// Bytes of a rules document.
const SHORT: usize = 4_000;
const LONG: usize = 100_000;
/// Seconds between changes: 2,500 a day.
const CHANGE: u64 = 35;

#[tokio::main(flavor = "current_thread", start_paused = true)]
async fn main() {
    println!(
        "daemons | zones | calls/s | waiting | a daemon | B/s quiet | B/s at 2,500 changes a day of 4 KB | of 100 KB | to the last | watcher killed"
    );
    for zones in [1, 4] {
        for count in [3, 10, 30, 100, 300] {
            row(count, zones).await;
        }
    }
}

async fn row(count: usize, zones: usize) {
    let world = World::start(count, zones).await;
    let cost = world.cost(120).await;
    let short = changes(&world, SHORT).await;
    let long = changes(&world, LONG).await;
    let version = world.put_rules(&long_text("timed", SHORT)).await;
    let last = shown(world.in_force(version, 30).await);
    let name = world.watchers()[0].name.clone();
    let version = world.put_rules(&long_text("killed", SHORT)).await;
    world.kill(&name);
    let killed = shown(world.in_force(version, 30).await);
    let each = (cost.calls + cost.waiting) / count as f64;
    println!(
        "{count} | {zones} | {:.2} | {} | {each:.3} | {:.0} | {short:.0} | {long:.0} | {last} | {killed}",
        cost.calls, cost.waiting, cost.bytes
    );
}

fn shown(took: Option<Duration>) -> String {
    took.map_or("never".to_string(), |took| format!("{took:?}"))
}

/// Bytes a second for each daemon while rules of a length change at the design rate.
async fn changes(world: &World, length: usize) -> f64 {
    const CHANGES: u64 = 5;
    let before = world.bytes();
    for change in 0..CHANGES {
        let text = long_text(&format!("rules-{change}-{length}"), length);
        world.put_rules(&text).await;
        sleep(Duration::from_secs(CHANGE)).await;
    }
    let bytes = (world.bytes() - before) as f64;
    bytes / (CHANGES * CHANGE) as f64 / world.nodes.len() as f64
}
