//! Bursts of several urgencies, and goals within one workspace.

use std::collections::BTreeMap;

use gate::{Builder, Cause, End, Event, Id, Law, Request, Verdict};
use tokio::time::Instant;
use unit::Urgency;

use crate::common::{cause, ms, request, start, wait};

/// Requests sent, and those answered within their goal, by urgency.
type Counts = BTreeMap<Urgency, (u32, u32)>;

/// Plays bursts of `count` urgent and as many batch requests, each of which runs for 100 ms at nine
/// slots, with goals of 400 ms.
fn play(count: u128, batch_first: bool) -> Counts {
    let begin = Instant::now();
    let mut core = Builder::new(9).law(Law::Knee).reserve(0.0).core(begin);
    let mut counts = Counts::new();
    let mut waiting: BTreeMap<Id, (Urgency, Instant)> = BTreeMap::new();
    let mut ends: BTreeMap<(Instant, Id), (Urgency, Instant)> = BTreeMap::new();
    let mut token = 0;
    for step in 0..3_000 {
        let now = begin + ms(step);
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, id), (urgency, sent)) = entry.remove_entry();
            core.finish(now, id, End::Answered { latency: ms(100) });
            if now <= sent + ms(400) {
                counts.entry(urgency).or_default().1 += 1;
            }
        }
        let mut order = [Urgency::Urgent, Urgency::Batch];
        if batch_first {
            order.reverse();
        }
        let mut started = Vec::new();
        for urgency in order {
            for _ in 0..if step % 500 == 0 { count } else { 0 } {
                token += 1;
                counts.entry(urgency).or_default().0 += 1;
                let request = Request {
                    urgency,
                    goal: Some(now + ms(400)),
                    class: 3,
                    ..request(now, token, "w-1")
                };
                match core.offer(now, request) {
                    Verdict::Start(id) => started.push((id, (urgency, now))),
                    Verdict::Wait(id) => drop(waiting.insert(id, (urgency, now))),
                    Verdict::Refuse(_) => {}
                }
            }
        }
        for event in core.poll(now) {
            match event {
                Event::Start { id } => {
                    started.push((id, waiting.remove(&id).expect("it waits")));
                }
                Event::Refuse { id, .. } => drop(waiting.remove(&id)),
            }
        }
        for (id, sent) in started {
            core.dispatch(now, id);
            ends.insert((now + ms(100), id), sent);
        }
    }
    counts
}

/// A burst of both kinds served batch requests better than urgent ones.
#[test]
fn urgent_requests_are_never_served_worse_in_a_burst() {
    for count in [5, 10, 20, 40, 80] {
        for batch_first in [false, true] {
            let counts = play(count, batch_first);
            println!("{count} {batch_first}: {counts:?}");
            let urgent = counts[&Urgency::Urgent].1;
            let batch = counts[&Urgency::Batch].1;
            assert!(urgent >= batch, "{count} {batch_first}: {counts:?}");
        }
    }
}

/// A request with little time left waited behind one with much, and missed its goal.
#[test]
fn the_earliest_goal_of_a_workspace_goes_first() {
    let now = Instant::now();
    let mut core = Builder::new(1).law(Law::Knee).reserve(0.0).core(now);
    let with_goal = |token: u128, goal: u64| Request {
        goal: Some(now + ms(goal)),
        ..request(now, token, "w-1")
    };
    let running = start(&mut core, now, request(now, 1, "w-1"));
    let late = wait(&mut core, now, with_goal(2, 900));
    let early = wait(&mut core, now, with_goal(3, 300));
    let middle = wait(&mut core, now, with_goal(4, 600));
    let mut now = now;
    let mut order = Vec::new();
    let mut running = running;
    for _ in 0..3 {
        now += ms(10);
        core.finish(now, running, End::Answered { latency: ms(10) });
        let events = core.poll(now);
        let [Event::Start { id }] = events[..] else {
            panic!("expected one start, got {events:?}");
        };
        core.dispatch(now, id);
        order.push(id);
        running = id;
    }
    assert_eq!(order, [early, middle, late]);
}

/// A request that could not be in time waited for its refusal.
#[test]
fn a_goal_that_cannot_be_met_is_refused_at_once() {
    let mut now = Instant::now();
    let mut core = Builder::new(1).law(Law::Knee).reserve(0.0).core(now);
    crate::common::warm(&mut core, &mut now, 20, ms(100));
    start(&mut core, now, request(now, 1, "w-1"));
    let hopeless = Request {
        goal: Some(now + ms(120)),
        ..request(now, 2, "w-1")
    };
    assert_eq!(cause(&mut core, now, hopeless), Cause::Full);
}
