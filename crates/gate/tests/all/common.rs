//! Helpers that build requests and drive a core through simulated time.

use std::time::Duration;

use gate::{Core, End, Event, Id, Request, Suspicion, Verdict};
use tokio::time::Instant;
use unit::{Digest, Token, Urgency};

pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A routine request that is due in one second, with a kind derived from its token.
pub fn request(now: Instant, token: u128, caller: &str) -> Request {
    Request {
        token: Token(token),
        urgency: Urgency::Routine,
        caller: caller.parse().expect("a caller"),
        weight: 1,
        deadline: now + ms(1000),
        kind: Digest(token),
        nested: false,
        goal: None,
        class: 0,
        elsewhere: false,
        bulk: false,
    }
}

pub fn urgent(now: Instant, token: u128, caller: &str) -> Request {
    Request {
        urgency: Urgency::Urgent,
        ..request(now, token, caller)
    }
}

pub fn start(core: &mut Core, now: Instant, request: Request) -> Id {
    match core.offer(now, request) {
        Verdict::Start(id) => {
            assert!(core.dispatch(now, id));
            id
        }
        other => panic!("expected a start, got {other:?}"),
    }
}

pub fn wait(core: &mut Core, now: Instant, request: Request) -> Id {
    match core.offer(now, request) {
        Verdict::Wait(id) => id,
        other => panic!("expected a wait, got {other:?}"),
    }
}

pub fn cause(core: &mut Core, now: Instant, request: Request) -> gate::Cause {
    match core.offer(now, request) {
        Verdict::Refuse(refusal) => refusal.cause(),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

pub fn answer(core: &mut Core, now: Instant, id: Id, latency: Duration) -> Vec<Event> {
    core.finish(now, id, End::Answered { latency });
    core.poll(now)
}

/// Starts a request and answers it after `latency`.
pub fn run(core: &mut Core, now: &mut Instant, request: Request, latency: Duration) {
    let id = start(core, *now, request);
    *now += latency;
    answer(core, *now, id, latency);
}

/// Runs `count` requests of `latency` one after the other, so that the gate has learnt its service
/// time and is no longer cold.
pub fn warm(core: &mut Core, now: &mut Instant, count: u128, latency: Duration) {
    let before = u128::from(core.report(*now).answered);
    for i in before..before + count {
        let request = request(*now, u128::MAX - i, "warm");
        run(core, now, request, latency);
    }
}

/// A suspicion as reported by another gate.
pub fn suspicion(kind: u128, convicted: bool, learnt: bool) -> Suspicion {
    Suspicion {
        kind: Digest(kind),
        crashes: 1,
        convicted,
        remaining: ms(300),
        learnt,
    }
}

/// Advances the time until the core returns events, and returns them.
pub fn next_events(core: &mut Core, now: &mut Instant) -> Vec<Event> {
    for _ in 0..1000 {
        *now = core
            .next_timer(*now)
            .expect("a waiting request has a timer");
        let events = core.poll(*now);
        if !events.is_empty() {
            return events;
        }
    }
    panic!("no event after 1000 timers");
}
