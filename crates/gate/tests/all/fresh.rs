//! Gates that have just started, and know no run time and no pace.

use gate::{Builder, Cause, Core, Law, Request, Verdict};
use tokio::time::Instant;

use crate::kit::{ms, request, start, wait};

const SLOTS: u16 = 7;

fn gate(now: Instant) -> Core {
    let builder = Builder::new(SLOTS).law(Law::Knee).reserve(0.0);
    builder.alone(false).core(now)
}

fn with_goal(now: Instant, token: u128, class: u32, goal: u64) -> Request {
    Request {
        class,
        goal: Some(now + ms(goal)),
        deadline: now + ms(goal * 2),
        ..request(now, token, "desk")
    }
}

#[test]
fn an_unknown_run_is_not_started_in_a_spell() {
    // All machines have power again, and requests come at once. Gates know no run time. One that took
    // an unknown run for one of no time started whatever came in a slow spell: with a spell in four,
    // each five times as long, the slots were taken for twice as long as the work was.
    let now = Instant::now();
    let mut core = gate(now);
    core.set_pace(now, 100);
    core.set_pace(now + ms(50), 500);
    let id = wait(&mut core, now + ms(60), with_goal(now, 1, 3, 1_000));
    core.set_pace(now + ms(200), 100);
    let begun = core.poll(now + ms(200));
    assert_eq!(begun, [gate::Event::Start { id }]);
}

#[test]
fn the_target_is_asked_before_an_unknown_run() {
    // The target told its pace 100 ms ago, and may have turned slow since.
    let now = Instant::now();
    let mut core = gate(now);
    core.set_pace(now, 100);
    let later = now + ms(100);
    let Verdict::Start(id) = core.offer(later, with_goal(later, 1, 3, 1_000)) else {
        panic!("it has a slot");
    };
    assert!(core.wants_word(later, id));
}

#[test]
fn a_cold_target_that_first_tells_of_a_spell_is_waited_for() {
    // The target has started anew, is half as quick as usual for some seconds, and what it tells first
    // falls into a spell: 1000. Taken for how quick it is while it is cold, runs took ten times the
    // usual time.
    let now = Instant::now();
    let mut core = gate(now);
    core.set_pace(now, 100);
    core.target_cold();
    let Verdict::Start(asks) = core.offer(now, with_goal(now, 1, 3, 1_000)) else {
        panic!("it has a slot");
    };
    assert!(
        core.wants_word(now, asks),
        "a target that starts anew is asked"
    );
    core.set_pace(now, 1_000);
    assert!(matches!(core.reconsider(now, asks), Verdict::Wait(_)));
    core.set_pace(now + ms(150), 200);
    let begun = core.poll(now + ms(150));
    assert_eq!(begun, [gate::Event::Start { id: asks }]);
}

#[test]
fn a_queue_behind_unknown_runs_holds_what_can_meet_its_goal() {
    // The slots are filled with long runs, and some short ones have been answered already. The mean of
    // the answers said 2 ms, and 36 requests were let in to wait, told after a second that it was too
    // late. Their goals tell how long such runs take: seven runs of a third of a second give back a
    // slot each 48 ms, and 14 that wait can meet theirs.
    let mut now = Instant::now();
    let mut core = gate(now);
    core.set_pace(now, 100);
    for token in 0..3 {
        let id = start(&mut core, now, with_goal(now, 100 + token, 9, 1_000));
        now += ms(2);
        crate::kit::answer(&mut core, now, id, ms(2));
    }
    for token in 0..u128::from(SLOTS) {
        start(&mut core, now, with_goal(now, token, 3, 1_000));
    }
    let mut waiting = 0;
    for token in 0..40 {
        match core.offer(now, with_goal(now, 200 + token, 3, 1_000)) {
            Verdict::Wait(_) => waiting += 1,
            Verdict::Refuse(refusal) => assert_eq!(refusal.cause(), Cause::Full),
            Verdict::Start(_) => panic!("no slot is free"),
        }
    }
    assert!((7..=14).contains(&waiting), "{waiting} wait");
}
