//! The bound on the requests to a cold target, and the evacuation of its zone.

use std::time::Duration;

use gate::{Builder, Cause, Core, End, Event, Id, Request, Verdict, Warmup};
use proptest::prelude::*;
use tokio::time::Instant;

use crate::common::{answer, cause, ms, start, urgent, wait};
use crate::schedule::{self, Play, Step, arrive, patient};

const MAX: usize = 21;
const SECOND: Duration = Duration::from_secs(1);

/// A gate whose slots never hold a request up, so that only the bound does.
fn gate(now: Instant, warmup: Warmup) -> Core {
    let builder = Builder::new(1_000).law(gate::Law::Fixed);
    let mut core = builder.wait(10 * SECOND).core(now);
    core.set_max_cold_starts(now, Some(MAX));
    core.set_warmup(now, warmup);
    core
}

/// Offers a request and sends it if it starts at once.
fn send(core: &mut Core, now: Instant, token: u128) -> bool {
    let id = match core.offer(now, patient(now, token)) {
        Verdict::Start(id) => id,
        Verdict::Wait(id) => {
            core.cancel(now, id);
            return false;
        }
        Verdict::Refuse(_) => return false,
    };
    core.dispatch(now, id);
    core.record_sent(now, id);
    answer(core, now, id, ms(1));
    true
}

fn sent_at_once(core: &mut Core, now: Instant, tokens: std::ops::Range<u128>) -> usize {
    tokens.filter(|token| send(core, now, *token)).count()
}

/// After a power failure all targets were cold, and the entries' backlog reached one of them with 25
/// requests within a second.
#[test]
fn backlog_after_a_power_failure_stays_within_the_bound() {
    let now = Instant::now();
    let mut core = gate(now, Warmup::Until(now + 3 * SECOND));
    assert_eq!(sent_at_once(&mut core, now, 0..1_000), MAX);
    assert!(
        core.hot(),
        "entries are not told that the target takes no more"
    );
    assert_eq!(core.report(now).limit, 1);
}

/// A daemon that restarted beside a cold target sent as much as its former process had just sent.
#[test]
fn restarted_gate_counts_what_its_former_process_may_have_sent() {
    let now = Instant::now();
    let mut core = gate(now, Warmup::Unknown);
    core.inherit_cold_starts(now);
    assert_eq!(sent_at_once(&mut core, now + ms(900), 0..100), 0);
    assert_eq!(sent_at_once(&mut core, now + ms(1_000), 100..200), MAX);
    let mut core = gate(now, Warmup::Unknown);
    core.inherit_cold_starts(now);
    core.no_former_starts();
    assert_eq!(sent_at_once(&mut core, now, 0..100), MAX);
}

/// A target that became cold in the middle of a burst got as many requests again as it had got in
/// the second before.
#[test]
fn target_that_becomes_cold_again_has_its_last_second_counted() {
    let now = Instant::now();
    let mut core = gate(now, Warmup::Done);
    assert_eq!(sent_at_once(&mut core, now, 0..100), 100);
    let later = now + ms(500);
    core.set_warmup(later, Warmup::Until(later + 3 * SECOND));
    assert_eq!(sent_at_once(&mut core, later, 100..200), 0);
    assert_eq!(sent_at_once(&mut core, now + ms(1_001), 200..300), MAX);
}

/// Requests that were held up in their connections arrived together with those of the next second.
#[test]
fn request_counts_until_a_second_after_it_was_sent() {
    let now = Instant::now();
    let mut core = gate(now, Warmup::Unknown);
    let held: Vec<Id> = (0..MAX as u128)
        .map(|token| start(&mut core, now, patient(now, token)))
        .collect();
    let later = now + 2 * SECOND;
    wait(&mut core, later, patient(later, 100));
    for id in held {
        core.record_sent(later, id);
        core.finish(later, id, End::Answered { latency: ms(1) });
    }
    assert_eq!(core.poll(later + SECOND), []);
    assert_eq!(core.poll(later + SECOND + ms(1)).len(), 1);
}

/// A request that can't be sent before its goal must be refused at once, not at its deadline.
#[test]
fn request_that_the_bound_holds_up_past_its_goal_is_refused_at_once() {
    let now = Instant::now();
    let mut core = gate(now, Warmup::Until(now + 3 * SECOND));
    sent_at_once(&mut core, now, 0..100);
    let late = Request {
        goal: Some(now + ms(500)),
        ..patient(now, 200)
    };
    let Verdict::Refuse(refusal) = core.offer(now, late) else {
        panic!("the request is kept although it can't meet its goal");
    };
    assert_eq!(refusal.cause(), Cause::Full);
    assert!((ms(900)..=ms(1_100)).contains(&refusal.retry_after()));
    let patient = Request {
        goal: Some(now + ms(5_000)),
        ..patient(now, 201)
    };
    wait(&mut core, now, patient);
}

/// Routine requests took all that a cold target bears, and the clerk's urgent request waited.
#[test]
fn urgent_requests_go_first_when_the_bound_holds_requests_up() {
    let now = Instant::now();
    let mut core = gate(now, Warmup::Until(now + 9 * SECOND));
    sent_at_once(&mut core, now, 0..MAX as u128);
    for token in 100..120 {
        wait(&mut core, now, patient(now, token));
    }
    let clerk = Request {
        deadline: now + ms(9_000),
        ..urgent(now, 200, "clerk")
    };
    let clerk = wait(&mut core, now, clerk);
    let events = core.poll(now + ms(1_001));
    assert_eq!(events.first(), Some(&Event::Start { id: clerk }));
}

#[test]
fn warm_target_and_target_without_a_rate_have_no_bound() {
    let now = Instant::now();
    let mut warm = gate(now, Warmup::Done);
    assert_eq!(sent_at_once(&mut warm, now, 0..100), 100);
    let mut unbounded = gate(now, Warmup::Unknown);
    unbounded.set_max_cold_starts(now, None);
    assert_eq!(sent_at_once(&mut unbounded, now, 0..100), 100);
    let mut ended = gate(now, Warmup::Until(now + SECOND));
    assert_eq!(sent_at_once(&mut ended, now + SECOND, 0..100), 100);
}

/// Requests in the queue of an evacuated zone's target waited until their deadlines although other
/// zones had room.
#[test]
fn evacuation_refuses_waiting_and_new_requests_and_lets_running_ones_end() {
    let now = Instant::now();
    let mut core = Builder::new(1).core(now);
    let running = start(&mut core, now, patient(now, 1));
    let waiting = wait(&mut core, now, patient(now, 2));
    core.set_evacuated(now, true);
    let events = core.poll(now);
    let [Event::Refuse { id, refusal }] = events.as_slice() else {
        panic!("{events:?}");
    };
    assert_eq!((*id, refusal.cause()), (waiting, Cause::Evacuated));
    assert_eq!(refusal.outcome(), unit::Outcome::NotRun);
    assert_eq!(
        refusal.retry_after(),
        Duration::ZERO,
        "another gate is free"
    );
    assert_eq!(cause(&mut core, now, patient(now, 3)), Cause::Evacuated);
    assert!(core.report(now).closed);
    answer(&mut core, now, running, ms(5));
    core.set_evacuated(now, false);
    start(&mut core, now, patient(now, 4));
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => arrive(Just(false)),
        4 => Just(Step::Send),
        3 => Just(Step::End),
        1 => Just(Step::Drop),
        2 => schedule::wait(),
    ];
    prop::collection::vec(step, 0..600)
}

proptest! {
    /// Whatever the schedule, no second of a cold target sees more requests than it bears. A request
    /// arrives between its dispatch and the moment at which it was sent.
    #[test]
    fn no_second_of_a_cold_target_exceeds_the_bound(steps in steps()) {
        let now = Instant::now();
        let mut core = Builder::new(50).law(gate::Law::Fixed).core(now);
        core.set_max_cold_starts(now, Some(5));
        core.set_warmup(now, Warmup::Unknown);
        let mut play = Play::new(core, now);
        for step in steps {
            play.step(step);
            for window in play.arrivals.windows(6) {
                prop_assert!(window[5] - window[0] > SECOND, "{window:?}");
            }
        }
    }
}
