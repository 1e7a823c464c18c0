//! Requests that crash targets are detected, isolated and refused; bystanders are cleared.

use gate::{Builder, Cause, Core, End, Event, Id, Request, Verdict};
use tokio::time::Instant;
use unit::Digest;

use crate::common::{answer, cause, ms, next_events, request, start, suspicion, wait, warm};

const KILLER: Digest = Digest(0xdead);
const INNOCENT: Digest = Digest(0xbeef);

fn of_kind(kind: Digest, request: Request) -> Request {
    Request { kind, ..request }
}

/// A warm core whose target crashed while it ran a killer and an innocent request.
fn crashed(now: &mut Instant) -> Core {
    let mut core = Builder::new(4).wait(ms(2000)).core(*now);
    warm(&mut core, now, 20, ms(10));
    let both = [KILLER, INNOCENT].map(|kind| {
        let token = kind.0 + 0x10_0000;
        let request = of_kind(kind, request(*now, token, "desk@clinic"));
        start(&mut core, *now, request)
    });
    core.target_down(*now);
    for id in both {
        core.finish(*now, id, End::Crashed);
    }
    core.target_up(*now);
    warm(&mut core, now, 8, ms(9));
    core
}

/// A request crashes the target, and its caller sends it again. Beside other requests it would make
/// them fail once more, so it waits until nothing runs, and nothing starts beside it. It crashes
/// the target while it runs alone. After that it is refused for a limited time.
#[test]
fn killer_runs_in_isolation_and_is_convicted() {
    let mut now = Instant::now();
    let mut core = crashed(&mut now);
    let other = start(&mut core, now, request(now, 1, "desk@clinic"));
    let killer = wait(&mut core, now, of_kind(KILLER, request(now, 2, "bad@yard")));
    let late = wait(&mut core, now, request(now, 3, "desk@clinic"));
    assert_eq!(
        answer(&mut core, now, other, ms(10)),
        [Event::Start { id: killer }]
    );
    core.dispatch(now, killer);
    core.finish(now, killer, End::Crashed);
    assert_eq!(core.poll(now), [Event::Start { id: late }]);
    let Verdict::Refuse(refusal) = core.offer(now, of_kind(KILLER, request(now, 4, "bad@yard")))
    else {
        panic!("a convicted request was admitted");
    };
    assert_eq!(refusal.cause(), Cause::Suspect);
    assert_eq!(refusal.retry_after(), ms(600_000));
    answer(&mut core, now, late, ms(10));
    now += ms(600_000);
    core.poll(now);
    assert!(!core.suspects(now)[0].convicted);
    start(&mut core, now, of_kind(KILLER, request(now, 5, "bad@yard")));
}

/// An innocent request ran beside the killer and is a suspect too. Once its next run is answered it
/// is cleared and runs beside others again, and waiting requests of its kind return from quarantine
/// to the queue.
#[test]
fn bystander_is_cleared_by_an_answer() {
    let mut now = Instant::now();
    let mut core = crashed(&mut now);
    let isolated = start(
        &mut core,
        now,
        of_kind(INNOCENT, request(now, 1, "desk@clinic")),
    );
    let copies = [2, 3].map(|token| {
        let copy = of_kind(INNOCENT, request(now, token, "desk@clinic"));
        wait(&mut core, now, copy)
    });
    let events = answer(&mut core, now, isolated, ms(10));
    assert_eq!(events, copies.map(|id| Event::Start { id }));
    assert_eq!(core.suspects(now).len(), 1);
}

/// Three copies of an innocent request were running when the target crashed. If each copy counted
/// as a crash, a single crash would convict the request. It must only become a suspect.
#[test]
fn copies_in_one_crash_count_once() {
    let mut now = Instant::now();
    let mut core = Builder::new(4).core(now);
    warm(&mut core, &mut now, 20, ms(10));
    let copies = [1, 2, 3].map(|token| {
        let copy = of_kind(INNOCENT, request(now, token, "desk@clinic"));
        start(&mut core, now, copy)
    });
    for id in copies {
        core.finish(now, id, End::Crashed);
    }
    let known = core.suspects(now);
    assert_eq!((known[0].crashes, known[0].convicted), (1, false));
}

/// Copies of the killer wait in the queue when the first one crashes the target. If they started
/// from the queue beside others, each would crash it again. The next copy runs in isolation and
/// crashes the target too; the rest are then refused at once.
#[test]
fn queued_copies_are_isolated() {
    let mut now = Instant::now();
    let mut core = Builder::new(2).core(now);
    warm(&mut core, &mut now, 20, ms(10));
    let first = start(&mut core, now, of_kind(KILLER, request(now, 1, "bad@yard")));
    let other = start(&mut core, now, request(now, 2, "clerk@court"));
    let copies: Vec<Id> = (3..11)
        .map(|token| {
            wait(
                &mut core,
                now,
                of_kind(KILLER, request(now, token, "bad@yard")),
            )
        })
        .collect();
    let clerk = wait(&mut core, now, request(now, 20, "clerk@court"));
    core.finish(now, first, End::Crashed);
    assert_eq!(core.poll(now), []);
    let isolated = Event::Start { id: copies[0] };
    assert_eq!(answer(&mut core, now, other, ms(10)), [isolated]);
    core.dispatch(now, copies[0]);
    core.finish(now, copies[0], End::Crashed);
    let events = core.poll(now);
    let refused = events.iter().filter_map(|event| match event {
        Event::Refuse { id, refusal } if refusal.cause() == Cause::Suspect => Some(*id),
        _ => None,
    });
    assert!(refused.eq(copies[1..].iter().copied()));
    assert_eq!(events.last(), Some(&Event::Start { id: clerk }));
}

/// A caller floods the gate with suspects that are never cleared. Each of them needs all of the
/// target. At most four wait and the rest are refused, and between two suspects the other requests
/// have the target for three times as long as a suspect had it.
#[test]
fn suspects_do_not_block_the_target() {
    let mut now = Instant::now();
    let mut core = crashed(&mut now);
    let mut running = Vec::new();
    let mut ticks_of_suspects = 0;
    for tick in 0..200 {
        for place in 0..8 {
            let token = 1000 + tick * 8 + place;
            let kind = [KILLER, Digest(token)][usize::from(place < 4)];
            let offer = of_kind(kind, request(now, token, "desk@clinic"));
            match core.offer(now, offer) {
                Verdict::Start(id) => running.push(id),
                Verdict::Wait(_) => {}
                Verdict::Refuse(refusal) => assert_ne!(refusal.cause(), Cause::Full),
            }
            assert!(core.dump(now).quarantine <= 4);
        }
        // Enough other requests wait to fill all slots, so a single running request is a suspect.
        ticks_of_suspects += usize::from(running.len() == 1);
        now += ms(10);
        for id in std::mem::take(&mut running) {
            core.dispatch(now, id);
            core.finish(now, id, End::Failed { latency: ms(10) });
        }
        for event in core.poll(now) {
            if let Event::Start { id } = event {
                running.push(id);
            }
        }
    }
    assert!(
        (10..=50).contains(&ticks_of_suspects),
        "{ticks_of_suspects}"
    );
}

/// A suspect waits for a long run to end so that it can run in isolation. If nothing else could
/// start until then, one long export would close the gate. The drain is abandoned after a limited
/// time, and the suspect is refused.
#[test]
fn drain_for_a_suspect_is_bounded() {
    let mut now = Instant::now();
    let mut core = crashed(&mut now);
    start(&mut core, now, request(now, 1, "export@archive"));
    let suspect = wait(&mut core, now, of_kind(KILLER, request(now, 2, "bad@yard")));
    let clerk = wait(&mut core, now, request(now, 3, "clerk@court"));
    let begin = now;
    let events = next_events(&mut core, &mut now);
    assert!(now - begin <= ms(250));
    let [Event::Refuse { id, refusal }, Event::Start { id: next }] = &events[..] else {
        panic!("expected a refusal and a start, got {events:?}");
    };
    assert_eq!((*id, refusal.cause()), (suspect, Cause::Suspect));
    assert_eq!(*next, clerk);
}

/// A request that another gate reports as a suspect is a suspect here too. One that it reports as
/// convicted is refused here; otherwise every target of the fleet would have to crash once. A
/// suspicion that the other gate has itself learnt is ignored, because two gates would otherwise
/// keep renewing it for ever.
#[test]
fn suspicion_is_learnt_from_other_gates() {
    let now = Instant::now();
    let mut core = Builder::new(4).core(now);
    core.learn(now, &suspicion(1, false, false));
    core.learn(now, &suspicion(2, true, false));
    core.learn(now, &suspicion(3, true, true));
    let known = core.suspects(now);
    assert_eq!(known.len(), 2);
    assert!(known.iter().all(|suspicion| suspicion.learnt));
    start(&mut core, now, request(now, 10, "desk@clinic"));
    wait(
        &mut core,
        now,
        of_kind(Digest(1), request(now, 11, "desk@clinic")),
    );
    let convicted = of_kind(Digest(2), request(now, 12, "desk@clinic"));
    assert_eq!(cause(&mut core, now, convicted), Cause::Suspect);
}
