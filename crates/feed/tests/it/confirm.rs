//! Confirmations over a fleet: what they cost, how old they get, and what each failure does to them.

use std::time::Duration;

use bytes::Bytes;
use feed::{Confirm, Kind};
use store::Condition;
use tokio::time::{Instant, sleep};
use unit::{Instance, Version};

use crate::world::{Node, RULES, World, text};

const REVOKE: Duration = Duration::from_secs(5);
/// For how long a confirmation lasts.
const LASTS: Duration = Duration::from_millis(4_500);
/// The greatest age while nothing fails.
const USUAL: Duration = Duration::from_millis(1_500);
const LIST: &str = "lists/first";

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

async fn fleet_with(count: usize, zones: usize, keys: &[&str]) -> World {
    start(count, zones, keys).await.settle().await
}

async fn start(count: usize, zones: usize, keys: &[&str]) -> World {
    let confirm = Confirm {
        revoke: Some(REVOKE),
        keys: keys.iter().map(ToString::to_string).collect(),
        ..Confirm::default()
    };
    World::confirming(confirm, count, zones).await
}

async fn fleet() -> World {
    fleet_with(80, 3, &[]).await
}

/// The age of the rules in force at a daemon.
fn age(node: &Node) -> Option<Duration> {
    let confirmations = node.feed.confirmations().expect("confirms");
    confirmations.age_ms.map(ms)
}

fn serves(node: &Node) -> bool {
    node.feed.check_confirmed().is_ok()
}

/// The greatest age at any of the daemons that `which` selects in some time.
async fn oldest(world: &World, time: Duration, which: impl Fn(&Node) -> bool) -> Duration {
    let begun = Instant::now();
    let mut oldest = Duration::ZERO;
    while begun.elapsed() < time {
        sleep(ms(20)).await;
        let nodes = world.alive().filter(|node| which(node));
        let ages = nodes.map(|node| age(node).expect("is confirmed"));
        oldest = ages.max().expect("some are selected").max(oldest);
    }
    oldest
}

/// The watchers in the order in which they read.
fn ranked(world: &World) -> Vec<Instance> {
    world.nodes[0]
        .roster
        .with(|roster| roster.ranked_watchers())
}

/// What confirming costs.
#[derive(Debug)]
struct Cost {
    /// Reads of the store by the fleet, a second.
    reads: f64,
    /// The most messages and answers of one daemon, sent and received, a second.
    messages: f64,
    /// The most bytes of one daemon a second, sent and received.
    bytes: f64,
    /// The same with all other messages about rules and roster.
    all_bytes: f64,
    /// The greatest age.
    age: Duration,
}

async fn cost(world: &World, seconds: u64) -> Cost {
    let read = || {
        let confirmations = world
            .nodes
            .iter()
            .filter_map(|node| node.feed.confirmations());
        confirmations.map(|state| state.reads).sum::<u64>()
    };
    let flows = || -> Vec<(u64, u64, u64)> {
        let dumps = world.nodes.iter().map(|node| node.feed.dump());
        let flow = |dump: feed::Dump| {
            let flow = dump.flows.get(&Kind::Confirm).copied().unwrap_or_default();
            let messages = flow.sent + flow.received;
            (messages, flow.network_bytes, dump.network_bytes())
        };
        dumps.map(flow).collect()
    };
    let (reads, before) = (read(), flows());
    let age = oldest(world, Duration::from_secs(seconds), |_| true).await;
    let after = flows();
    let most = |of: fn(&(u64, u64, u64)) -> u64| {
        let pairs = before.iter().zip(&after);
        let most = pairs.map(|(before, after)| of(after) - of(before)).max();
        most.expect("there are daemons") as f64 / seconds as f64
    };
    Cost {
        reads: (read() - reads) as f64 / seconds as f64,
        messages: most(|flow| flow.0),
        bytes: most(|flow| flow.1),
        all_bytes: most(|flow| flow.2),
        age,
    }
}

#[tokio::test(start_paused = true)]
async fn a_fleet_reads_about_once_a_second_and_stays_young() {
    // More reads are billed, and more bytes take the links from requests.
    let world = fleet().await;
    let cost = cost(&world, 60).await;
    println!("80 daemons in 3 zones: {cost:?}");
    assert!(cost.reads < 1.3, "{cost:?}");
    assert!(cost.age < USUAL, "{cost:?}");
    assert!(
        cost.messages < 70.0 && cost.bytes < cost.all_bytes,
        "{cost:?}"
    );
    assert!(cost.all_bytes < 9_000.0, "{cost:?}");
    assert!(world.nodes.iter().all(serves));
}

#[tokio::test(start_paused = true)]
async fn a_larger_fleet_costs_a_daemon_no_more() {
    // In large zones daemons answer each other, so that watchers do not answer all.
    let world = fleet_with(200, 4, &[]).await;
    let cost = cost(&world, 20).await;
    println!("200 daemons in 4 zones: {cost:?}");
    assert!(cost.reads < 1.3 && cost.messages < 25.0, "{cost:?}");
    assert!(cost.age < USUAL, "{cost:?}");
}

#[tokio::test(start_paused = true)]
async fn nothing_is_read_or_sent_unless_it_is_set() {
    let world = World::settled(12).await;
    sleep(Duration::from_secs(10)).await;
    for node in &world.nodes {
        let dump = node.feed.dump();
        assert!(!dump.flows.contains_key(&Kind::Confirm), "{}", node.name);
        assert!(dump.confirmations.is_none());
        assert!(node.feed.confirmed().is_none());
        assert!(serves(node));
    }
}

#[tokio::test(start_paused = true)]
async fn a_daemon_cut_off_from_the_store_serves_on() {
    // Its peers have a path, so that it must serve.
    let world = fleet().await;
    let cut = &world.nodes[17].name;
    world.platform.fault_of(cut.as_str()).down(true);
    let oldest = oldest(&world, Duration::from_secs(20), |node| node.name == *cut).await;
    assert!(oldest < USUAL, "{oldest:?}");
}

#[tokio::test(start_paused = true)]
async fn all_stop_without_the_store_and_resume_with_its_first_answer() {
    let world = fleet().await;
    world.platform.fault().down(true);
    let begun = Instant::now();
    let all = |serve: bool| world.nodes.iter().all(|node| serves(node) == serve);
    world.until(10, || all(false)).await.expect("all stop");
    let stopped = begun.elapsed();
    assert!(stopped <= LASTS + ms(20), "{stopped:?}");
    sleep(Duration::from_secs(30)).await;
    assert!(all(false));
    world.platform.fault().down(false);
    let resumed = world.until(10, || all(true)).await.expect("all resume");
    println!("stopped after {stopped:?}, resumed after {resumed:?}");
    assert!(resumed < ms(2_500), "{resumed:?}");
}

#[tokio::test(start_paused = true)]
async fn a_zone_cut_off_from_everything_stops_and_others_serve() {
    // A key may be removed where the zone does not hear of it.
    let world = fleet().await;
    let zone = world.nodes[0].zone();
    let (inside, outside): (Vec<&Node>, Vec<&Node>) =
        world.nodes.iter().partition(|node| node.zone() == zone);
    world.net.part(inside.iter().map(|node| node.name.clone()));
    for node in &inside {
        world.platform.fault_of(node.name.as_str()).hold(true);
    }
    sleep(LASTS + ms(20)).await;
    assert!(!inside.iter().any(|node| serves(node)));
    assert!(outside.iter().all(|node| serves(node)));
}

#[tokio::test(start_paused = true)]
async fn the_next_in_rank_reads_for_a_confirmer_that_is_frozen() {
    let world = fleet().await;
    let first = ranked(&world)[0].clone();
    world.net.freeze([first.clone()]);
    world.platform.fault_of(first.as_str()).hold(true);
    let oldest = oldest(&world, Duration::from_secs(20), |node| node.name != first).await;
    println!("first in rank frozen: {oldest:?}");
    assert!(oldest < ms(3_000), "{oldest:?}");
}

#[tokio::test(start_paused = true)]
async fn the_next_in_rank_reads_for_a_confirmer_that_the_store_refuses() {
    let world = fleet().await;
    let first = ranked(&world)[0].clone();
    world.platform.fault_of(first.as_str()).down(true);
    let cost = cost(&world, 30).await;
    println!("first in rank refused by the store: {cost:?}");
    assert!(cost.age < ms(2_500), "{cost:?}");
    assert!(cost.reads < 2.0, "{cost:?}");
}

#[tokio::test(start_paused = true)]
async fn a_slow_store_ages_confirmations_by_no_more_than_its_answers_take() {
    let world = fleet().await;
    world.platform.fault().slow(ms(300));
    let cost = cost(&world, 30).await;
    println!("answers take 0.3 s: {cost:?}");
    assert!(cost.age < USUAL + ms(600), "{cost:?}");
    assert!(cost.reads < 3.0, "{cost:?}");
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_stops_nobody() {
    let world = fleet().await;
    let first = ranked(&world)[0].clone();
    let fault = world.platform.fault_of(first.as_str());
    fault.hold(true);
    let oldest_held = oldest(&world, ms(1_500), |_| true).await;
    fault.hold(false);
    let oldest = oldest(&world, Duration::from_secs(10), |_| true).await;
    let oldest = oldest.max(oldest_held);
    println!("one answer lost: {oldest:?}");
    assert!(oldest < ms(3_000), "{oldest:?}");
}

#[tokio::test(start_paused = true)]
async fn silent_watches_end_no_confirmation() {
    // A watch that hears nothing looks like a store in which nothing changes.
    let world = fleet().await;
    world.platform.fault().drop_watches(true);
    let oldest = oldest(&world, Duration::from_secs(20), |_| true).await;
    println!("no watch is answered: {oldest:?}");
    assert!(oldest < LASTS, "{oldest:?}");
}

#[tokio::test(start_paused = true)]
async fn reads_go_on_after_a_compaction() {
    let world = fleet().await;
    let store = world.platform.store_named("operator");
    for number in 0..3_000 {
        let key = format!("other/{}", number % 10);
        let put = store.put(&key, Bytes::from("a"), Condition::Any).await;
        put.expect("the operator reaches the platform");
    }
    let oldest = oldest(&world, Duration::from_secs(10), |_| true).await;
    assert!(oldest < USUAL, "{oldest:?}");
}

#[tokio::test(start_paused = true)]
async fn a_store_from_an_older_copy_confirms_newer_rules() {
    // What it holds is not newer than the rules in force, so that no removal can be missed.
    let world = fleet().await;
    let copy = world.platform.snapshot();
    let version = world.put_rules(&text("second")).await;
    world.in_force(version, 3).await.expect("in force");
    world.platform.restore(copy);
    let oldest = oldest(&world, Duration::from_secs(20), |_| true).await;
    println!("store from an older copy: {oldest:?}");
    assert!(oldest < ms(3_000), "{oldest:?}");
    assert!(world.nodes.iter().all(|node| node.rules() == version));
    let version = world.put_rules(&text("third")).await;
    world.in_force(version, 3).await.expect("in force");
    assert!(world.nodes.iter().all(serves));
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_wakes_refuses_until_it_is_confirmed() {
    // Its confirmation seems to be as young as before the freeze if the machine's monotonic clock
    // stood still.
    let world = fleet().await;
    let woken = &world.nodes[20];
    assert!(serves(woken));
    world.net.suspend(&woken.name, Duration::from_secs(5));
    assert!(!serves(woken));
    assert!(age(woken) >= Some(Duration::from_secs(5)));
    let resumed = world.until(3, || serves(woken)).await;
    assert!(resumed.expect("is confirmed again") < ms(1_000));
}

#[tokio::test(start_paused = true)]
async fn a_daemon_whose_clock_counts_a_freeze_refuses_too() {
    let world = fleet().await;
    let frozen = &world.nodes[20];
    world.net.freeze([frozen.name.clone()]);
    world.platform.fault_of(frozen.name.as_str()).hold(true);
    sleep(Duration::from_secs(5)).await;
    assert!(!serves(frozen));
    world.net.freeze([]);
    world.platform.fault_of(frozen.name.as_str()).hold(false);
    let resumed = world.until(3, || serves(frozen)).await;
    assert!(resumed.expect("is confirmed again") < ms(1_500));
}

#[tokio::test(start_paused = true)]
async fn confirmed_rules_count_only_once_they_are_here() {
    // The removed key would otherwise be served on the strength of the rules that removed it.
    let world = fleet_with(12, 3, &[]).await;
    let behind = &world.nodes[7];
    // The daemon refuses the rules, and so never has them.
    let bad = world.put_rules("{ broken").await;
    sleep(LASTS + USUAL).await;
    assert!(!serves(behind));
    let newest = behind.feed.confirmed().expect("has a confirmation");
    assert_eq!(newest.versions, [bad]);
    assert!(newest.age < USUAL);
    assert!(world.nodes.iter().all(|node| !serves(node)));
    let good = world.put_rules(&text("second")).await;
    world.in_force(good, 3).await.expect("in force");
    let resumed = world.until(3, || world.nodes.iter().all(serves)).await;
    assert!(resumed.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_change_interrupts_no_service() {
    let world = fleet().await;
    for name in ["second", "third", "fourth"] {
        world.put_rules(&text(name)).await;
        let oldest = oldest(&world, ms(2_500), |_| true).await;
        println!("rules {name}: {oldest:?}");
        assert!(oldest < ms(3_000), "{oldest:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_content_of_a_further_key_reaches_all() {
    let world = fleet_with(80, 3, &[LIST]).await;
    let store = world.platform.store_named("operator");
    let mut seen = world.nodes[30].feed.confirmed_versions().expect("confirms");
    assert_eq!(seen.borrow_and_update().get(1), Some(&Version::NONE));
    let value = Bytes::from("the list");
    let put = store.put(LIST, value.clone(), Condition::Absent).await;
    let version = put.expect("the operator reaches the platform");
    let rules = world.nodes[0].rules();
    let has = |node: &Node| {
        let confirmed = node.feed.confirmed().expect("has a confirmation");
        confirmed.versions == [rules, version] && confirmed.values == [None, Some(value.clone())]
    };
    let took = world.until(4, || world.nodes.iter().all(has)).await;
    println!("a list reaches all in {took:?}");
    assert!(took.expect("all have it") < ms(2_000));
    assert!(seen.has_changed().expect("the feed is there"));
    assert_eq!(seen.borrow_and_update().get(1), Some(&version));
    let cost = cost(&world, 30).await;
    println!("with a list: {cost:?}");
    assert!(cost.reads < 2.6, "{cost:?}");
    let deleted = store.delete(LIST, Condition::Any).await;
    deleted.expect("the operator reaches the platform");
    let is_gone = |node: &Node| {
        let confirmed = node.feed.confirmed().expect("has a confirmation");
        confirmed.versions == [rules, Version::NONE] && confirmed.values == [None, None]
    };
    let gone = world.until(5, || world.nodes.iter().all(is_gone)).await;
    assert!(gone.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_daemon_without_peers_reads_by_itself() {
    // A daemon with a path to the store must serve.
    let world = fleet().await;
    let alone = &world.nodes[50];
    assert!(!alone.is_watcher());
    world.net.part([alone.name.clone()]);
    let oldest = oldest(&world, Duration::from_secs(20), |_| true).await;
    println!("alone with the store: {oldest:?}");
    assert!(oldest < LASTS, "{oldest:?}");
}

#[tokio::test(start_paused = true)]
async fn a_start_of_all_reads_little() {
    // A daemon that knows no others yet takes itself for the first in rank.
    let world = start(80, 3, &[]).await;
    let all = world.until(20, || world.nodes.iter().all(serves)).await;
    let reads = world
        .nodes
        .iter()
        .filter_map(|node| node.feed.confirmations());
    let reads: u64 = reads.map(|state| state.reads).sum();
    println!("all serve after {all:?}, with {reads} reads");
    assert!(all.expect("all serve") < ms(6_000));
    assert!(reads < 80, "{reads}");
}

#[tokio::test(start_paused = true)]
async fn a_removal_is_seen_by_all_with_a_path_before_it_must_be() {
    // The rules key is listed by prefix, and another key may begin with the same letters.
    let world = fleet().await;
    let store = world.platform.store_named("operator");
    let other = format!("{RULES}-old");
    let put = store
        .put(&other, Bytes::from("{ broken"), Condition::Any)
        .await;
    put.expect("the operator reaches the platform");
    let oldest = oldest(&world, Duration::from_secs(6), |_| true).await;
    assert!(oldest < USUAL, "{oldest:?}");
}
