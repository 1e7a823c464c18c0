//! Gates that have just started and know neither the run times nor the pace of their target.

use gate::{Builder, Cause, Core, Law, Request, Verdict};
use tokio::time::Instant;

use crate::common::{ms, request, start, wait};

const SLOTS: u16 = 7;

/// Number of slots that are used before it is known how the target behaves when nearly full.
const INITIAL_SLOTS: u16 = 5;

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

/// After a power failure all machines start at once, and requests arrive before the gates know any
/// run time. A gate that took an unknown run time for zero started every request during a slowdown.
/// With the target slow for a quarter of the time, by a factor of five, slots were held for twice
/// as long as the work takes.
#[test]
fn request_of_unknown_run_time_waits_out_a_slowdown() {
    let now = Instant::now();
    let mut core = gate(now);
    core.set_pace(now, 100);
    core.set_pace(now + ms(50), 500);
    let id = wait(&mut core, now + ms(60), with_goal(now, 1, 3, 1_000));
    core.set_pace(now + ms(200), 100);
    let started = core.poll(now + ms(200));
    assert_eq!(started, [gate::Event::Start { id }]);
}

/// The target reported its pace 100 ms ago and may have become slow since. A request of unknown run
/// time must not start on that report without a pace probe.
#[test]
fn request_of_unknown_run_time_needs_a_pace_probe() {
    let now = Instant::now();
    let mut core = gate(now);
    core.set_pace(now, 100);
    let later = now + ms(100);
    let Verdict::Start(id) = core.offer(later, with_goal(later, 1, 3, 1_000)) else {
        panic!("no slot is free");
    };
    assert!(core.needs_pace_probe(later, id));
}

/// The target has restarted and takes twice the usual time for some seconds. Its first pace report,
/// 1000, falls into a slowdown. When that was taken for the base pace of the cold target, requests
/// started at once and took ten times the usual time.
#[test]
fn first_report_in_a_slowdown_is_not_the_base_pace_of_a_cold_target() {
    let now = Instant::now();
    let mut core = gate(now);
    core.set_pace(now, 100);
    core.target_cold();
    let Verdict::Start(id) = core.offer(now, with_goal(now, 1, 3, 1_000)) else {
        panic!("no slot is free");
    };
    assert!(
        core.needs_pace_probe(now, id),
        "a restarted target is not probed"
    );
    core.set_pace(now, 1_000);
    assert!(matches!(core.reconsider(now, id), Verdict::Wait(_)));
    core.set_pace(now + ms(150), 200);
    let started = core.poll(now + ms(150));
    assert_eq!(started, [gate::Event::Start { id }]);
}

/// The slots are filled with long runs, and only a few short ones have been answered. By the mean
/// of the answers, 2 ms, 36 requests were queued and refused a second later as too late. The goals
/// of the running requests indicate their run times: five runs of a third of a second free a slot
/// every 67 ms, so ten waiting requests can meet their goals.
#[test]
fn queue_behind_unknown_runs_admits_only_what_can_meet_its_goal() {
    let mut now = Instant::now();
    let mut core = gate(now);
    core.set_pace(now, 100);
    for token in 0..3 {
        let id = start(&mut core, now, with_goal(now, 100 + token, 9, 1_000));
        now += ms(2);
        crate::common::answer(&mut core, now, id, ms(2));
    }
    for token in 0..u128::from(INITIAL_SLOTS) {
        start(&mut core, now, with_goal(now, token, 3, 1_000));
    }
    let (mut waiting, mut started) = (0, 0);
    for token in 0..40 {
        match core.offer(now, with_goal(now, 200 + token, 3, 1_000)) {
            Verdict::Wait(_) => waiting += 1,
            Verdict::Refuse(refusal) => assert_eq!(refusal.cause(), Cause::Full),
            // One request may start in a slot that the knee has no runs for.
            Verdict::Start(_) => started += 1,
        }
    }
    assert!(started <= 1, "{started} started");
    assert!((5..=10).contains(&waiting), "{waiting} waiting");
}

/// Plays rounds of as many requests as the target has slots, each of which takes 1.65 times as long
/// if it starts beside `knee` others or more. Returns the limit at the end, and the share of runs
/// that started beside `initial` others or more.
fn play(slots: u16, knee: usize, initial: usize) -> (u16, f64) {
    let mut now = Instant::now();
    let builder = Builder::new(slots).law(Law::Knee).reserve(0.0);
    let mut core = builder.isolate_suspects(false).core(now);
    core.set_pace(now, 100);
    let (mut token, mut over, mut runs) = (0, 0, 0);
    for _ in 0..40 {
        let (mut held, mut waiting) = (Vec::new(), Vec::new());
        for _ in 0..slots {
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
            core.dispatch(now, *held.last().expect("a request holds a slot"));
        }
        for id in waiting {
            core.cancel(now, id);
        }
        over += held.len().saturating_sub(initial);
        runs += held.len();
        for (others, id) in held.into_iter().enumerate() {
            let work = if others < knee { ms(60) } else { ms(99) };
            core.record_work(now, id, work);
            core.finish(now, id, gate::End::Answered { latency: work });
            core.poll(now);
        }
        now += ms(200);
    }
    (
        core.report(now).limit,
        f64::from(over as u32) / f64::from(runs as u32),
    )
}

/// Targets slow down for runs that start while most slots are taken. Each gate of a large fleet sees
/// only a few runs per second, and kept its target above the knee for a whole day. Only a few runs
/// may explore the last slots. If those do not slow down, about ten such runs open the slots.
#[test]
fn few_runs_explore_the_last_slots_until_the_knee_is_known() {
    // Six slots were all used at first, because a third of them was held to be worth the risk.
    for (slots, knee) in [(6, 4), (7, 5), (11, 8), (15, 12)] {
        let (limit, over) = play(slots, knee, knee);
        assert_eq!(usize::from(limit), knee, "limit of {slots} slots");
        assert!(
            over < 0.1,
            "{over:.2} of the runs of {slots} slots started above the knee"
        );
        let (limit, _) = play(slots, usize::from(slots), knee);
        assert_eq!(limit, slots, "limit without a knee");
    }
}
