//! Slow spells of the target, goals, late work, and the knee.

use gate::{Builder, Cause, Core, End, Event, Gate, Law, Request, Verdict};
use tokio::time::Instant;
use unit::Token;

use crate::common::{answer, cause, ms, request, start, wait};

const CLASS: u32 = 7;

/// A gate before a target that tells its pace, and knows that work of [`CLASS`] takes 60 ms.
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

/// A request has waited until it can't reach its goal, while others wait that still can. Run before
/// them it makes them late in turn: of 1,000 look-ups in an overload 152 ended late so, and used a
/// quarter of the slots' time. Its caller hears at once that it has not run.
#[test]
fn what_has_become_late_is_refused_while_others_wait() {
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

/// The same where nothing else waits: a late answer is worth a little, and takes a slot from nobody.
#[test]
fn what_has_become_late_is_served_where_nothing_else_waits() {
    let mut now = Instant::now();
    let mut core = gate(1, &mut now);
    let running = start(&mut core, now, of_class(now, 1));
    let tight = wait(&mut core, now, with_goal(now, 2, 130));
    now += ms(100);
    let events = answer(&mut core, now, running, ms(100));
    assert!(events.contains(&Event::Start { id: tight }), "{events:?}");
}

/// Runs of `count` at once, of which those from `knee` on take 1.65 times as long. The callers of what
/// waits leave.
fn load(core: &mut Core, now: &mut Instant, count: usize, knee: usize, token: &mut u128) {
    let mut held = Vec::new();
    let mut waiting = Vec::new();
    for _ in 1..=count {
        *token += 1;
        match core.offer(*now, of_class(*now, *token)) {
            Verdict::Start(id) => held.push(id),
            Verdict::Wait(id) => waiting.push(id),
            Verdict::Refuse(_) => {}
        }
        let begun = core.poll(*now).into_iter();
        held.extend(begun.filter_map(|event| match event {
            Event::Start { id } => Some(id),
            Event::Refuse { .. } => None,
        }));
        core.dispatch(*now, *held.last().expect("one runs"));
    }
    for id in waiting {
        core.cancel(*now, id);
    }
    let slow = |among: usize| if among >= knee { 165 } else { 100 };
    let held: Vec<_> = held.into_iter().enumerate().collect();
    let held = held
        .into_iter()
        .map(|(among, id)| (id, ms(60 * slow(among) / 100)));
    for (id, work) in held {
        core.record_work(*now, id, work);
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
    core.target_ready(now, 2);
    start(&mut core, now, of_class(now, 2));
    start(&mut core, now, of_class(now, 3));
    wait(&mut core, now, of_class(now, 4));
}

#[tokio::test(start_paused = true)]
async fn turns_of_the_target_are_told() {
    let gate = Gate::builder(4).build();
    let mut condition = gate.condition();
    gate.set_pace(500);
    assert!(condition.has_changed().expect("the gate lives"));
    assert!(condition.borrow_and_update().slow);
    gate.set_pace(450);
    assert!(
        !condition.has_changed().expect("the gate lives"),
        "still slow"
    );
    gate.target_down();
    assert!(condition.borrow_and_update().closed);
}

fn with_choice(request: Request) -> Request {
    Request {
        elsewhere: true,
        ..request
    }
}

/// A slow spell is told of while a request has a slot and its connection is made. A run takes its time
/// from its start, five times as long; the request waits for the end of the spell instead, and its slot
/// is free.
#[test]
fn a_spell_told_of_before_the_start_is_waited_out() {
    let mut now = Instant::now();
    let mut core = gate(4, &mut now);
    let Verdict::Start(id) = core.offer(now, of_class(now, 1)) else {
        panic!("a free slot");
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
        panic!("a free slot");
    };
    core.set_pace(now, 500);
    let verdict = core.reconsider(now, tight);
    assert!(matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
}

/// The entry knows of a quick target, and this one is in a spell. Waiting here would cost the request
/// 100 ms, the way there costs 3: it is handed back, before it waits, while it waits, and when it has a
/// slot; also a nested call, which would else start in the spell.
#[test]
fn in_a_spell_work_is_handed_back_for_a_quick_target() {
    let mut now = Instant::now();
    let mut core = gate(1, &mut now);
    let Verdict::Start(running) = core.offer(now, with_choice(of_class(now, 1))) else {
        panic!("a free slot");
    };
    let waiting = wait(&mut core, now, with_choice(with_goal(now, 2, 900)));
    now += ms(5);
    core.set_pace(now, 500);
    let events = core.poll(now);
    let handed = |event: &Event| matches!(event, Event::Refuse { id, .. } if *id == waiting);
    assert!(events.iter().any(handed), "{events:?}");
    let verdict = core.reconsider(now, running);
    assert!(matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
    let nested = Request {
        nested: true,
        ..with_choice(of_class(now, 3))
    };
    assert_eq!(cause(&mut core, now, nested.clone()), Cause::Full);
    // Where no quick one is known it stays: to refuse it would waste the run that waits for it.
    let last = Request {
        token: Token(4),
        elsewhere: false,
        ..nested
    };
    wait(&mut core, now, last);
}

/// The target turns slow some times a second. What it said a moment ago is as good as new, what it
/// said a tenth of a second ago may be over, and a start in a spell costs four runs more: it is asked
/// first. Of a target that never turns slow nothing is asked.
#[test]
fn a_start_on_old_news_wants_the_targets_word() {
    for (turns, wanted) in [(true, true), (false, false)] {
        let mut now = Instant::now();
        let mut core = gate(4, &mut now);
        for _ in 0..50 {
            now += ms(300);
            core.set_pace(now, if turns { 500 } else { 100 });
            now += ms(100);
            core.set_pace(now, 100);
        }
        let Verdict::Start(id) = core.offer(now, of_class(now, 1)) else {
            panic!("a free slot");
        };
        assert!(!core.needs_pace_probe(now + ms(1), id));
        assert_eq!(core.needs_pace_probe(now + ms(100), id), wanted);
    }
}

/// All targets have just started, and work takes twice as long for some seconds. That is no spell to
/// wait out: the targets would be idle when they are needed most, for 600 ms each. A spell on top of it
/// still is one.
#[test]
fn a_cold_target_is_not_in_a_spell() {
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

/// Spells of this target last four times as long as others do. Work that was held back only as long as
/// usual would start in the middle of them, and one spell in five is longer than that.
#[test]
fn how_long_spells_last_is_learnt() {
    for (length, held) in [(600, true), (75, false)] {
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
        assert_eq!(started, !held, "spells of {length} ms");
    }
}
