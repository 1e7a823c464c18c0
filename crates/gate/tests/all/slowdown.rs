//! Slowdowns of the target, latency goals, late requests, and the knee.

use gate::{Builder, Cause, Core, End, Event, Gate, Law, Request, Verdict};
use tokio::time::Instant;
use unit::Token;

use crate::common::{answer, cause, ms, request, start, wait};

const CLASS: u32 = 7;

/// A gate whose target reports its pace, and which has learnt that work of [`CLASS`] takes 60 ms.
fn gate(slots: u16, now: &mut Instant) -> Core {
    let builder = Builder::new(slots).law(Law::Knee).reserve(0.0);
    let mut core = builder.isolate_suspects(false).core(*now);
    core.set_pace(*now, 100);
    for token in 0..20 {
        let id = start(&mut core, *now, of_class(*now, 1_000 + token));
        *now += ms(60);
        answer(&mut core, *now, id, ms(60));
    }
    core
}

fn of_class(now: Instant, token: u128) -> Request {
    Request {
        class: CLASS,
        ..request(now, token, "desk")
    }
}

fn with_goal(now: Instant, token: u128, goal: u64) -> Request {
    Request {
        goal: Some(now + ms(goal)),
        ..of_class(now, token)
    }
}

/// The target reports that runs take five times as long at present. A run that starts now would
/// hold its slot for all of that time, although the slowdown ends long before. It must start only
/// when the slowdown ends.
#[test]
fn work_waits_for_the_end_of_a_slowdown() {
    let mut now = Instant::now();
    let mut core = gate(4, &mut now);
    core.set_pace(now, 500);
    let id = wait(&mut core, now, of_class(now, 1));
    now += ms(120);
    assert_eq!(core.poll(now), []);
    core.set_pace(now, 100);
    assert_eq!(core.poll(now), [Event::Start { id }]);
}

/// A run that ends sooner than if it waited for the end of the slowdown starts at once.
#[test]
fn short_work_starts_during_a_slowdown() {
    let mut now = Instant::now();
    let mut core = gate(4, &mut now);
    for token in 0..10 {
        let short = Request {
            class: 9,
            ..request(now, 2_000 + token, "desk")
        };
        let id = start(&mut core, now, short);
        now += ms(10);
        answer(&mut core, now, id, ms(10));
    }
    core.set_pace(now, 500);
    let offered = core.offer(
        now,
        Request {
            class: 9,
            ..request(now, 1, "desk")
        },
    );
    assert!(matches!(offered, Verdict::Start(_)), "{offered:?}");
}

/// A target has become permanently slower. Requests that waited for the end of the slowdown would
/// wait until their deadlines, and the target would never be used again.
#[test]
fn permanent_slowdown_is_not_waited_out() {
    let mut now = Instant::now();
    let mut core = gate(4, &mut now);
    core.set_pace(now, 500);
    let id = wait(&mut core, now, of_class(now, 1));
    let began = now;
    while now < began + ms(950) {
        now = core.next_timer(now).expect("the slowdown sets a timer");
        if core.poll(now).contains(&Event::Start { id }) {
            return;
        }
    }
    panic!("the request did not start within 950 ms");
}

/// A slowdown starts while requests wait that would miss their goals if they waited it out. They
/// have not run, and another target may be quick, so they are refused at once.
#[test]
fn slowdown_refuses_waiting_requests_that_would_miss_their_goals() {
    let mut now = Instant::now();
    let mut core = gate(1, &mut now);
    start(&mut core, now, of_class(now, 1));
    let tight = wait(&mut core, now, with_goal(now, 2, 150));
    let easy = wait(&mut core, now, with_goal(now, 3, 900));
    now += ms(5);
    core.set_pace(now, 500);
    let events = core.poll(now);
    let refused = |event: &Event| matches!(event, Event::Refuse { id, .. } if *id == tight);
    assert!(events.iter().any(refused), "{events:?}");
    assert!(
        !events
            .iter()
            .any(|event| matches!(event, Event::Refuse { id, .. } if *id == easy))
    );
}

/// A request that can't be answered within its goal here is refused before it waits, while its
/// caller or another gate can still use the time that is left.
#[test]
fn request_that_would_miss_its_goal_is_refused_at_once() {
    let mut now = Instant::now();
    let mut core = gate(1, &mut now);
    start(&mut core, now, of_class(now, 1));
    assert_eq!(cause(&mut core, now, with_goal(now, 2, 100)), Cause::Full);
    wait(&mut core, now, with_goal(now, 3, 400));
}

/// A request has waited until it can't meet its goal, while others wait that still can. If it ran
/// before them, it would make them late in turn: in an overload, 152 of 1,000 look-ups ended late
/// for this reason and used a quarter of the slots' time. It is refused at once, as not run.
#[test]
fn late_request_is_refused_while_others_wait() {
    let mut now = Instant::now();
    let mut core = gate(1, &mut now);
    let running = start(&mut core, now, of_class(now, 1));
    let tight = wait(&mut core, now, with_goal(now, 2, 130));
    let easy = wait(&mut core, now, of_class(now, 3));
    now += ms(100);
    let events = answer(&mut core, now, running, ms(100));
    let refused = |event: &Event| matches!(event, Event::Refuse { id, .. } if *id == tight);
    assert!(events.iter().any(refused), "{events:?}");
    assert!(events.contains(&Event::Start { id: easy }), "{events:?}");
}

/// As above, but nothing else waits. A late answer is still worth a little, and its run takes a
/// slot from no other request.
#[test]
fn late_request_starts_if_nothing_else_waits() {
    let mut now = Instant::now();
    let mut core = gate(1, &mut now);
    let running = start(&mut core, now, of_class(now, 1));
    let tight = wait(&mut core, now, with_goal(now, 2, 130));
    now += ms(100);
    let events = answer(&mut core, now, running, ms(100));
    assert!(events.contains(&Event::Start { id: tight }), "{events:?}");
}

/// Starts up to `count` requests at once and cancels those that wait. Runs that start beside `knee`
/// others or more take 1.65 times as long.
fn run_concurrently(
    core: &mut Core,
    now: &mut Instant,
    count: usize,
    knee: usize,
    token: &mut u128,
) {
    let mut held = Vec::new();
    let mut waiting = Vec::new();
    for _ in 1..=count {
        *token += 1;
        match core.offer(*now, of_class(*now, *token)) {
            Verdict::Start(id) => held.push(id),
            Verdict::Wait(id) => waiting.push(id),
            Verdict::Refuse(_) => {}
        }
        let started = core.poll(*now).into_iter();
        held.extend(started.filter_map(|event| match event {
            Event::Start { id } => Some(id),
            Event::Refuse { .. } => None,
        }));
        core.dispatch(*now, *held.last().expect("a request holds a slot"));
    }
    for id in waiting {
        core.cancel(*now, id);
    }
    let percent = |others: usize| if others >= knee { 165 } else { 100 };
    let held: Vec<_> = held.into_iter().enumerate().collect();
    let held = held
        .into_iter()
        .map(|(others, id)| (id, ms(60 * percent(others) / 100)));
    for (id, work) in held {
        core.record_work(*now, id, work);
        core.finish(*now, id, End::Answered { latency: work });
        core.poll(*now);
    }
    *now += ms(100);
}

/// The target takes 1.65 times as long for runs that start beside nine others or more. Eleven
/// concurrent runs complete as much as 6.7 runs at the usual time, while nine complete nine, so the
/// gate keeps two slots free.
#[test]
fn slots_above_the_knee_stay_free() {
    let mut now = Instant::now();
    let mut core = gate(11, &mut now);
    let mut token = 5_000;
    for _ in 0..60 {
        run_concurrently(&mut core, &mut now, 11, 9, &mut token);
    }
    assert_eq!(core.report(now).limit, 9);
}

/// A target without a knee keeps all its slots, even after it was slow at all levels of concurrency
/// for a while.
#[test]
fn target_without_a_knee_keeps_its_slots() {
    let mut now = Instant::now();
    let mut core = gate(11, &mut now);
    let mut token = 5_000;
    for _ in 0..60 {
        run_concurrently(&mut core, &mut now, 11, 99, &mut token);
    }
    for _ in 0..60 {
        run_concurrently(&mut core, &mut now, 11, 0, &mut token);
    }
    assert_eq!(core.report(now).limit, 11);
}

/// The target leaves, and its next life has a different number of slots. The gate must admit
/// requests to it again, up to the new number.
#[test]
fn next_life_of_a_target_gets_requests() {
    let mut now = Instant::now();
    let mut core = gate(4, &mut now);
    core.leave(now);
    assert_eq!(cause(&mut core, now, of_class(now, 1)), Cause::Leaving);
    core.target_ready(now, 2);
    start(&mut core, now, of_class(now, 2));
    start(&mut core, now, of_class(now, 3));
    wait(&mut core, now, of_class(now, 4));
}

/// Watchers of the condition are notified when the target becomes slow or unreachable, but not of a
/// new pace that is still slow.
#[tokio::test(start_paused = true)]
async fn watchers_are_notified_of_a_changed_condition() {
    let gate = Gate::builder(4).build();
    let mut condition = gate.condition();
    gate.set_pace(500);
    assert!(condition.has_changed().expect("the gate exists"));
    assert!(condition.borrow_and_update().slow);
    gate.set_pace(450);
    assert!(
        !condition.has_changed().expect("the gate exists"),
        "notified although the target is still slow"
    );
    gate.target_down();
    assert!(condition.borrow_and_update().closed);
}

fn with_alternative(request: Request) -> Request {
    Request {
        elsewhere: true,
        ..request
    }
}

/// A slowdown is reported after a request got its slot and before it is dispatched, for example
/// while its connection is set up. Dispatched now, the run would take five times as long. The
/// request must release its slot and wait for the end of the slowdown, or be refused if it would
/// miss its goal.
#[test]
fn slowdown_reported_before_dispatch_is_waited_out() {
    let mut now = Instant::now();
    let mut core = gate(4, &mut now);
    let Verdict::Start(id) = core.offer(now, of_class(now, 1)) else {
        panic!("no slot is free");
    };
    core.set_pace(now, 500);
    assert_eq!(core.reconsider(now, id), Verdict::Wait(id));
    assert_eq!(core.running(), 0);
    now += ms(50);
    core.set_pace(now, 100);
    assert_eq!(core.poll(now), [Event::Start { id }]);
    assert_eq!(core.reconsider(now, id), Verdict::Start(id));
    assert!(core.dispatch(now, id));
    let Verdict::Start(tight) = core.offer(now, with_goal(now, 2, 100)) else {
        panic!("no slot is free");
    };
    core.set_pace(now, 500);
    let verdict = core.reconsider(now, tight);
    assert!(matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
}

/// The entry knows a quick target, and this one is in a slowdown. Waiting here would cost the
/// request 100 ms, while the network delay to the other target is 3 ms. It is refused whether it
/// has just arrived, waits, or holds a slot. So is a nested call, which would otherwise start
/// during the slowdown.
#[test]
fn slowdown_refuses_requests_with_a_quick_target_elsewhere() {
    let mut now = Instant::now();
    let mut core = gate(1, &mut now);
    let Verdict::Start(running) = core.offer(now, with_alternative(of_class(now, 1))) else {
        panic!("no slot is free");
    };
    let waiting = wait(&mut core, now, with_alternative(with_goal(now, 2, 900)));
    now += ms(5);
    core.set_pace(now, 500);
    let events = core.poll(now);
    let refused = |event: &Event| matches!(event, Event::Refuse { id, .. } if *id == waiting);
    assert!(events.iter().any(refused), "{events:?}");
    let verdict = core.reconsider(now, running);
    assert!(matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
    let nested = Request {
        nested: true,
        ..with_alternative(of_class(now, 3))
    };
    assert_eq!(cause(&mut core, now, nested.clone()), Cause::Full);
    // Without a known quick target it waits: refusing it would waste the run that depends on it.
    let without_alternative = Request {
        token: Token(4),
        elsewhere: false,
        ..nested
    };
    wait(&mut core, now, without_alternative);
}

/// The target becomes slow several times a second. A pace report from 1 ms ago is still valid, but
/// one from 100 ms ago may be outdated, and a start during a slowdown takes four more run times.
/// The target must be probed first. A target that never becomes slow is not probed.
#[test]
fn start_on_an_old_pace_report_needs_a_probe() {
    for (slows_down, needs_probe) in [(true, true), (false, false)] {
        let mut now = Instant::now();
        let mut core = gate(4, &mut now);
        for _ in 0..50 {
            now += ms(300);
            core.set_pace(now, if slows_down { 500 } else { 100 });
            now += ms(100);
            core.set_pace(now, 100);
        }
        let Verdict::Start(id) = core.offer(now, of_class(now, 1)) else {
            panic!("no slot is free");
        };
        assert!(!core.needs_pace_probe(now + ms(1), id));
        assert_eq!(core.needs_pace_probe(now + ms(100), id), needs_probe);
    }
}

/// All targets have just started, and runs take twice as long for some seconds. If that counted as
/// a slowdown to wait out, each target would be idle for 600 ms when it is needed most. A slowdown
/// on top of it still counts as one.
#[test]
fn cold_target_is_not_in_a_slowdown() {
    let mut now = Instant::now();
    let mut core = gate(4, &mut now);
    core.target_down(now);
    core.target_cold();
    core.target_ready(now, 4);
    core.set_pace(now, 200);
    let running = start(&mut core, now, of_class(now, 1));
    core.set_pace(now, 1_000);
    wait(&mut core, now, of_class(now, 2));
    now += ms(150);
    core.set_pace(now, 200);
    assert_eq!(core.running(), 2);
    answer(&mut core, now, running, ms(120));
}

/// Slowdowns of this target last four times as long as those of other targets. Requests that waited
/// only for the usual length would start in the middle of a slowdown; one in five lasts longer than
/// that.
#[test]
fn length_of_slowdowns_is_learnt() {
    for (length, waits) in [(600, true), (75, false)] {
        let mut now = Instant::now();
        let mut core = gate(4, &mut now);
        for _ in 0..30 {
            now += ms(400);
            core.set_pace(now, 2_000);
            now += ms(length);
            core.set_pace(now, 100);
        }
        now += ms(400);
        core.set_pace(now, 2_000);
        let patient = Request {
            deadline: now + ms(5_000),
            ..with_goal(now, 1, 3_000)
        };
        let id = wait(&mut core, now, patient);
        now += ms(900);
        let started = core.poll(now).contains(&Event::Start { id });
        assert_eq!(started, !waits, "slowdowns of {length} ms");
    }
}
