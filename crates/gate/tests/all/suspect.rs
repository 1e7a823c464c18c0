//! Requests that crash targets are found, kept apart and refused; bystanders are cleared.

use gate::{Builder, Cause, Core, End, Event, Id, Request, Verdict};
use tokio::time::Instant;
use unit::Digest;

use crate::common::{answer, cause, ms, next_events, request, start, suspicion, wait, warm};

const KILLER: Digest = Digest(0xdead);
const INNOCENT: Digest = Digest(0xbeef);

fn of(kind: Digest, request: Request) -> Request {
    Request { kind, ..request }
}

/// A warm core whose target has crashed under a killer and an innocent request.
fn crashed(now: &mut Instant) -> Core {
    let mut core = Builder::new(4).wait(ms(2000)).core(*now);
    warm(&mut core, now, 20, ms(10));
    let both = [KILLER, INNOCENT].map(|kind| {
        let token = kind.0 + 0x10_0000;
        let asked = of(kind, request(*now, token, "desk@clinic"));
        start(&mut core, *now, asked)
    });
    core.target_down(*now);
    for id in both {
        core.finish(*now, id, End::Crashed);
    }
    core.target_up(*now);
    warm(&mut core, now, 8, ms(9));
    core
}

/// A request crashes the target, and its caller sends it again. Beside others it would take them
/// along once more; it waits until nothing runs, and nothing starts beside it. It crashes the
/// target alone: from now on it is refused, for a bounded time.
#[test]
fn killer_runs_alone_and_is_convicted() {
    let mut now = Instant::now();
    let mut core = crashed(&mut now);
    let other = start(&mut core, now, request(now, 1, "desk@clinic"));
    let killer = wait(&mut core, now, of(KILLER, request(now, 2, "bad@yard")));
    let late = wait(&mut core, now, request(now, 3, "desk@clinic"));
    assert_eq!(
        answer(&mut core, now, other, ms(10)),
        [Event::Start { id: killer }]
    );
    core.dispatch(now, killer);
    core.finish(now, killer, End::Crashed);
    assert_eq!(core.poll(now), [Event::Start { id: late }]);
    let Verdict::Refuse(refusal) = core.offer(now, of(KILLER, request(now, 4, "bad@yard"))) else {
        panic!("a convicted request was let in");
    };
    assert_eq!(refusal.cause(), Cause::Suspect);
    assert_eq!(refusal.retry_after(), ms(600_000));
    answer(&mut core, now, late, ms(10));
    now += ms(600_000);
    core.poll(now);
    assert!(!core.suspects(now)[0].convicted);
    start(&mut core, now, of(KILLER, request(now, 5, "bad@yard")));
}

/// An innocent request ran beside the killer and is a suspect too. Its next run is answered: it
/// is cleared, and runs beside others again; those of its kind that waited to run alone go back
/// to the queue.
#[test]
fn bystander_is_cleared_by_an_answer() {
    let mut now = Instant::now();
    let mut core = crashed(&mut now);
    let alone = start(&mut core, now, of(INNOCENT, request(now, 1, "desk@clinic")));
    let copies = [2, 3].map(|token| {
        let copy = of(INNOCENT, request(now, token, "desk@clinic"));
        wait(&mut core, now, copy)
    });
    let events = answer(&mut core, now, alone, ms(10));
    assert_eq!(events, copies.map(|id| Event::Start { id }));
    assert_eq!(core.suspects(now).len(), 1);
}

/// Three copies of an innocent request ran side by side when the target crashed. Counted once
/// each, they would convict it for a single crash; it is a suspect like the others.
#[test]
fn copies_in_one_crash_count_once() {
    let mut now = Instant::now();
    let mut core = Builder::new(4).core(now);
    warm(&mut core, &mut now, 20, ms(10));
    let copies = [1, 2, 3].map(|token| {
        let copy = of(INNOCENT, request(now, token, "desk@clinic"));
        start(&mut core, now, copy)
    });
    for id in copies {
        core.finish(now, id, End::Crashed);
    }
    let known = core.suspects(now);
    assert_eq!((known[0].crashes, known[0].convicted), (1, false));
}

/// Copies of the killer wait in the queue when the first of them crashes the target. Started
/// from there beside others, each would crash it again. The next runs alone; it crashes the
/// target too, and the rest is refused at once.
#[test]
fn copies_in_the_queue_are_kept_apart() {
    let mut now = Instant::now();
    let mut core = Builder::new(2).core(now);
    warm(&mut core, &mut now, 20, ms(10));
    let first = start(&mut core, now, of(KILLER, request(now, 1, "bad@yard")));
    let other = start(&mut core, now, request(now, 2, "clerk@court"));
    let copies: Vec<Id> = (3..11)
        .map(|token| wait(&mut core, now, of(KILLER, request(now, token, "bad@yard"))))
        .collect();
    let clerk = wait(&mut core, now, request(now, 20, "clerk@court"));
    core.finish(now, first, End::Crashed);
    assert_eq!(core.poll(now), []);
    let alone = Event::Start { id: copies[0] };
    assert_eq!(answer(&mut core, now, other, ms(10)), [alone]);
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

/// A caller floods the gate with suspects that are never cleared. Each needs the whole target;
/// at most four wait, the rest is refused, and between two of them the others have the target
/// for three times as long.
#[test]
fn suspects_can_not_hold_up_the_target() {
    let mut now = Instant::now();
    let mut core = crashed(&mut now);
    let mut running = Vec::new();
    let mut ticks_of_suspects = 0;
    for tick in 0..200 {
        for place in 0..8 {
            let token = 1000 + tick * 8 + place;
            let kind = [KILLER, Digest(token)][usize::from(place < 4)];
            let offer = of(kind, request(now, token, "desk@clinic"));
            match core.offer(now, offer) {
                Verdict::Start(id) => running.push(id),
                Verdict::Wait(_) => {}
                Verdict::Refuse(refusal) => assert_ne!(refusal.cause(), Cause::Full),
            }
            assert!(core.dump(now).quarantine <= 4);
        }
        // With so many others, only a suspect runs alone.
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

/// A suspect waits for a long run to end. If nothing else could start until then, one export
/// would close the gate; the drain is given up and the suspect refused.
#[test]
fn drain_for_a_suspect_is_bounded() {
    let mut now = Instant::now();
    let mut core = crashed(&mut now);
    start(&mut core, now, request(now, 1, "export@archive"));
    let suspect = wait(&mut core, now, of(KILLER, request(now, 2, "bad@yard")));
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

/// Another gate tells of a crash: the request is a suspect here too. Of a conviction: it is
/// refused here, else every target of the fleet would have to crash once. What that gate only
/// heard itself is dropped, else two gates would keep a suspicion alive between them for ever.
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
        of(Digest(1), request(now, 11, "desk@clinic")),
    );
    let convicted = of(Digest(2), request(now, 12, "desk@clinic"));
    assert_eq!(cause(&mut core, now, convicted), Cause::Suspect);
}
