//! The platform fails, or gives what must not be taken.

use std::time::Duration;

use feed::{Answer, Error, Message, Packed, Push};
use roster::{Record, State, Verdict, Vote};
use store::{Condition, Store};
use tokio::time::{Instant, sleep};
use unit::{Incarnation, Version};
use wire::codec::{pack, unpack};

use crate::world::{World, record, text};

#[tokio::test(start_paused = true)]
async fn rules_come_although_all_watches_have_gone_silent() {
    // Something between the platform and the daemons loses track of the open watches: no error,
    // no answer. An operator changes the rules. The watchers give their watches up after 4 s and
    // read, so that callers see the new rules within the five seconds that operators count on.
    let world = World::start(30, 2).await;
    sleep(Duration::from_secs(10)).await;
    world.platform.fault().drop_watches(true);
    for name in ["second", "third"] {
        let version = world.put_rules(&text(name)).await;
        let took = world.in_force(version, 10).await.unwrap();
        assert!(took < Duration::from_secs(5), "{took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn rules_reach_a_daemon_that_no_link_reaches_as_they_come() {
    // An instance has started again, and for a second the others still take its links for those of
    // its former life. Just then an operator changes the rules: the push to it fails, and callers
    // there see the old rules until the next beat, which is 5 s away (soak, seed 2).
    let world = World::start(12, 1).await;
    sleep(Duration::from_secs(10)).await;
    for number in 0..12 {
        world.net.part([world.nodes[number].name.clone()]);
        let version = world.put_rules(&text(&format!("number-{number}"))).await;
        sleep(Duration::from_secs(1)).await;
        world.net.part([]);
        let took = world.in_force(version, 10).await.unwrap() + Duration::from_secs(1);
        assert!(took < Duration::from_secs(3), "{number}: {took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_in_the_middle_changes_nothing_and_ends_without_a_storm() {
    // The platform is down for ten minutes. Callers notice nothing: rules and roster stay as they
    // are. The watchers alone try again, each within some seconds, and nobody else does. When it
    // is back, the next change is in force within seconds.
    let world = World::start(40, 4).await;
    sleep(Duration::from_secs(30)).await;
    let rules = world.nodes[0].rules();
    let before = world.calls();
    world.platform.fault().down(true);
    sleep(Duration::from_secs(600)).await;
    let tries = (world.calls() - before) as f64 / 600.0;
    let watchers = world.watchers().len() as f64;
    assert!(tries > 0.0 && tries / watchers < 0.5, "{tries} calls/s");
    assert!(world.nodes.iter().all(|node| node.live() == 40));
    assert!(world.nodes.iter().all(|node| node.rules() == rules));
    world.platform.fault().down(false);
    let before = world.calls();
    let version = world.put_rules(&text("second")).await;
    let took = world.in_force(version, 30).await.unwrap();
    assert!(took < Duration::from_secs(8), "{took:?}");
    sleep(Duration::from_secs(10)).await;
    let calls = world.calls() - before;
    assert!(calls < 12 * 12, "{calls} calls in the first seconds");
}

#[tokio::test(start_paused = true)]
async fn a_newcomer_that_knows_its_neighbours_needs_no_platform() {
    // An instance starts, is announced and reads who is there; then the platform goes down, before
    // it has read the rules. Without rules it would refuse every caller until the platform is
    // back. Its first beats show its neighbours' version, and it fetches the rules from them.
    let mut world = World::start(30, 2).await;
    sleep(Duration::from_secs(10)).await;
    world.add(30);
    sleep(Duration::from_millis(3)).await;
    world.platform.fault().down(true);
    let took = world.until(10, || {
        let rules = world.nodes[0].rules();
        let all = world.nodes.iter().all(|node| node.live() == 31);
        all && world.nodes[30].rules() == rules
    });
    let took = took.await.unwrap();
    assert!(took < Duration::from_secs(6), "{took:?}");
    // One that starts now knows nobody, and nobody knows its certificate. It can't be helped: it
    // waits, with few calls, and is there soon after the platform is back.
    world.add(31);
    let begin = world.platform.count_of("desk-31").total();
    sleep(Duration::from_secs(300)).await;
    assert_eq!(world.nodes[31].rules(), Version::NONE);
    let tries = world.platform.count_of("desk-31").total() - begin;
    assert!((30..250).contains(&tries), "{tries} calls in 300 s");
    world.platform.fault().down(false);
    let came = world.until(30, || {
        let all = world.nodes.iter().all(|node| node.live() == 32);
        all && world.nodes[31].rules() > Version::NONE
    });
    came.await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_knows_only_former_lives_of_the_others_catches_up() {
    // All daemons are killed. One that watches nothing starts first: it lists the others' former
    // lives, twice as it hears nobody, and is the only one with that view. Then the others start with
    // new certificates. They are refused by it, and it by them, so that no relay reaches it. New
    // rules must be in force there in five seconds all the same; it took half a minute.
    let mut world = World::start(8, 1).await;
    let names: Vec<_> = world.nodes.iter().map(|node| node.name.clone()).collect();
    let first = world.nodes.iter().position(|node| !node.is_watcher());
    let first = first.expect("three of eight watch");
    names.iter().for_each(|name| world.kill(name));
    sleep(Duration::from_secs(1)).await;
    world.restart(first);
    sleep(Duration::from_secs(4)).await;
    let others: Vec<usize> = (0..8).filter(|number| *number != first).collect();
    others.iter().for_each(|number| world.restart(*number));
    sleep(Duration::from_secs(2)).await;
    let version = world.put_rules(&text("second")).await;
    let took = world.in_force(version, 60).await;
    let took = took.expect("in force everywhere in the end");
    assert!(took < Duration::from_secs(5), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn old_rules_from_a_slow_relay_never_come_back() {
    // A relay that was held up delivers the rules before last, with their text, when newer ones
    // are in force. Taking them would undo an accepted change for this daemon's callers. They are
    // acknowledged, since the relay did its part, and dropped.
    let world = World::start(10, 1).await;
    let old = world.nodes[0].rules();
    let version = world.put_rules(&text("second")).await;
    world.in_force(version, 10).await.unwrap();
    let late = Message::Rules(Push {
        version: old,
        text: Some(Packed::of(&text("first")).expect("packs")),
    });
    let from = world.nodes[1].name.clone();
    let answer = world.nodes[0].feed.note(&from, &pack(&late).unwrap());
    let answer: Answer = unpack(&answer.unwrap()).unwrap();
    assert_eq!(answer, Answer::Done);
    sleep(Duration::from_secs(20)).await;
    assert!(world.nodes.iter().all(|node| node.rules() == version));
}

#[tokio::test(start_paused = true)]
async fn an_invalid_document_goes_no_further_and_blocks_nothing() {
    // Somebody writes a broken document past the command line's check. The watchers refuse it and
    // pass nothing on; callers are served by the last good rules, also on a daemon that starts
    // now. The next good document is in force at once.
    let mut world = World::start(30, 2).await;
    sleep(Duration::from_secs(10)).await;
    let good = world.nodes[0].rules();
    let messages = |world: &World| -> u64 {
        let flows = world.nodes.iter().map(|node| node.feed.dump().flows);
        let rules = flows.flat_map(|mut flows| flows.remove(&feed::Kind::Rules));
        rules.map(|flow| flow.sent).sum()
    };
    let before = messages(&world);
    world.put_rules("{ broken").await;
    world.add(30);
    sleep(Duration::from_secs(20)).await;
    assert!(world.nodes.iter().all(|node| node.rules() == good));
    assert_eq!(messages(&world), before);
    let version = world.put_rules(&text("third")).await;
    let took = world.in_force(version, 10).await.unwrap();
    assert!(took < Duration::from_secs(1), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn lost_answers_and_delayed_writes_leave_one_true_announcement() {
    // An instance starts where the object of its earlier life was left. The write of its
    // announcement takes effect and its answer is lost; or it is held up, given up, and lands
    // later. The daemon reads back and writes what it names as replaced, so that its object says
    // what it says itself, and nobody is sent to an earlier life or to an instance that leaves.
    for (lost, late) in [(0, 0), (1, 0), (3, 0), (0, 1)] {
        let mut world = World::start(5, 1).await;
        let mut former = record(5, 1);
        former.incarnation = Incarnation(0);
        let store = world.platform.store_named("operator");
        let key = "instances/desk-5";
        let json = serde_json::to_vec(&former).unwrap();
        let put = store.put(key, json.into(), Condition::Absent).await;
        put.unwrap();
        let fault = world.platform.fault_of("desk-5");
        fault.lose_next(lost);
        fault.delay_next(late, Duration::from_millis(1_500));
        world.add(5);
        sleep(Duration::from_secs(20)).await;
        assert_eq!(stored(&store, key).await, record(5, 1));
        fault.delay_next(late, Duration::from_millis(1_500));
        world.nodes[5].feed.leave().await;
        sleep(Duration::from_secs(20)).await;
        assert_eq!(stored(&store, key).await.state, State::Leaving);
    }
}

async fn stored(store: &Store, key: &str) -> Record {
    let object = store.get(key).await.expect("the platform is up");
    let object = object.expect("the instance is announced");
    serde_json::from_slice(&object.value).expect("it is a record")
}

#[tokio::test(start_paused = true)]
async fn a_daemon_says_only_what_is_its_to_say() {
    // A daemon votes in the name of another, or speaks though it isn't announced. If either
    // counted, one faulty process could remove live targets. It is told so, and gets no answer.
    let world = World::start(10, 1).await;
    let [me, from, other] = [0, 1, 2].map(|number| world.nodes[number].name.clone());
    let vote = Message::Vote(Vote {
        observer: other,
        about: me.clone(),
        incarnation: Incarnation(1),
        verdict: Verdict::Silent,
    });
    let vote = pack(&vote).unwrap();
    let refused = world.nodes[3].feed.note(&from, &vote);
    assert!(matches!(refused, Err(Error::Unexpected(..))));
    let stranger = "desk-99".parse().unwrap();
    let refused = world.nodes[3].feed.note(&stranger, &vote);
    assert!(matches!(refused, Err(Error::UnknownInstance(_))));
    assert!(world.nodes[3].feed.note(&from, b"\xff\xff").is_err());
}

#[tokio::test(start_paused = true)]
async fn leaving_is_known_without_the_store() {
    // The platform is down and an instance is stopped as planned. All daemons must stop sending
    // it work at once; it tells them itself. The platform's silence holds the stop up no longer
    // than two seconds each time, and its object is swept once the platform is back.
    let world = World::start(40, 4).await;
    sleep(Duration::from_secs(30)).await;
    world.platform.fault().down(true);
    let leaver = &world.nodes[7];
    let begin = Instant::now();
    let state = |state: State| {
        let mut records = world.nodes.iter().map(|node| node.record(&leaver.name));
        records.all(|record| record.is_some_and(|record| record.state == state))
    };
    let (known, ()) = tokio::join!(
        world.until(5, || state(State::Leaving)),
        leaver.feed.leave()
    );
    assert!(known.unwrap() < Duration::from_millis(500), "{known:?}");
    assert!(begin.elapsed() < Duration::from_secs(5));
    let begin = Instant::now();
    leaver.feed.depart().await;
    assert!(begin.elapsed() < Duration::from_secs(5));
    world.until(1, || state(State::Gone)).await.unwrap();
    world.kill(&leaver.name);
    world.platform.fault().down(false);
    sleep(Duration::from_secs(60)).await;
    let store = world.platform.store_named("operator");
    let object = store.get(&format!("instances/{}", leaver.name)).await;
    assert_eq!(object.unwrap(), None);
}

#[tokio::test(start_paused = true)]
async fn a_short_failure_behind_a_long_one_costs_little() {
    // The platform was down for a minute, and the watchers tried ever more rarely. It is back, and their
    // watches have answered. Later it fails for 300 ms, just when the watches begin anew, and rules are
    // written behind it. With pauses as long as at the end of the outage they came up to 5 s late.
    let world = World::start(30, 2).await;
    sleep(Duration::from_secs(10)).await;
    world.platform.fault().down(true);
    sleep(Duration::from_secs(60)).await;
    world.platform.fault().down(false);
    sleep(Duration::from_secs(20)).await;
    world.put_rules(&text("second")).await;
    sleep(Duration::from_millis(50)).await;
    world.platform.fault().down(true);
    sleep(Duration::from_millis(300)).await;
    world.platform.fault().down(false);
    let version = world.put_rules(&text("third")).await;
    let took = world.in_force(version, 10).await.unwrap();
    assert!(took < Duration::from_secs(2), "{took:?}");
}
