//! What rules and roster cost as daemons grow, and how soon a change is everywhere.
//!
//! Each world of daemons runs in a thread of its own, over a network and a platform in memory; one
//! way takes 5 ms. Bytes are counted by the daemons as they would be on the network.

use std::time::Duration;

use ::feed::Kind;
use serde::Serialize;
use tokio::time::sleep;

use super::design;
use super::slope::Slope;
use super::system::{Beside, Outcome, thread_cpu};
use super::world::{Node, World, long_text};

const SIZES: [usize; 4] = [3, 10, 30, 100];
const ZONES: usize = 4;
/// Daemons of the world in which rules of several lengths change; its roots have eight children.
const LENGTHS: usize = 52;
/// Seconds until a world has settled, and over which quiet is measured.
pub(crate) const SETTLE: u64 = 20;
const QUIET: u64 = 50;
/// Lengths of rules that go down the tree, and of those that are fetched.
const SHORT: [usize; 3] = [2_000, 8_000, 15_000];
const LONG: [usize; 3] = [20_000, 60_000, 120_000];
/// Changes of each length, and the seconds between two.
const CHANGES: u64 = 4;
const EVERY: u64 = 3;

/// What was measured of the feed.
#[derive(Debug, Clone, Serialize)]
pub struct Feeds {
    /// Calls a second begun on the store by all daemons of one zone.
    pub calls: Slope,
    /// Waiting watches of one zone.
    pub waiting: Slope,
    /// Bytes a second for each daemon in quiet, one zone.
    pub quiet: Slope,
    /// The same in four zones, 30 and 100 daemons.
    pub quiet_zones: Slope,
    /// Messages and answers a second for each daemon in quiet, one zone.
    pub messages: Slope,
    /// Microseconds of processor time a second for each daemon in quiet, without the network.
    pub cpu: Slope,
    /// Seconds until the last daemon has new rules.
    pub last: Slope,
    /// The same when a watcher stops at that moment.
    pub killed: Slope,
    /// Bytes of a change for the average daemon, by the length of rules in the tree.
    pub short: Slope,
    /// The same for the busiest daemon, a watcher.
    pub short_most: Slope,
    /// Bytes of a change for the average daemon, by the length of rules that are fetched.
    pub long: Slope,
    /// The same for the busiest daemon.
    pub long_most: Slope,
}

/// What one world of daemons showed.
struct Figures {
    calls: f64,
    waiting: f64,
    quiet: f64,
    messages: f64,
    cpu: f64,
    last: f64,
    killed: f64,
}

/// Worlds that run beside others.
pub(crate) struct Running {
    one: Vec<(usize, Beside<Figures>)>,
    four: Vec<(usize, Beside<Figures>)>,
    lengths: Beside<Lengths>,
}

/// Starts all worlds.
pub(crate) fn start() -> Running {
    let world = |count: usize, zones: usize| {
        let started = Beside::start(move || async move { figures(count, zones).await });
        (count, started)
    };
    Running {
        one: SIZES.map(|count| world(count, 1)).into(),
        four: SIZES[2..]
            .iter()
            .map(|count| world(*count, ZONES))
            .collect(),
        lengths: Beside::start(|| async { Ok(lengths().await) }),
    }
}

impl Running {
    /// Waits for all worlds.
    pub(crate) fn end(self) -> Outcome<Feeds> {
        let ended = |worlds: Vec<(usize, Beside<Figures>)>| {
            let worlds = worlds.into_iter();
            let ended = worlds.map(|(count, world)| Ok((count, world.end()?)));
            ended.collect::<Outcome<Vec<_>>>()
        };
        let (one, four) = (ended(self.one)?, ended(self.four)?);
        let lengths = self.lengths.end()?;
        let line = |what: &str, worlds: &[(usize, Figures)], of: fn(&Figures) -> f64| {
            let points = worlds.iter().map(|(count, figures)| (*count, of(figures)));
            Slope::of(what, "daemons", &points.collect::<Vec<_>>())
        };
        let length =
            |what: &str, series: &[(usize, f64)]| Slope::of(what, "bytes of rules", series);
        let [short, long] = [&lengths.short, &lengths.long];
        Ok(Feeds {
            calls: line("calls/s on the store, 1 zone", &one, |f| f.calls),
            waiting: line("waiting watches, 1 zone", &one, |f| f.waiting),
            quiet: line("control B/s a daemon in quiet, 1 zone", &one, |f| f.quiet),
            quiet_zones: line("control B/s a daemon in quiet, 4 zones", &four, |f| f.quiet),
            messages: line("messages and answers/s a daemon, 1 zone", &one, |f| {
                f.messages
            }),
            cpu: line("feed, CPU us/s a daemon, 1 zone", &one, |f| f.cpu),
            last: line("seconds until rules are at the last, 1 zone", &one, |f| {
                f.last
            }),
            killed: line("the same, a watcher stops meanwhile", &one, |f| f.killed),
            short: length("bytes of a change, average daemon, tree", &short.average),
            short_most: length("bytes of a change, busiest daemon, tree", &short.most),
            long: length("bytes of a change, average daemon, fetched", &long.average),
            long_most: length("bytes of a change, busiest daemon, fetched", &long.most),
        })
    }
}

async fn figures(count: usize, zones: usize) -> Outcome<Figures> {
    let world = World::start(count, zones).await;
    sleep(Duration::from_secs(SETTLE)).await;
    let (calls, bytes, sent) = (world.calls(), world.bytes(), messages(&world));
    let cpu = thread_cpu()?;
    sleep(Duration::from_secs(QUIET)).await;
    let cpu = thread_cpu()? - cpu;
    let each = QUIET as f64 * count as f64;
    let calls = (world.calls() - calls) as f64;
    let (bytes, sent) = (world.bytes() - bytes, messages(&world) - sent);
    let waiting = f64::from(world.platform.count().waiting);
    let version = world.put_rules(&long_text("timed", SHORT[1])).await;
    let last = seconds(world.in_force(version, 30).await);
    let watcher = world.watchers()[0].name.clone();
    let version = world.put_rules(&long_text("killed", SHORT[1])).await;
    world.kill(&watcher);
    let killed = seconds(world.in_force(version, 30).await);
    Ok(Figures {
        calls: calls / QUIET as f64,
        waiting,
        quiet: bytes as f64 / each,
        messages: sent as f64 / each,
        cpu: cpu * 1e6 / each,
        last,
        killed,
    })
}

/// Seconds of a change that came through; what did not in 30 s counts as these.
fn seconds(took: Option<Duration>) -> f64 {
    took.unwrap_or(Duration::from_secs(30)).as_secs_f64()
}

fn messages(world: &World) -> u64 {
    let flows = world.nodes.iter().map(|node| node.feed.dump().flows);
    let counts = flows.map(|flows| flows.values().map(|f| f.sent + f.received).sum::<u64>());
    counts.sum()
}

pub(crate) fn bytes(node: &Node) -> u64 {
    node.feed.dump().network_bytes()
}

/// Bytes of a change, by the length of the rules.
struct Lengths {
    short: Costs,
    long: Costs,
}

#[derive(Default)]
struct Costs {
    average: Vec<(usize, f64)>,
    most: Vec<(usize, f64)>,
}

async fn lengths() -> Lengths {
    let world = World::start(LENGTHS, ZONES).await;
    sleep(Duration::from_secs(SETTLE)).await;
    Lengths {
        short: costs(&world, SHORT).await,
        long: costs(&world, LONG).await,
    }
}

async fn costs(world: &World, lengths: [usize; 3]) -> Costs {
    let mut costs = Costs::default();
    for length in lengths {
        let before: Vec<u64> = world.nodes.iter().map(rules_bytes).collect();
        for change in 0..CHANGES {
            let text = long_text(&format!("rules-{change}-{length}"), length);
            world.put_rules(&text).await;
            sleep(Duration::from_secs(EVERY)).await;
        }
        let spent = world.nodes.iter().map(rules_bytes).zip(before);
        let each: Vec<f64> = spent
            .map(|(now, before)| (now - before) as f64 / CHANGES as f64)
            .collect();
        let average = each.iter().sum::<f64>() / each.len() as f64;
        costs.average.push((length, average));
        costs
            .most
            .push((length, each.into_iter().fold(0.0, f64::max)));
    }
    costs
}

/// Bytes that a daemon has spent on rules, both ways.
fn rules_bytes(node: &Node) -> u64 {
    let flows = node.feed.dump().flows;
    let rules = [Kind::Rules, Kind::Ask].into_iter();
    rules
        .filter_map(|kind| Some(flows.get(&kind)?.network_bytes))
        .sum()
}

impl Feeds {
    /// Bytes that one change of rules of `length` costs the average daemon.
    pub(crate) fn change(&self, length: f64) -> f64 {
        let tree = length <= ::feed::MAX_PUSHED_BYTES as f64;
        if tree {
            self.short.at(length)
        } else {
            self.long.at(length)
        }
    }

    /// The same for the busiest daemon, which also reads the text from the platform.
    pub(crate) fn change_most(&self, length: f64) -> f64 {
        let tree = length <= ::feed::MAX_PUSHED_BYTES as f64;
        let line = if tree {
            &self.short_most
        } else {
            &self.long_most
        };
        line.at(length) + length
    }

    /// The length of rules at which the busiest daemon reaches the limit, with `quiet` bytes/s.
    pub(crate) fn longest(&self, quiet: f64) -> f64 {
        let lengths = (1..1_000).map(|kilobytes| f64::from(kilobytes) * 1_000.0);
        let fits =
            |length: &f64| quiet + design::CHANGES * self.change_most(*length) <= design::BYTES;
        lengths.take_while(fits).last().unwrap_or(0.0)
    }
}
