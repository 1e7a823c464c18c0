//! What confirmations say, against what the store held.

use std::time::Duration;

use bytes::Bytes;
use feed::Confirm;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use store::Condition;
use tokio::time::{Instant, sleep};
use unit::Version;

use crate::world::{World, text};

const LIST: &str = "lists/first";

/// The acknowledged writes of the two keys, with their times.
#[derive(Default)]
struct Writes([Vec<(Instant, Version)>; 2]);

async fn fleet(count: usize) -> World {
    let confirm = Confirm {
        revoke: Some(Duration::from_secs(5)),
        keys: vec![LIST.to_string()],
        ..Confirm::default()
    };
    World::confirming(confirm, count, 3).await.settle().await
}

/// No daemon's confirmation misses a write that was acknowledged before its moment, and none that
/// serves lacks rules that were acknowledged 4.5 s before. Returns the number of those that serve.
fn check(world: &World, writes: &Writes) -> usize {
    let now = Instant::now();
    let mut serving = 0;
    for node in &world.nodes {
        let Some(confirmed) = node.feed.confirmed() else {
            continue;
        };
        let began = now - confirmed.age;
        for (key, writes) in writes.0.iter().enumerate() {
            let before = writes.iter().rev().find(|(at, _)| *at < began);
            let shown = before.is_none_or(|(_, version)| confirmed.versions[key] >= *version);
            let name = &node.name;
            assert!(shown, "{name}: {confirmed:?}, key {key}, {before:?}");
        }
        if node.feed.check_confirmed().is_ok() {
            serving += 1;
            let lasts = Duration::from_millis(4_500);
            let mut due = writes.0[0].iter().rev();
            let due = due.find(|(at, _)| *at + lasts < now);
            assert!(due.is_none_or(|(_, version)| node.rules() >= *version));
        }
    }
    serving
}

/// Old answers, old reads, and ages that leave out the time of a call or a question would all hide a
/// write.
#[tokio::test(start_paused = true)]
async fn a_confirmation_shows_every_write_before_its_moment() {
    for seed in 0..4 {
        let world = fleet(24).await;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut writes = Writes::default();
        let (mut served, mut samples) = (0, 0);
        for round in 0..40 {
            let pick = |rng: &mut Pcg64Mcg| world.nodes[rng.random_range(0..24)].name.clone();
            let (frozen, refused) = (pick(&mut rng), pick(&mut rng));
            world.net.freeze(rng.random_bool(0.4).then_some(frozen));
            let refuses = rng.random_bool(0.3);
            world.platform.fault_of(refused.as_str()).down(refuses);
            let slow = if rng.random_bool(0.3) { 300 } else { 0 };
            world.platform.fault().slow(Duration::from_millis(slow));
            world.platform.fault().drop_watches(rng.random_bool(0.1));
            match rng.random_range(0..4) {
                0 => {
                    let version = world.put_rules(&text(&format!("rules-{round}"))).await;
                    writes.0[0].push((Instant::now(), version));
                }
                1 => {
                    let store = world.platform.store_named("operator");
                    let value = Bytes::from(round.to_string());
                    let put = store.put(LIST, value, Condition::Any).await;
                    writes.0[1].push((Instant::now(), put.expect("is written")));
                }
                _ => {}
            }
            let until = Instant::now() + Duration::from_millis(rng.random_range(100..1_500));
            while Instant::now() < until {
                sleep(Duration::from_millis(7)).await;
                served += check(&world, &writes);
                samples += world.nodes.len();
            }
            world.platform.fault_of(refused.as_str()).down(false);
        }
        let share = served as f64 / samples as f64;
        println!("seed {seed}: {share:.3} of the time served");
        assert!(share > 0.8, "{share}");
    }
}

/// An answer makes nobody younger than the daemon that gave it.
#[tokio::test(start_paused = true)]
async fn nobody_is_younger_than_the_one_that_reads() {
    let world = fleet(24).await;
    let ranked = world.nodes[0]
        .roster
        .with(|roster| roster.ranked_watchers());
    let age = |name: &unit::Instance| {
        let mut nodes = world.nodes.iter();
        let node = nodes.find(|node| node.name == *name).expect("is there");
        node.feed.confirmed().expect("is confirmed").age
    };
    for _ in 0..500 {
        sleep(Duration::from_millis(13)).await;
        let first = age(&ranked[0]);
        assert!(world.nodes.iter().all(|node| age(&node.name) >= first));
    }
}
