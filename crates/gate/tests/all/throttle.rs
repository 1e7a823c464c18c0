//! The bound on a target that limits the rate of its requests.

use std::time::Duration;

use gate::{Builder, Cause, Core, Event, Request, Verdict};
use proptest::prelude::*;
use tokio::time::Instant;
use unit::Rate;

use crate::common::{answer, ms, request, start, urgent, wait};
use crate::schedule::{self, Play, Step, arrive, patient};

fn gate(now: Instant, rate: f64) -> Core {
    let builder = Builder::new(1_000).law(gate::Law::Fixed);
    let mut core = builder.wait(ms(10_000)).core(now);
    core.set_max_rate(now, Some(Rate::of(rate)));
    core
}

/// Offers a request and sends it if it starts at once.
fn send(core: &mut Core, now: Instant, token: u128) -> bool {
    match core.offer(now, patient(now, token)) {
        Verdict::Start(id) => {
            core.dispatch(now, id);
            core.record_sent(now, id);
            answer(core, now, id, ms(1));
            true
        }
        Verdict::Wait(id) => !core.cancel(now, id),
        Verdict::Refuse(_) => false,
    }
}

/// Offers a request each millisecond for `time`, and returns how many were sent.
fn sent_within(core: &mut Core, from: Instant, time: u64) -> usize {
    let steps = 0..time;
    let sent = steps.filter(|step| send(core, from + ms(*step), u128::from(*step)));
    sent.count()
}

/// A target that took 24.1 requests a second got as many as its slots allow. It must get all that it
/// takes, and no more.
#[test]
fn limited_target_gets_what_it_takes_and_no_more() {
    for rate in [24.1, 1.9, 0.5] {
        let now = Instant::now();
        let mut core = gate(now, rate);
        let sent = sent_within(&mut core, now, 4_000) as f64;
        // A quarter of a second's requests, or one, may come at once.
        let most = 4.0 * rate + f64::max(rate / 4.0, 1.0);
        let least = 4.0 * rate * 0.9;
        assert!((least..=most).contains(&sent), "{sent} at {rate} a second");
    }
    let now = Instant::now();
    let mut core = gate(now, 0.0);
    assert_eq!(sent_within(&mut core, now, 4_000), 1);
}

/// When a limit came, the requests just sent didn't count, and the target got a burst on top.
#[test]
fn requests_from_before_the_limit_count() {
    let now = Instant::now();
    let mut core = gate(now, 24.0);
    core.set_max_rate(now, None);
    for token in 0..100 {
        assert!(send(&mut core, now, token));
    }
    core.set_max_rate(now + ms(10), Some(Rate::of(24.0)));
    assert!(!send(&mut core, now + ms(10), 200));
    assert!(send(&mut core, now + ms(251), 201));
}

/// Requests that waited at the gate when a limit came were held until their deadlines, although other
/// targets had room.
#[test]
fn limit_refuses_at_once_what_it_holds_up_too_long() {
    let now = Instant::now();
    let builder = Builder::new(1).law(gate::Law::Fixed);
    let mut core = builder.core(now);
    let running = start(&mut core, now, patient(now, 1));
    core.record_sent(now, running);
    let with_goal = |token, goal| Request {
        goal: Some(now + ms(goal)),
        ..patient(now, token)
    };
    let hurried = wait(&mut core, now, with_goal(2, 300));
    let calm = wait(&mut core, now, with_goal(3, 3_000));
    core.set_max_rate(now + ms(5), Some(Rate::of(1.0)));
    let events = core.poll(now + ms(5));
    let [Event::Refuse { id, refusal }] = events.as_slice() else {
        panic!("{events:?}");
    };
    assert_eq!((*id, refusal.cause()), (hurried, Cause::Throttled));
    assert_eq!(refusal.outcome(), unit::Outcome::NotRun);
    answer(&mut core, now + ms(10), running, ms(10));
    assert_eq!(core.poll(now + ms(1_002)), [Event::Start { id: calm }]);
}

/// A refused caller was told to come back when the target was still held up, or long after.
#[test]
fn refusal_names_the_time_at_which_the_target_takes_the_request() {
    let now = Instant::now();
    let mut core = gate(now, 2.0);
    assert!(send(&mut core, now, 1));
    let hurried = Request {
        goal: Some(now + ms(300)),
        ..patient(now, 2)
    };
    let Verdict::Refuse(refusal) = core.offer(now, hurried) else {
        panic!("the request is kept although it can't meet its goal");
    };
    assert_eq!(refusal.cause(), Cause::Throttled);
    let back = now + refusal.retry_after();
    assert!(!send(&mut core, back - ms(2), 3));
    assert!(send(&mut core, back + ms(2), 4));
}

/// A call without a goal, made by a running request, waited for a throttled target until its deadline.
#[test]
fn nested_call_that_the_limit_holds_up_past_its_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut core = gate(now, 0.5);
    assert!(send(&mut core, now, 1));
    let call = Request {
        nested: true,
        ..request(now, 2, "desk")
    };
    assert!(matches!(core.offer(now, call), Verdict::Refuse(_)));
}

/// Routine requests used up what a limited target takes, and the clerk's urgent request came after.
#[test]
fn urgent_requests_go_first_at_a_limited_target() {
    let now = Instant::now();
    let mut core = gate(now, 4.0);
    assert!(send(&mut core, now, 1));
    for token in 10..14 {
        wait(&mut core, now, patient(now, token));
    }
    let clerk = Request {
        deadline: now + ms(9_000),
        ..urgent(now, 20, "clerk")
    };
    let clerk = wait(&mut core, now, clerk);
    let events = core.poll(now + ms(252));
    assert_eq!(events, [Event::Start { id: clerk }]);
}

/// When the limit ended, requests went on waiting for it.
#[test]
fn end_of_a_limit_starts_what_waits() {
    let now = Instant::now();
    let mut core = gate(now, 1.0);
    assert!(send(&mut core, now, 1));
    let waiting = wait(&mut core, now, patient(now, 2));
    core.set_max_rate(now + ms(10), None);
    assert_eq!(core.poll(now + ms(10)), [Event::Start { id: waiting }]);
}

/// Entries took a throttled target for one with free slots and sent it all that it then refused.
#[test]
fn report_shows_entries_what_a_limited_target_can_run() {
    let mut now = Instant::now();
    let mut core = gate(now, 20.0);
    for token in 0..50 {
        let id = start(&mut core, now, patient(now, token));
        core.record_sent(now, id);
        now += ms(100);
        answer(&mut core, now, id, ms(100));
    }
    assert_eq!(core.report(now).limit, 2, "20 a second of 100 ms each");
}

/// A daemon that had been frozen sent at once all that it would have sent meanwhile.
#[test]
fn gate_that_was_frozen_makes_up_for_nothing() {
    let now = Instant::now();
    let mut core = gate(now, 8.0);
    let mut sent = 0;
    while send(&mut core, now, sent) {
        sent += 1;
    }
    assert_eq!(sent, 2, "a quarter of a second's requests at once");
    for token in 10..30 {
        wait(&mut core, now, patient(now, token));
    }
    let thawed = now + ms(5_000);
    assert_eq!(core.poll(thawed).len(), 2);
    assert_eq!(core.poll(thawed + ms(200)), []);
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let rate = prop::sample::select(vec![0.0, 0.3, 1.0, 2.5, 8.0, 24.1]);
    let step = prop_oneof![
        8 => arrive(any::<bool>()),
        6 => Just(Step::Send),
        3 => Just(Step::End),
        1 => Just(Step::Drop),
        2 => schedule::wait(),
        1 => rate.prop_map(Step::Limit),
    ];
    prop::collection::vec(step, 0..600)
}

proptest! {
    /// Whatever the schedule, and however the limit changes, no four seconds see more requests than
    /// one and a half times what the highest limit in them allows, and five.
    #[test]
    fn no_four_seconds_of_a_limited_target_exceed_the_bound(steps in steps()) {
        let now = Instant::now();
        let mut core = Builder::new(50).law(gate::Law::Fixed).core(now);
        core.set_max_rate(now, Some(Rate::of(1.0)));
        let mut play = Play::new(core, now);
        let mut limits = vec![(now, 1.0)];
        for step in steps {
            play.step(step);
            let now = play.now;
            if let Step::Limit(rate) = step {
                limits.push((now, rate));
            }
            let from = now.checked_sub(Duration::from_secs(4)).unwrap_or(now);
            let count = play.arrivals.iter().filter(|at| **at > from).count();
            let ended = |index: usize| limits.get(index + 1).is_some_and(|(at, _)| *at < from);
            let named = limits.iter().enumerate().filter(|(index, _)| !ended(*index));
            let highest = named.map(|(_, (_, rate))| *rate).fold(0.0, f64::max);
            // A request that got its slot under a higher limit may be sent later.
            let allowed = 1.5 * 4.0 * highest + 5.0;
            prop_assert!(count as f64 <= allowed, "{count} in 4 s, limit {highest}");
        }
    }
}
