//! What the loss of a rack, of a zone, and a parted zone cost, in process.
//!
//! 48 daemons in four zones. The parted zone has no way to the platform either.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;
use unit::Instance;

use super::feed::{SETTLE, bytes};
use super::system::{Beside, Outcome};
use super::world::{World, text};

const COUNT: usize = 48;
const ZONES: usize = 4;
/// Instances of the rack, all of one zone.
const RACK: usize = 3;
/// Seconds that are looked at after instances stopped, and after a zone came back.
const AFTER: u64 = 100;
const BACK: u64 = 40;
/// Seconds for which the zone is parted.
const PARTED: u64 = 60;

/// What a failure cost the daemons that live on.
#[derive(Debug, Clone, Serialize)]
pub struct Cost {
    /// What happened.
    pub what: String,
    /// Daemons that stopped, or were cut off.
    pub lost: usize,
    /// Seconds until all others hold the lost ones for suspect; none if they don't within the time.
    pub suspect_s: Option<f64>,
    /// Seconds until all others hold the lost ones for gone.
    pub gone_s: Option<f64>,
    /// Seconds until a change of the rules, made at the moment of the failure or the return, is in
    /// force at all that live.
    pub rules_s: Option<f64>,
    /// Bytes a second of the average daemon in the time that is looked at.
    pub bytes: f64,
    /// The same of the busiest daemon.
    pub bytes_most: f64,
    /// Calls a second on the store by all.
    pub calls: f64,
}

/// Failures that run beside others.
pub(crate) struct Running([Beside<Cost>; 3]);

/// Starts three failures.
pub(crate) fn start() -> Running {
    Running([
        Beside::start(|| async { Ok(stopped("a rack stops", RACK).await) }),
        Beside::start(|| async { Ok(stopped("a zone stops", COUNT / ZONES).await) }),
        Beside::start(|| async { Ok(parted().await) }),
    ])
}

impl Running {
    /// Waits for all.
    pub(crate) fn end(self) -> Outcome<Vec<Cost>> {
        self.0.into_iter().map(Beside::end).collect()
    }
}

/// Bytes and calls over a span.
struct Meter {
    bytes: Vec<u64>,
    calls: u64,
}

impl Meter {
    fn start(world: &World) -> Meter {
        Meter {
            bytes: world.nodes.iter().map(bytes).collect(),
            calls: world.calls(),
        }
    }

    fn cost(&self, what: &str, world: &World, lost: &BTreeSet<Instance>, seconds: f64) -> Cost {
        let living = world.nodes.iter().zip(&self.bytes);
        let living = living.filter(|(node, _)| !lost.contains(&node.name));
        let spent: Vec<f64> = living
            .map(|(node, before)| (bytes(node) - before) as f64 / seconds)
            .collect();
        Cost {
            what: what.to_string(),
            lost: lost.len(),
            suspect_s: None,
            gone_s: None,
            rules_s: None,
            bytes: spent.iter().sum::<f64>() / spent.len().max(1) as f64,
            bytes_most: spent.into_iter().fold(0.0, f64::max),
            calls: (world.calls() - self.calls) as f64 / seconds,
        }
    }
}

async fn settled() -> World {
    let world = World::start(COUNT, ZONES).await;
    sleep(Duration::from_secs(SETTLE)).await;
    world
}

/// The first `count` daemons of one zone.
fn of_zone(world: &World, count: usize) -> BTreeSet<Instance> {
    let zone = world.nodes.iter().step_by(ZONES).take(count);
    zone.map(|node| node.name.clone()).collect()
}

async fn stopped(what: &str, count: usize) -> Cost {
    let world = settled().await;
    let lost = of_zone(&world, count);
    let meter = Meter::start(&world);
    lost.iter().for_each(|name| world.kill(name));
    let version = world.put_rules(&text("changed")).await;
    let begin = tokio::time::Instant::now();
    let (mut rules, mut suspect, mut gone) = (None, None, None);
    while begin.elapsed() < Duration::from_secs(AFTER) {
        sleep(Duration::from_millis(100)).await;
        let at = Some(begin.elapsed().as_secs_f64());
        if rules.is_none() && world.alive().all(|node| node.rules() >= version) {
            rules = at;
        }
        if suspect.is_none() && all_see(&world, COUNT - count) {
            suspect = at;
        }
        if gone.is_none() && world.alive().all(|node| node.live() == COUNT - count) {
            gone = at;
        }
    }
    let cost = meter.cost(what, &world, &lost, AFTER as f64);
    Cost {
        suspect_s: suspect,
        gone_s: gone,
        rules_s: rules,
        ..cost
    }
}

/// Whether each living daemon holds exactly `sound` instances for live and not suspect.
fn all_see(world: &World, sound: usize) -> bool {
    world.alive().all(|node| {
        let service = node.record(&node.name).map(|record| record.service);
        let live = service.map(|service| node.roster.live(&service));
        let live = live.iter().flat_map(|live| live.iter());
        let seen = live.filter(|target| !target.suspect).count();
        seen == sound
    })
}

async fn parted() -> Cost {
    let world = settled().await;
    let lost = of_zone(&world, COUNT / ZONES);
    let cut = |cut: bool| {
        for name in &lost {
            world.platform.fault_of(name.as_str()).down(cut);
        }
    };
    cut(true);
    world.net.part(lost.iter().cloned());
    sleep(Duration::from_secs(5)).await;
    let version = world.put_rules(&text("changed")).await;
    sleep(Duration::from_secs(PARTED)).await;
    cut(false);
    world.net.part([]);
    let meter = Meter::start(&world);
    let rules = world.in_force(version, BACK).await;
    let left = BACK as f64 - rules.map_or(0.0, |took| took.as_secs_f64());
    sleep(Duration::from_secs_f64(left.max(0.0))).await;
    let what = "a parted zone comes back after 60 s";
    let mut cost = meter.cost(what, &world, &BTreeSet::new(), BACK as f64);
    cost.lost = lost.len();
    cost.rules_s = rules.map(|took| took.as_secs_f64());
    cost
}
