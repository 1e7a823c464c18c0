//! Which requests get a slot, which wait, and which are refused.

use std::time::Duration;

use gate::{Builder, Cause, Core, End, Event, Id, Law, Request, Verdict};
use tokio::time::Instant;
use unit::Urgency;

use crate::common::{answer, cause, ms, next_events, request, run, start, urgent, wait, warm};

/// A warm core with a service time of 10 ms and a limit that stays at `slots`.
fn fixed(slots: u16, now: &mut Instant) -> Core {
    let mut core = Builder::new(slots)
        .wait(ms(2000))
        .law(Law::Fixed)
        .core(*now);
    warm(&mut core, now, 20, ms(10));
    core
}

fn with_timeout(timeout: Duration, now: Instant, request: Request) -> Request {
    let deadline = now + timeout;
    Request {
        deadline,
        ..request
    }
}

/// Ends `running` after 10 ms and returns the one request that starts then.
fn start_next(core: &mut Core, now: &mut Instant, running: Id) -> Id {
    *now += ms(10);
    let events = answer(core, *now, running, ms(10));
    let [Event::Start { id }] = events[..] else {
        panic!("expected one start, got {events:?}");
    };
    core.dispatch(*now, id);
    id
}

/// A member sends ten times as many requests as its neighbours, all at once, and a neighbour's
/// caller sends its own after that. In a FIFO queue the caller would wait for the whole batch. Its
/// member has had no start yet, so its first request must wait for at most one of the batch, and
/// the starts must then alternate.
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
        running = start_next(&mut core, &mut now, running);
        starts.push(running);
    }
    for (at, clerk) in clerks.iter().enumerate() {
        let place = starts.iter().position(|id| id == clerk);
        assert!(place.is_some_and(|place| place <= 2 * at + 1), "{place:?}");
    }
}

/// A member of weight 3 and one of weight 1 both have many requests waiting. Starts are shared
/// three to one, and the two callers of the first member alternate although one of them sent all
/// its requests before the other.
#[test]
fn starts_follow_weights_and_callers_alternate() {
    let mut now = Instant::now();
    let mut core = fixed(1, &mut now);
    let mut running = start(&mut core, now, request(now, 1, "first"));
    let mut ids = [Vec::new(), Vec::new(), Vec::new()];
    let names = ["bulk@big", "clerk@big", "desk@small"];
    for (place, name) in names.into_iter().enumerate() {
        for i in 0..12 {
            let token = 100 * (place as u128 + 1) + i;
            let weight = if name.ends_with("big") { 3 } else { 1 };
            let request = Request {
                weight,
                ..request(now, token, name)
            };
            ids[place].push(wait(&mut core, now, request));
        }
    }
    let mut counts = [0, 0, 0];
    for _ in 0..16 {
        running = start_next(&mut core, &mut now, running);
        let place = ids.iter().position(|ids| ids.contains(&running));
        counts[place.expect("it waited")] += 1;
    }
    assert_eq!(counts, [6, 6, 4]);
}

/// A member's batch has filled the queue, and a neighbour with nothing in it sends a request.
/// Refusing that request would make the neighbour pay for the batch. The newest request of the
/// batch is evicted instead, as not run. Further requests of the batch's member are refused.
#[test]
fn full_queue_evicts_from_the_largest_share() {
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

/// Routine requests hold all slots that they may use when an urgent request arrives. If they held
/// every slot, it would wait for a routine run to end. One slot of ten is therefore reserved while
/// urgent requests arrive now and then, and released one second after the last one.
#[test]
fn urgent_request_starts_in_the_reserved_slot() {
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

/// A batch request waits while routine requests never run out. With strict priorities it would
/// wait for ever. One start in sixteen goes to the urgency that was passed over.
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
        running = start_next(&mut core, &mut now, running);
        assert_eq!(running == batch, order == 16, "start {order}");
    }
}

/// Ten requests of 10 ms wait for one slot when a request arrives that is due in 60 ms. If it were
/// queued, its caller would learn at the deadline that it did not run, too late to try another
/// target. It is refused at once, with a retry delay. A request that is due in a second waits.
#[test]
fn wait_beyond_the_deadline_is_refused_at_once() {
    let mut now = Instant::now();
    let mut core = fixed(1, &mut now);
    start(&mut core, now, request(now, 1, "first"));
    for token in 2..12 {
        wait(&mut core, now, request(now, token, "desk@clinic"));
    }
    let short = with_timeout(ms(60), now, request(now, 20, "desk@clinic"));
    let Verdict::Refuse(refusal) = core.offer(now, short) else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.cause(), Cause::Deadline);
    assert!(refusal.retry_after() >= ms(50) && refusal.retry_after() <= ms(200));
    wait(&mut core, now, request(now, 21, "desk@clinic"));
}

/// A request that is due in 100 ms waits behind a run that hangs. It is refused as soon as the time
/// left is shorter than a run, not at its deadline, so that its caller can still try another
/// target.
#[test]
fn waiting_request_is_refused_before_its_deadline() {
    let mut now = Instant::now();
    let mut core = fixed(1, &mut now);
    start(&mut core, now, request(now, 1, "first"));
    let deadline = now + ms(100);
    let short = with_timeout(ms(100), now, request(now, 2, "desk@clinic"));
    let id = wait(&mut core, now, short);
    let events = next_events(&mut core, &mut now);
    assert!(matches!(&events[..], [Event::Refuse { id: other, refusal }]
        if *other == id && refusal.cause() == Cause::Deadline));
    assert!(now <= deadline - ms(10) && now >= deadline - ms(30));
}

/// The target slows down until, by the estimated run time, no request can meet its deadline. If all
/// requests were refused, no answer could correct the estimate, and the gate would stay closed
/// after the target has recovered. A request to an idle target therefore always starts.
#[test]
fn high_estimate_does_not_close_the_gate_for_ever() {
    let mut now = Instant::now();
    let mut core = fixed(1, &mut now);
    warm(&mut core, &mut now, 1, ms(800));
    for token in 1..60 {
        let short = with_timeout(ms(30), now, request(now, token, "desk@clinic"));
        run(&mut core, &mut now, short, ms(10));
    }
    assert!(core.report(now).service_us < 12_000);
}

/// The target answers 503 with a long `Retry-After`. Starts pause for at most one second, requests
/// that can't wait that long are refused at once with the cause `Shed`, and the limit is lowered.
#[test]
fn shedding_pauses_starts_and_lowers_the_limit() {
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
    let patient = with_timeout(ms(3000), now, request(now, 3, "desk@clinic"));
    let id = wait(&mut core, now, patient);
    assert_eq!(core.next_timer(now), Some(now + ms(1000)));
    now += ms(1000);
    assert_eq!(core.poll(now), [Event::Start { id }]);
}

/// The connection to the target is lost. Waiting and new requests are refused at once, because
/// they could only wait until their deadlines. After the target has reconnected it is cold: its
/// limit is a quarter of its slots and grows with each answer.
#[test]
fn target_down_refuses_and_recovers_gradually() {
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

/// An export of 30 s runs beside short look-ups. If the gate took it for a sign that the target has
/// stalled, it would lower the limit and refuse the look-ups. They must still start.
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
        let short = with_timeout(ms(50), now, request(now, token, "desk@clinic"));
        run(&mut core, &mut now, short, ms(10));
    }
}

/// The target was ten times as slow as usual, and its limit is down to one slot, which a run from
/// that time still holds. The target has recovered, but no answer can show it while the run hangs.
/// A probe starts beside it after eight usual service times; its quick answer lets the next start.
#[test]
fn probe_starts_beside_a_hung_run() {
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

/// Urgent requests were slow for a while, and new ones are due sooner than those took. They are
/// refused while the estimate is recent. Routine requests keep the target from being idle, so no
/// urgent answer could ever correct the estimate. It is therefore ignored after one second.
#[test]
fn stale_estimate_refuses_nothing() {
    let mut now = Instant::now();
    let mut core = fixed(4, &mut now);
    for token in 0..20 {
        let slow = urgent(now, token, "clerk@court");
        run(&mut core, &mut now, slow, ms(100));
    }
    start(&mut core, now, request(now, 50, "desk@clinic"));
    let short = |now, token| with_timeout(ms(60), now, urgent(now, token, "clerk@court"));
    assert_eq!(cause(&mut core, now, short(now, 60)), Cause::Deadline);
    now += ms(1000);
    start(&mut core, now, short(now, 61));
}

/// The target answers in 0 ms and sheds now and then. Relative to a usual time of 0 ms, a probe
/// would always be due, and each request would start as one, beyond any limit.
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

/// The running requests use up the limit, and each waits for a nested call. If the nested calls were
/// queued behind them, all would end at their deadlines; with a limit of three, all six. Nested
/// calls start in the slots beyond the limit until every slot is taken, while a request that is not
/// nested has to wait.
#[test]
fn nested_calls_do_not_wait_behind_their_parents() {
    let mut now = Instant::now();
    let mut core = Builder::new(10).core(now);
    core.target_down(now);
    core.target_up(now);
    let limit = core.report(now).limit;
    assert!(
        limit < 10,
        "the target is not cold after it came up: limit {limit}"
    );
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
    let extra = Request {
        nested: true,
        ..request(now, 99, "desk@clinic")
    };
    assert!(
        !matches!(core.offer(now, extra), Verdict::Start(_)),
        "a nested call started although no slot was free"
    );
    now += ms(1);
    assert_eq!(core.report(now).running, 10);
}

/// A run at another target waits for a nested call that is due in 180 ms. All six slots here are
/// taken for 100 ms each, and six requests wait. The nested call starts before those six. A
/// forecast that put it behind them made four gates in a row refuse it, and the run that waited for
/// it failed.
#[test]
fn nested_call_is_forecast_to_start_next() {
    let mut now = Instant::now();
    let builder = Builder::new(6).law(gate::Law::Fixed).reserve(0.0);
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

#[test]
fn a_bulk_answer_that_the_link_cannot_deliver_is_refused_before_its_run() {
    // The target is idle and its machine's link is not: the run would be work for nothing.
    let now = Instant::now();
    let mut core = Builder::new(9).core(now);
    let bulk = |token, delivery| Request {
        bulk: true,
        delivery: Some(ms(delivery)),
        ..request(now, token, "w-1")
    };
    start(&mut core, now, bulk(1, 900));
    match core.offer(now, bulk(2, 1_100)) {
        Verdict::Refuse(refusal) => {
            assert_eq!(refusal.cause(), Cause::Full);
            assert!(refusal.retry_after() >= ms(1_100));
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
}
