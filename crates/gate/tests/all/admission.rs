//! Who gets a slot, who waits, and who is refused.

use std::time::Duration;

use gate::{Builder, Cause, Core, End, Event, Id, Law, Request, Verdict};
use tokio::time::Instant;
use unit::Urgency;

use crate::common::{answer, cause, ms, next_events, request, run, start, urgent, wait, warm};

/// A warm core with `slots` slots of 10 ms each, without a law that changes them.
fn fixed(slots: u16, now: &mut Instant) -> Core {
    let mut core = Builder::new(slots)
        .wait(ms(2000))
        .law(Law::Fixed)
        .core(*now);
    warm(&mut core, now, 20, ms(10));
    core
}

fn within(life: Duration, now: Instant, request: Request) -> Request {
    let deadline = now + life;
    Request {
        deadline,
        ..request
    }
}

/// Ends `running` after 10 ms; returns what started.
fn next(core: &mut Core, now: &mut Instant, running: Id) -> Id {
    *now += ms(10);
    let events = answer(core, *now, running, ms(10));
    let [Event::Start { id }] = events[..] else {
        panic!("expected one start, got {events:?}");
    };
    core.dispatch(*now, id);
    id
}

/// A member sends ten times what its neighbours send, all at once. A neighbour's clerk asks
/// after that. In a plain queue the clerk would wait for the whole batch; here its request is
/// the next start, as its member has had nothing yet.
#[test]
fn batch_delays_a_neighbour_by_one_start() {
    let mut now = Instant::now();
    let mut core = fixed(1, &mut now);
    let mut running = start(&mut core, now, request(now, 1, "first"));
    for token in 2..42 {
        let name = format!("desk-{}@batcher", token % 4);
        wait(&mut core, now, request(now, token, &name));
    }
    let clerks: Vec<Id> = (0..4)
        .map(|i| wait(&mut core, now, request(now, 100 + i, "clerk@clinic")))
        .collect();
    let mut starts = Vec::new();
    for _ in 0..9 {
        running = next(&mut core, &mut now, running);
        starts.push(running);
    }
    for (at, clerk) in clerks.iter().enumerate() {
        let place = starts.iter().position(|id| id == clerk);
        assert!(place.is_some_and(|place| place <= 2 * at + 1), "{place:?}");
    }
}

/// A member of weight 3 and one of weight 1 both have much to do. Starts go three to one, and
/// the two callers of the first take turns though one of them asked for everything first.
#[test]
fn weights_share_and_callers_take_turns() {
    let mut now = Instant::now();
    let mut core = fixed(1, &mut now);
    let mut running = start(&mut core, now, request(now, 1, "first"));
    let mut ids = [Vec::new(), Vec::new(), Vec::new()];
    let names = ["bulk@big", "clerk@big", "desk@small"];
    for (place, name) in names.into_iter().enumerate() {
        for i in 0..12 {
            let token = 100 * (place as u128 + 1) + i;
            let weight = if name.ends_with("big") { 3 } else { 1 };
            let ask = Request {
                weight,
                ..request(now, token, name)
            };
            ids[place].push(wait(&mut core, now, ask));
        }
    }
    let mut counts = [0, 0, 0];
    for _ in 0..16 {
        running = next(&mut core, &mut now, running);
        let place = ids.iter().position(|ids| ids.contains(&running));
        counts[place.expect("it waited")] += 1;
    }
    assert_eq!(counts, [6, 6, 4]);
}

/// A member's batch has filled the queue. A quiet neighbour asks; refused as "full", it would
/// suffer for the batch. The newest request of the batch makes room instead, and is told that it
/// has not run. The batcher itself finds the queue full.
#[test]
fn full_queue_drops_from_the_longest() {
    let mut now = Instant::now();
    let mut core = Builder::new(1).queue(5).core(now);
    warm(&mut core, &mut now, 20, ms(1));
    start(&mut core, now, request(now, 1, "first"));
    let batch: Vec<Id> = (2..7)
        .map(|token| wait(&mut core, now, request(now, token, "bulk@batcher")))
        .collect();
    assert_eq!(
        cause(&mut core, now, request(now, 8, "x@batcher")),
        Cause::Full
    );
    wait(&mut core, now, request(now, 9, "clerk@clinic"));
    let events = core.poll(now);
    let [Event::Refuse { id, refusal }] = &events[..] else {
        panic!("expected one refusal, got {events:?}");
    };
    assert_eq!(*id, batch[4]);
    assert_eq!(refusal.cause(), Cause::Full);
    assert!(refusal.retry_after() > ms(0));
}

/// Routine work has taken what slots it may. An urgent call comes: with all slots taken it would
/// wait for a routine run to end. One slot of ten is kept while urgent calls come now and then,
/// and given back a second after the last one.
#[test]
fn urgent_finds_reserved_room() {
    let mut now = Instant::now();
    let mut core = fixed(10, &mut now);
    let court = start(&mut core, now, urgent(now, 1, "clerk@court"));
    answer(&mut core, now, court, ms(10));
    for token in 2..11 {
        start(&mut core, now, request(now, token, "bulk@batcher"));
    }
    wait(&mut core, now, request(now, 11, "bulk@batcher"));
    start(&mut core, now, urgent(now, 12, "clerk@court"));
    let mut idle = fixed(10, &mut now);
    for token in 20..30 {
        start(&mut idle, now, request(now, token, "bulk@batcher"));
    }
}

/// Routine work never ends, and a batch request waits behind it. By strict precedence it would
/// wait for ever; one start in sixteen goes to the urgency that was passed over.
#[test]
fn batch_work_is_not_starved() {
    let mut now = Instant::now();
    let mut core = fixed(1, &mut now);
    let mut running = start(&mut core, now, request(now, 1, "first"));
    let batch = Request {
        urgency: Urgency::Batch,
        ..request(now, 2, "bulk@batcher")
    };
    let batch = wait(&mut core, now, batch);
    for token in 10..40 {
        wait(&mut core, now, request(now, token, "desk@clinic"));
    }
    for order in 1..=16 {
        running = next(&mut core, &mut now, running);
        assert_eq!(running == batch, order == 16, "start {order}");
    }
}

/// Ten requests of 10 ms wait at one slot, and another with 60 ms to live asks. Queued, it would
/// be told at its deadline, too late to ask elsewhere; it is refused at once with the time to
/// come back. With 500 ms to live it waits.
#[test]
fn hopeless_wait_is_refused_at_once() {
    let mut now = Instant::now();
    let mut core = fixed(1, &mut now);
    start(&mut core, now, request(now, 1, "first"));
    for token in 2..12 {
        wait(&mut core, now, request(now, token, "desk@clinic"));
    }
    let short = within(ms(60), now, request(now, 20, "desk@clinic"));
    let Verdict::Refuse(refusal) = core.offer(now, short) else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.cause(), Cause::Deadline);
    assert!(refusal.retry_after() >= ms(50) && refusal.retry_after() <= ms(200));
    wait(&mut core, now, request(now, 21, "desk@clinic"));
}

/// A request waits with 100 ms to live, and the run before it hangs. It is refused as soon as
/// what is left is less than a run takes, not at its deadline: its caller can still go elsewhere.
#[test]
fn waiting_request_is_given_up_before_its_deadline() {
    let mut now = Instant::now();
    let mut core = fixed(1, &mut now);
    start(&mut core, now, request(now, 1, "first"));
    let deadline = now + ms(100);
    let short = within(ms(100), now, request(now, 2, "desk@clinic"));
    let id = wait(&mut core, now, short);
    let events = next_events(&mut core, &mut now);
    assert!(matches!(&events[..], [Event::Refuse { id: other, refusal }]
        if *other == id && refusal.cause() == Cause::Deadline));
    assert!(now <= deadline - ms(10) && now >= deadline - ms(30));
}

/// The target slows down so far that no request can meet its deadline by the estimate. If all
/// were refused, no answer could ever correct it and the gate would stay shut after the target
/// is well. An idle target is always tried.
#[test]
fn estimate_can_not_shut_the_gate_for_ever() {
    let mut now = Instant::now();
    let mut core = fixed(1, &mut now);
    warm(&mut core, &mut now, 1, ms(800));
    for token in 1..60 {
        let short = within(ms(30), now, request(now, token, "desk@clinic"));
        run(&mut core, &mut now, short, ms(10));
    }
    assert!(core.report(now).service_us < 12_000);
}

/// The target answers 503 with a long `Retry-After`. Starts pause for a second at most, those
/// that can't wait so long are told "shed" at once, and the limit is lower afterwards.
#[test]
fn shedding_pauses_and_shrinks() {
    let mut now = Instant::now();
    let mut core = Builder::new(8).wait(ms(2000)).core(now);
    warm(&mut core, &mut now, 20, ms(10));
    let before = core.report(now).limit;
    let id = start(&mut core, now, request(now, 1, "desk@clinic"));
    let retry_after = Some(ms(30_000));
    core.finish(now, id, End::Shed { retry_after });
    assert!(core.report(now).limit <= before / 2 && core.report(now).hot);
    assert_eq!(
        cause(&mut core, now, request(now, 2, "desk@clinic")),
        Cause::Shed
    );
    let patient = within(ms(3000), now, request(now, 3, "desk@clinic"));
    let id = wait(&mut core, now, patient);
    assert_eq!(core.next_timer(now), Some(now + ms(1000)));
    now += ms(1000);
    assert_eq!(core.poll(now), [Event::Start { id }]);
}

/// The target's connection is gone. Requests that wait for it would wait in vain; they and new
/// ones are refused at once. When it is back it is cold: it gets a quarter of its slots, and
/// more with each answer.
#[test]
fn target_down_refuses_and_comes_back_slowly() {
    let mut now = Instant::now();
    let mut core = Builder::new(8).core(now);
    warm(&mut core, &mut now, 20, ms(10));
    let held: Vec<Id> = (0..8)
        .map(|i| start(&mut core, now, request(now, i, "desk@clinic")))
        .collect();
    wait(&mut core, now, request(now, 10, "desk@clinic"));
    core.target_down(now);
    assert!(
        matches!(&core.poll(now)[..], [Event::Refuse { refusal, .. }]
        if refusal.cause() == Cause::Down && refusal.retry_after() > ms(0))
    );
    assert_eq!(
        cause(&mut core, now, request(now, 11, "desk@clinic")),
        Cause::Down
    );
    for id in held {
        core.finish(now, id, End::Crashed);
    }
    core.target_up(now);
    assert_eq!(core.report(now).limit, 2);
    warm(&mut core, &mut now, 6, ms(10));
    assert_eq!(core.report(now).limit, 8);
}

/// An export of 30 s runs beside short look-ups. Held for a stuck target, it would close the
/// gate to them; they go on.
#[test]
fn long_run_does_not_close_the_gate() {
    let mut now = Instant::now();
    let mut core = Builder::new(10).core(now);
    warm(&mut core, &mut now, 100, ms(10));
    start(&mut core, now, request(now, 1, "export@archive"));
    now += ms(20_000);
    core.poll(now);
    assert_eq!(core.report(now).limit, 10);
    for token in 2..20 {
        let short = within(ms(50), now, request(now, token, "desk@clinic"));
        run(&mut core, &mut now, short, ms(10));
    }
}

/// The target was slow ten times over and its limit is down to one slot, which a run from the bad
/// time still holds. The target is well again, but nothing can tell as long as the run hangs. A
/// probe starts beside it after eight usual service times; its quick answer lets the next start.
#[test]
fn probe_passes_a_hung_run() {
    let mut now = Instant::now();
    let mut core = Builder::new(4).core(now);
    warm(&mut core, &mut now, 100, ms(10));
    warm(&mut core, &mut now, 20, ms(100));
    start(&mut core, now, request(now, 1, "desk@clinic"));
    assert_eq!(core.report(now).limit, 1);
    let probe = wait(&mut core, now, request(now, 30, "desk@clinic"));
    let second = wait(&mut core, now, request(now, 31, "desk@clinic"));
    let begin = now;
    let started = Event::Start { id: probe };
    assert_eq!(next_events(&mut core, &mut now), [started]);
    assert_eq!(now - begin, ms(80));
    core.dispatch(now, probe);
    now += ms(10);
    assert_eq!(
        answer(&mut core, now, probe, ms(10)),
        [Event::Start { id: second }]
    );
}

/// Urgent calls were slow for a while, and now each has less to live than they took. They are
/// refused while that is fresh; but routine work keeps the target busy, so it is never idle, and
/// no urgent answer could ever correct the estimate. After a second it counts no more.
#[test]
fn old_estimate_refuses_nothing() {
    let mut now = Instant::now();
    let mut core = fixed(4, &mut now);
    for token in 0..20 {
        let slow = urgent(now, token, "clerk@court");
        run(&mut core, &mut now, slow, ms(100));
    }
    start(&mut core, now, request(now, 50, "desk@clinic"));
    let short = |now, token| within(ms(60), now, urgent(now, token, "clerk@court"));
    assert_eq!(cause(&mut core, now, short(now, 60)), Cause::Deadline);
    now += ms(1000);
    start(&mut core, now, short(now, 61));
}

/// The target answers in no time, and sheds now and then. Measured against a usual time of
/// nothing, each start would pass for a probe that is due, over any limit.
#[test]
fn instant_answers_keep_the_limit() {
    let mut now = Instant::now();
    let mut core = Builder::new(2).core(now);
    warm(&mut core, &mut now, 100, ms(0));
    let [shed, _] = [1, 2].map(|token| start(&mut core, now, request(now, token, "desk@clinic")));
    core.finish(
        now,
        shed,
        End::Shed {
            retry_after: Some(ms(0)),
        },
    );
    assert_eq!(core.report(now).limit, 1);
    wait(&mut core, now, request(now, 3, "desk@clinic"));
}

/// Three requests hold what the limit lets run, and each waits for a call that it made. Were these
/// queued behind them, all six would end at their deadlines; they start in the slots beyond the
/// limit, while a newcomer waits.
#[test]
fn nested_calls_do_not_wait_behind_those_that_wait_for_them() {
    let mut now = Instant::now();
    let mut core = Builder::new(10).core(now);
    core.target_down(now);
    core.target_up(now);
    let limit = core.report(now).limit;
    assert!(limit < 10, "a target that came up is cold: {limit}");
    let mut token = 0;
    let mut held = 0;
    while matches!(
        core.offer(now, request(now, token, "desk@clinic")),
        Verdict::Start(_)
    ) {
        token += 1;
        held += 1;
    }
    assert!(held <= u128::from(limit));
    for _ in held..10 {
        token += 1;
        let nested = Request {
            nested: true,
            ..request(now, token, "desk@clinic")
        };
        start(&mut core, now, nested);
    }
    let late = Request {
        nested: true,
        ..request(now, 99, "desk@clinic")
    };
    assert!(
        !matches!(core.offer(now, late), Verdict::Start(_)),
        "no slot is left"
    );
    now += ms(1);
    assert_eq!(core.report(now).running, 10);
}

#[test]
fn a_nested_call_is_expected_to_start_next() {
    // A run at another target waits for a call with 180 ms left. Here all six slots are taken for 100 ms
    // each and six requests wait; the call starts before them. Told that it would wait behind them it was
    // refused, at four gates in a row, and the run that waited for it failed.
    let mut now = Instant::now();
    let builder = Builder::new(6).law(gate::Law::Knee).reserve(0.0);
    let mut core = builder.isolate_suspects(false).core(now);
    warm(&mut core, &mut now, 80, ms(100));
    let running: Vec<_> = (0..6)
        .map(|token| start(&mut core, now, request(now, token, "desk")))
        .collect();
    for token in 10..16 {
        wait(&mut core, now, request(now, token, "desk"));
    }
    let call = gate::Request {
        nested: true,
        deadline: now + ms(180),
        ..request(now, 20, "desk")
    };
    let call = wait(&mut core, now, call);
    now += ms(20);
    let events = answer(&mut core, now, running[0], ms(100));
    assert_eq!(events, [gate::Event::Start { id: call }]);
}
