//! A store that comes back from an older copy of itself.

use std::time::Duration;

use proptest::prelude::*;
use standin::{Fault, Snapshot};
use store::Consistency;
use tokio::time::{Instant, sleep};
use unit::{Era, Version};

use crate::world::{LAG, Mode, World, text};

/// Within this time a daemon that knows of the return has written its entry again.
const WRITTEN: Duration = Duration::from_secs(2);
/// Within this time each daemon knows of it: a heartbeat to its observers, and theirs to theirs.
const KNOWN: Duration = Duration::from_secs(2);
/// Within this time a change has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

/// The entries of daemons that the store holds.
async fn entries(world: &World) -> usize {
    let store = world.platform.store_named("checker");
    let listing = store.list("instances/").await.expect("lists");
    listing.objects.len()
}

/// The same, as a read that may be old shows them.
async fn old_read(world: &World) -> usize {
    let store = world.platform.store_named("checker");
    let listing = store.list_with("instances/", Consistency::Serializable);
    listing.await.expect("lists").objects.len()
}

/// How long it takes until the store holds `count` entries, and all know each other all the while.
async fn repaired(world: &World, count: usize) -> Duration {
    let began = Instant::now();
    while entries(world).await < count {
        assert!(
            world.is_whole(),
            "all are known while their entries are gone"
        );
        assert!(began.elapsed() < KNOWN + WRITTEN, "{:?}", began.elapsed());
        sleep(Duration::from_millis(50)).await;
    }
    began.elapsed()
}

/// Adds daemons whose entries the copy that is given lacks.
async fn grow(world: &mut World, count: usize, more: usize) -> Snapshot {
    let copy = world.platform.snapshot();
    for number in count..count + more {
        world.add(number);
    }
    let whole = world.until(10, || world.is_whole()).await;
    whole.expect("the new ones are known");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(entries(world).await, count + more);
    copy
}

/// Guards against entries that nobody writes again, since their owners think them written.
#[tokio::test(start_paused = true)]
async fn entries_that_were_lost_are_written_again() {
    let mut world = World::settled(50).await;
    let copy = grow(&mut world, 50, 20).await;
    world.platform.restore(copy);
    let took = repaired(&world, 70).await;
    println!("20 of 70 entries are back after {took:?}");
    sleep(Duration::from_secs(120)).await;
    assert!(world.is_whole(), "nobody is removed later on");
}

/// Guards against a fleet that reads and writes everything anew at once.
#[tokio::test(start_paused = true)]
async fn a_return_costs_less_than_two_calls_a_daemon() {
    for count in [50, 200] {
        let mut world = World::settled(count).await;
        let copy = grow(&mut world, count, count / 10).await;
        let before = world.price();
        let looks = world.platform.count_of("checker").total();
        world.platform.restore(copy);
        repaired(&world, count + count / 10).await;
        sleep(Duration::from_secs(20)).await;
        let looks = world.platform.count_of("checker").total() - looks;
        let price = world.price() - before - looks as f64;
        println!("{count} daemons and a tenth more: {price} calls");
        assert!(price < 2.0 * world.nodes.len() as f64, "{count}: {price}");
    }
}

/// Guards against daemons that go back to older rules, and against newer ones taken for older.
#[tokio::test(start_paused = true)]
async fn rules_never_go_back_and_newer_ones_are_in_force() {
    let mut world = World::settled(40).await;
    let copy = world.platform.snapshot();
    for name in ["second", "third", "fourth"] {
        world.put_rules(&text(name)).await;
    }
    let before = world.put_rules(&text("fifth")).await;
    world.in_force(before, 5).await.expect("in force");
    world.platform.restore(copy);
    world.add(40);
    let got = world.in_force(before, 5).await.expect("the newcomer too");
    assert!(got < IN_FORCE, "{got:?}");
    sleep(Duration::from_secs(3)).await;
    assert!(world.nodes.iter().all(|node| node.rules() == before));
    // Its revision is below the one in force, which was given out before the return.
    let after = world.put_rules(&text("sixth")).await;
    assert!(after.revision < before.revision && after > before);
    let took = world.in_force(after, 30).await.expect("in force");
    assert!(took < IN_FORCE, "{took:?}");
}

/// Guards against watches that go on from a revision which was given out again, and hear nothing.
#[tokio::test(start_paused = true)]
async fn a_return_that_no_watch_is_told_of_is_learnt_from_peers() {
    let mut world = World::settled(40).await;
    let copy = world.platform.snapshot();
    world.put_rules(&text("second")).await;
    sleep(Duration::from_secs(2)).await;
    world.platform.fault().drop_watches(true);
    world.platform.restore(copy);
    let after = world.put_rules(&text("third")).await;
    world.platform.fault().drop_watches(false);
    world.add(40);
    let took = world.in_force(after, 30).await.expect("in force");
    println!("learnt from a newcomer: {took:?}");
    assert!(took < KNOWN + IN_FORCE, "{took:?}");
}

/// Guards against an instance that has left and is served again, as the copy still shows it.
#[tokio::test(start_paused = true)]
async fn who_has_left_stays_gone() {
    let world = World::settled(30).await;
    let copy = world.platform.snapshot();
    let left = world.nodes[7].name.clone();
    world.nodes[7].feed.depart().await;
    world.kill(&left);
    let gone = || world.alive().all(|node| node.live() == 29);
    world.until(10, gone).await.expect("all know it");
    world.platform.restore(copy);
    for _ in 0..100 {
        sleep(Duration::from_millis(300)).await;
        assert!(gone(), "nobody takes it back");
    }
    assert_eq!(entries(&world).await, 29, "its entry is deleted again");
}

/// Guards against a repair that a second return cuts short.
#[tokio::test(start_paused = true)]
async fn a_second_return_within_the_repair_is_repaired() {
    let mut world = World::settled(40).await;
    let copy = grow(&mut world, 40, 20).await;
    world.platform.restore(copy.clone());
    sleep(Duration::from_millis(1_200)).await;
    world.platform.restore(copy);
    repaired(&world, 60).await;
}

/// Guards against a repair that waits for daemons which the store turns away.
#[tokio::test(start_paused = true)]
async fn a_store_that_part_of_the_fleet_reaches_is_repaired_by_each_that_does() {
    let mut world = World::settled(40).await;
    let copy = grow(&mut world, 40, 20).await;
    let cut: Vec<_> = world.nodes[40..50]
        .iter()
        .map(|node| node.name.clone())
        .collect();
    for name in &cut {
        world.platform.fault_of(name.as_str()).down(true);
    }
    world.platform.restore(copy);
    repaired(&world, 50).await;
    for name in &cut {
        world.platform.fault_of(name.as_str()).down(false);
    }
    let began = Instant::now();
    while entries(&world).await < 60 {
        // Failed writes pause for up to 10 s.
        assert!(
            began.elapsed() < Duration::from_secs(12),
            "{:?}",
            began.elapsed()
        );
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a store that was away before it came back, and against starts meanwhile.
#[tokio::test(start_paused = true)]
async fn starts_and_an_outage_before_the_return_change_nothing() {
    let mut world = World::settled(40).await;
    let copy = grow(&mut world, 40, 10).await;
    let before = world.put_rules(&text("second")).await;
    world.in_force(before, 5).await.expect("in force");
    world.platform.fault().down(true);
    let killed: Vec<_> = world.nodes[..10]
        .iter()
        .map(|node| node.name.clone())
        .collect();
    killed.iter().for_each(|name| world.kill(name));
    sleep(Duration::from_millis(500)).await;
    world.platform.restore(copy);
    world.platform.fault().down(false);
    (0..10).for_each(|number| world.restart(number));
    let took = world.in_force(before, 10).await.expect("in force");
    println!("restarted daemons have the newest rules after {took:?}");
    assert!(took < KNOWN + IN_FORCE, "{took:?}");
    let whole = world.until(10, || world.is_whole()).await;
    whole.expect("all know all");
    sleep(KNOWN + WRITTEN).await;
    assert_eq!(entries(&world).await, 50);
}

/// Guards against a first start that the store forgets while it goes on.
#[tokio::test(start_paused = true)]
async fn a_rollback_in_the_middle_of_a_start_of_all_is_repaired() {
    for moment in [20, 100, 500, 2_000] {
        let world = World::on(Mode::Greeting, 60, 4).await;
        let copy = world.platform.snapshot();
        sleep(Duration::from_millis(moment)).await;
        world.platform.restore(copy);
        let whole =
            || world.is_whole() && world.nodes.iter().all(|node| node.rules() > Version::NONE);
        let took = world.until(20, whole).await;
        let took = took.expect("all know all, and have rules");
        // Traffic begins 8 s after the machines.
        assert!(took < Duration::from_secs(8), "{moment} ms: {took:?}");
        sleep(KNOWN + WRITTEN).await;
        assert_eq!(entries(&world).await, 60, "{moment} ms");
    }
}

/// Guards against a rolling restart that is taken for departures, and against entries of former lives.
#[tokio::test(start_paused = true)]
async fn a_rollback_within_a_rolling_restart_takes_nobody_out() {
    let mut world = World::settled(24).await;
    let copy = world.platform.snapshot();
    for number in 0..12 {
        let name = world.nodes[number].name.clone();
        world.nodes[number].feed.restart().await;
        world.kill(&name);
        sleep(Duration::from_millis(300)).await;
        world.restart(number);
        if number == 6 {
            world.platform.restore(copy.clone());
        }
        sleep(Duration::from_millis(700)).await;
    }
    let whole = world.until(10, || world.is_whole()).await;
    whole.expect("all know all");
    sleep(Duration::from_secs(90)).await;
    assert!(world.is_whole(), "nobody is removed later on");
    assert_eq!(entries(&world).await, 24);
}

/// Guards against an entry that counts as written because an old read of the former era shows it.
#[tokio::test(start_paused = true)]
async fn an_old_read_does_not_stand_for_a_lost_entry() {
    for moment in [700, 900, 1_100, 1_300, 1_500] {
        let mut world = World::settled(40).await;
        let copy = world.platform.snapshot();
        // The copy that old reads see is renewed between the start and the rollback.
        old_read(&world).await;
        sleep(LAG - Duration::from_millis(500)).await;
        world.add(40);
        sleep(Duration::from_millis(600)).await;
        assert_eq!(old_read(&world).await, 41);
        sleep(Duration::from_millis(moment - 600)).await;
        world.platform.restore(copy);
        sleep(KNOWN + WRITTEN + LAG).await;
        assert_eq!(entries(&world).await, 41, "{moment} ms");
    }
}

#[derive(Debug, Clone, Copy)]
enum Op {
    Rules,
    Add,
    Keep,
    Rollback,
    LoseAnswers,
    DelayWrite,
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => Just(Op::Rules),
        2 => Just(Op::Add),
        2 => Just(Op::Keep),
        2 => Just(Op::Rollback),
        1 => Just(Op::LoseAnswers),
        1 => Just(Op::DelayWrite),
        4 => (0_u64..3_000).prop_map(Op::Wait),
    ]
}

/// The faults between the store and the newest daemon.
fn last(world: &World) -> Fault {
    let name = &world.nodes.last().expect("there are some").name;
    world.platform.fault_of(name.as_str())
}

/// Plays a history. Rules never go back on any daemon meanwhile, and in the end all that live know
/// each other, stand in the store, and have the newest rules that anybody has had.
async fn play(ops: Vec<Op>) {
    const FIRST: usize = 8;
    let mut world = World::settled(FIRST).await;
    let mut copy = world.platform.snapshot();
    let mut known = vec![Version::NONE; FIRST];
    let mut returns = 0;
    for op in ops {
        match op {
            Op::Rules => drop(world.put_rules(&text("rules")).await),
            Op::Add if world.nodes.len() < 2 * FIRST => {
                world.add(world.nodes.len());
                known.push(Version::NONE);
            }
            Op::Add => {}
            Op::Keep => copy = world.platform.snapshot(),
            Op::Rollback => {
                world.platform.restore(copy.clone());
                returns += 1;
            }
            Op::LoseAnswers => last(&world).lose_next(1),
            Op::DelayWrite => last(&world).delay_next(1, Duration::from_millis(700)),
            Op::Wait(time) => sleep(Duration::from_millis(time)).await,
        }
        for (node, known) in world.nodes.iter().zip(&mut known) {
            assert!(
                node.rules() >= *known,
                "{}: {} after {known}",
                node.name,
                node.rules()
            );
            *known = node.rules();
        }
    }
    sleep(Duration::from_secs(20)).await;
    assert_eq!(world.platform.era(), Era(returns));
    assert!(world.is_whole(), "all know all");
    assert_eq!(entries(&world).await, world.nodes.len());
    let newest = known.iter().max().copied().unwrap_or_default();
    assert!(world.nodes.iter().all(|node| node.rules() >= newest));
    let last = world.put_rules(&text("last")).await;
    let took = world.in_force(last, 10).await.expect("in force");
    assert!(took < IN_FORCE, "{took:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against orders of writes, returns and lost answers that nobody has thought of.
    #[test]
    fn any_history_of_returns_is_repaired(ops in prop::collection::vec(op(), 1..25)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(play(ops));
    }
}
