//! Slow spells of the target, goals, late work, and the knee.

use gate::{Builder, Cause, Core, End, Event, Gate, Law, Request, Verdict};
use tokio::time::Instant;

use crate::kit::{answer, cause, ms, request, start, wait};

const CLASS: u32 = 7;

/// A gate before a target that tells its pace, and knows that work of [`CLASS`] takes 60 ms.
fn gate(slots: u16, now: &mut Instant) -> Core {
    let builder = Builder::new(slots).law(Law::Knee).reserve(0.0);
    let mut core = builder.alone(false).core(*now);
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

/// The target says that work takes five times as long at this moment. A run that starts now takes
/// its slot for all of that, though the spell is over long before; so it starts when the spell ends.
#[test]
fn work_waits_for_the_end_of_a_spell() {
    let mut now = Instant::now();
    let mut core = gate(4, &mut now);
    core.set_pace(now, 500);
    let id = wait(&mut core, now, of_class(now, 1));
    now += ms(120);
    assert_eq!(core.poll(now), []);
    core.set_pace(now, 100);
    assert_eq!(core.poll(now), [Event::Start { id }]);
}

/// Work that is over before one that waited for the end of the spell starts at once.
#[test]
fn short_work_starts_in_a_spell() {
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

/// A target has become slow for good. Work that waited for the end of its spell would wait until its
/// deadline, and the target would never be used again.
#[test]
fn a_spell_that_does_not_end_is_the_new_pace() {
    let mut now = Instant::now();
    let mut core = gate(4, &mut now);
    core.set_pace(now, 500);
    let id = wait(&mut core, now, of_class(now, 1));
    let began = now;
    while now < began + ms(950) {
        now = core.next_timer(now).expect("a timer of the spell");
        if core.poll(now).contains(&Event::Start { id }) {
            return;
        }
    }
    panic!("it was never started");
}

/// A spell begins while requests wait that would miss their goals behind it. They have not run, and
/// another target may be quick: they are handed back at once.
#[test]
fn what_waits_is_handed_back_when_a_spell_begins() {
    let mut now = Instant::now();
    let mut core = gate(1, &mut now);
    start(&mut core, now, of_class(now, 1));
    let tight = wait(&mut core, now, with_goal(now, 2, 150));
    let easy = wait(&mut core, now, with_goal(now, 3, 900));
    now += ms(5);
    core.set_pace(now, 500);
    let events = core.poll(now);
    let handed = |event: &Event| matches!(event, Event::Refuse { id, .. } if *id == tight);
    assert!(events.iter().any(handed), "{events:?}");
    assert!(
        !events
            .iter()
            .any(|event| matches!(event, Event::Refuse { id, .. } if *id == easy))
    );
}

/// A request that can't be answered within its goal here is refused before it waits: its caller, or
/// another gate, can still do something with the time.
#[test]
fn what_would_miss_its_goal_is_refused_at_once() {
    let mut now = Instant::now();
    let mut core = gate(1, &mut now);
    start(&mut core, now, of_class(now, 1));
    assert_eq!(cause(&mut core, now, with_goal(now, 2, 100)), Cause::Full);
    wait(&mut core, now, with_goal(now, 3, 400));
}

/// Late requests wait apart. In one queue with others each would make those behind it late; behind
/// all others they would wait until their deadline while there is a little too much work.
#[test]
fn late_work_has_every_fourth_start() {
    let mut now = Instant::now();
    let mut core = gate(1, &mut now);
    let mut running = start(&mut core, now, of_class(now, 1));
    let late = Request {
        late: true,
        ..of_class(now, 2)
    };
    let late = wait(&mut core, now, late);
    let mut others = 0;
    loop {
        // There is always another that could be in time.
        wait(&mut core, now, of_class(now, 100 + others));
        let events = answer(&mut core, now, running, ms(1));
        let Some(Event::Start { id }) = events.first() else {
            panic!("a start, got {events:?}");
        };
        running = *id;
        assert!(core.dispatch(now, running));
        if running == late {
            break;
        }
        others += 1;
    }
    assert_eq!(others, 3);
}

/// Callers that were refused come back late, more than can be served. They may not fill the gate.
#[test]
fn late_work_may_wait_for_a_third_of_the_slots() {
    let mut now = Instant::now();
    let mut core = gate(6, &mut now);
    for token in 1..=6 {
        start(&mut core, now, of_class(now, token));
    }
    let late = |token| Request {
        late: true,
        ..of_class(now, token)
    };
    wait(&mut core, now, late(11));
    wait(&mut core, now, late(12));
    assert_eq!(cause(&mut core, now, late(13)), Cause::Full);
}

/// Runs of `count` at once, of which those from `knee` on take 1.65 times as long.
fn load(core: &mut Core, now: &mut Instant, count: usize, knee: usize, token: &mut u128) {
    let mut held = Vec::new();
    for among in 1..=count {
        *token += 1;
        if let Verdict::Start(id) = core.offer(*now, of_class(*now, *token)) {
            core.dispatch(*now, id);
            let slow = if among > knee { 165 } else { 100 };
            held.push((id, ms(60 * slow / 100)));
        }
    }
    for (id, work) in held {
        core.worked(*now, id, work);
        core.finish(*now, id, End::Answered { latency: work });
        core.poll(*now);
    }
    *now += ms(100);
}

/// The target takes 1.65 times as long for what it starts beside nine others or more. Eleven at once
/// are 6.7 runs in the time of one, nine are nine: the gate keeps two slots free.
#[test]
fn slots_behind_the_knee_are_kept_free() {
    let mut now = Instant::now();
    let mut core = gate(11, &mut now);
    let mut token = 5_000;
    for _ in 0..60 {
        load(&mut core, &mut now, 11, 9, &mut token);
    }
    assert_eq!(core.report(now).limit, 9);
}

/// A target without a knee keeps all its slots, also after it was slow as a whole for a while.
#[test]
fn a_target_without_knee_keeps_its_slots() {
    let mut now = Instant::now();
    let mut core = gate(11, &mut now);
    let mut token = 5_000;
    for _ in 0..60 {
        load(&mut core, &mut now, 11, 99, &mut token);
    }
    for _ in 0..60 {
        load(&mut core, &mut now, 11, 0, &mut token);
    }
    assert_eq!(core.report(now).limit, 11);
}

/// The target leaves, and another life takes its place with other slots: it gets work again.
#[test]
fn a_new_life_of_the_target_is_served() {
    let mut now = Instant::now();
    let mut core = gate(4, &mut now);
    core.leave(now);
    assert_eq!(cause(&mut core, now, of_class(now, 1)), Cause::Leaving);
    core.target_here(now, 2);
    start(&mut core, now, of_class(now, 2));
    start(&mut core, now, of_class(now, 3));
    wait(&mut core, now, of_class(now, 4));
}

#[tokio::test(start_paused = true)]
async fn turns_of_the_target_are_told() {
    let gate = Gate::builder(4).build();
    let mut mark = gate.mark();
    gate.pace(500);
    assert!(mark.has_changed().expect("the gate lives"));
    assert!(mark.borrow_and_update().slow);
    gate.pace(450);
    assert!(!mark.has_changed().expect("the gate lives"), "still slow");
    gate.target_down();
    assert!(mark.borrow_and_update().closed);
}
