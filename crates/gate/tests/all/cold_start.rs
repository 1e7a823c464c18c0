//! Gates that have just started, and know no run time and no pace.

use gate::{Builder, Cause, Core, Law, Request, Verdict};
use tokio::time::Instant;

use crate::common::{ms, request, start, wait};

const SLOTS: u16 = 7;

/// The slots that are used before it is known what the target does when it is nearly full.
const USED: u16 = 5;

fn gate(now: Instant) -> Core {
    let builder = Builder::new(SLOTS).law(Law::Knee).reserve(0.0);
    builder.isolate_suspects(false).core(now)
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
    assert!(core.needs_pace_probe(later, id));
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
        core.needs_pace_probe(now, asks),
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
    // late. Their goals tell how long such runs take: five runs of a third of a second give back a slot
    // each 67 ms, and ten that wait can meet theirs.
    let mut now = Instant::now();
    let mut core = gate(now);
    core.set_pace(now, 100);
    for token in 0..3 {
        let id = start(&mut core, now, with_goal(now, 100 + token, 9, 1_000));
        now += ms(2);
        crate::common::answer(&mut core, now, id, ms(2));
    }
    for token in 0..u128::from(USED) {
        start(&mut core, now, with_goal(now, token, 3, 1_000));
    }
    let (mut waiting, mut tried) = (0, 0);
    for token in 0..40 {
        match core.offer(now, with_goal(now, 200 + token, 3, 1_000)) {
            Verdict::Wait(_) => waiting += 1,
            Verdict::Refuse(refusal) => assert_eq!(refusal.cause(), Cause::Full),
            // One may try a slot of which nothing is known.
            Verdict::Start(_) => tried += 1,
        }
    }
    assert!(tried <= 1, "{tried} start");
    assert!((5..=10).contains(&waiting), "{waiting} wait");
}

#[test]
fn a_nearly_full_target_is_tried_by_few_until_it_is_known() {
    // Targets of seven slots take 1.65 times as long for what starts beside five others or more. Each
    // gate of a large fleet sees a few runs a second: it ran its target over that for the whole day, and
    // a third of all runs took 1.65 times as long. Now the last slots are tried by few; where nothing
    // slows down, they are in use after some ten of those.
    for (knee, limit) in [(5, 5), (7, 7)] {
        let mut now = Instant::now();
        let mut core = gate(now);
        core.set_pace(now, 100);
        let (mut token, mut over, mut runs) = (0, 0, 0);
        for _ in 0..40 {
            let (mut held, mut waiting) = (Vec::new(), Vec::new());
            for _ in 0..SLOTS {
                token += 1;
                match core.offer(now, with_goal(now, token, 3, 3_000)) {
                    Verdict::Start(id) => held.push(id),
                    Verdict::Wait(id) => waiting.push(id),
                    Verdict::Refuse(refusal) => panic!("{refusal:?}"),
                }
                held.extend(core.poll(now).into_iter().filter_map(|event| match event {
                    gate::Event::Start { id } => Some(id),
                    gate::Event::Refuse { .. } => None,
                }));
                core.dispatch(now, *held.last().expect("one runs"));
            }
            for id in waiting {
                core.cancel(now, id);
            }
            over += held.len().saturating_sub(usize::from(USED));
            runs += held.len();
            for (at, id) in held.into_iter().enumerate() {
                let work = if at < knee { ms(60) } else { ms(99) };
                core.record_work(now, id, work);
                core.finish(now, id, gate::End::Answered { latency: work });
                core.poll(now);
            }
            now += ms(200);
        }
        assert_eq!(core.report(now).limit, limit, "a knee at {knee}");
        if knee == 5 {
            assert!(over * 5 < runs, "{over} of {runs} runs were over the knee");
        }
    }
}
