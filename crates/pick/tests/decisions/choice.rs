//! Failures that the choice of a target must avoid.

use std::time::Duration;

use crate::world::{answer, name, pick, report, shares, target};
use pick::{Kind, Need, Pick, Preference, Target};
use proptest::prelude::*;
use tokio::time::Instant;
use unit::{Incarnation, Report, Urgency};

const ROUNDS: u32 = 4_000;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_target_that_fails_fast_does_not_attract_traffic() {
    // One target of five loses its database and answers 500 within a millisecond. It is always idle
    // and has the shortest service time, so a choice by load alone would send it nearly all calls.
    for urgency in [Urgency::Urgent, Urgency::Routine] {
        let mut now = Instant::now();
        let mut pick = pick(now, 1, 5);
        let mut failed = 0;
        for _ in 0..2_000 {
            let chosen = pick.choose(now, &Need::of(urgency)).expect("a target");
            pick.begin(now, &chosen);
            now += millis(6);
            let bad = chosen == name(0);
            failed += u32::from(bad);
            let kind = if bad { Kind::Error } else { Kind::Ok };
            let mut load = report(if bad { 0 } else { 5 }, 0);
            load.service_us = if bad { 1_000 } else { 10_000 };
            pick.end(now, &chosen, &answer(kind, 6, load));
        }
        assert!(failed >= 3, "it still gets trial calls: {failed}");
        assert!(failed <= 20, "one in a hundred at most: {failed} of 2000");
        pick.begin(now, &name(0));
        pick.end(
            now + millis(9),
            &name(0),
            &answer(Kind::Ok, 9, report(0, 0)),
        );
        // The smoothed failure rate falls with each success.
        for _ in 0..40 {
            pick.begin(now, &name(0));
            pick.end(
                now + millis(9),
                &name(0),
                &answer(Kind::Ok, 9, report(0, 0)),
            );
        }
        let back = shares(&mut pick, now + millis(9), urgency, 5, ROUNDS)[0];
        assert!(back > 0.2, "it gets its share back after successes: {back}");
    }
}

#[test]
fn a_stale_report_of_an_idle_target_causes_no_herd() {
    // Each of 37 entries received a report 300 ms ago that target 0 was idle and all others busy,
    // and now sends at the same time. A choice of the least reported load would queue all requests
    // at target 0 while the others are idle.
    let reported_at = Instant::now();
    let now = reported_at + millis(300);
    let mut herd = 0;
    for entry in 0..37 {
        let mut pick = pick(reported_at, entry, 16);
        for i in 0..16 {
            pick.receive_report(reported_at, &name(i), report(if i == 0 { 0 } else { 9 }, 0));
        }
        for _ in 0..16 {
            let chosen = pick
                .choose(now, &Need::of(Urgency::Urgent))
                .expect("a target");
            pick.begin(now, &chosen);
            herd += u32::from(chosen == name(0));
        }
    }
    assert!(
        herd <= 2 * 37,
        "at most twice its share: {herd} of {}",
        37 * 16
    );
}

#[test]
fn own_sends_since_the_report_are_counted() {
    // A fresh report says that target 0 is idle, and ten requests arrive before the next report.
    // Without counting the entry's own calls, the tenth would queue behind the other nine.
    let now = Instant::now();
    let mut pick = pick(now, 3, 5);
    for i in 0..5 {
        pick.receive_report(now, &name(i), report(if i == 0 { 0 } else { 2 }, 0));
    }
    let mut sent = [0; 5];
    for _ in 0..20 {
        let chosen = pick
            .choose(now, &Need::of(Urgency::Urgent))
            .expect("a target");
        pick.begin(now, &chosen);
        let place = (0..5).find(|i| name(*i) == chosen).expect("a known one");
        sent[place] += 1;
    }
    assert!(
        sent[0] <= 8,
        "the idle target fills up to the load of the others: {sent:?}"
    );
    assert!(sent.iter().all(|count| *count >= 1), "{sent:?}");
}

#[test]
fn an_unresponsive_target_loses_its_share() {
    // Target 0 suddenly becomes slow. It answers nothing, so its last report stays good, and
    // further callers would wait twenty times as long as usual. Its overdue calls must lower its
    // share.
    let start = Instant::now();
    let mut pick = pick(start, 4, 5);
    for i in 0..5 {
        pick.receive_report(start, &name(i), report(3, 0));
    }
    for _ in 0..3 {
        pick.begin(start, &name(0));
    }
    let now = start + millis(100);
    for i in 1..5 {
        pick.receive_report(now, &name(i), report(5, 0));
    }
    let share = shares(&mut pick, now, Urgency::Routine, 5, ROUNDS)[0];
    assert!(share < 0.02, "{share}");
}

#[test]
fn a_cold_target_gets_its_share_by_answers() {
    // A target that has just started compiles its code on the first requests and is slow. It is
    // idle, so a choice by load would send it the most calls; a ramp by time alone would end before
    // it has run anything.
    let now = Instant::now();
    let mut pick = pick(now, 5, 4);
    for i in 0..4 {
        pick.receive_report(now, &name(i), report(5, 0));
    }
    let mut targets: Vec<Target> = (0..5).map(|i| target(i, "a")).collect();
    pick.set_targets(now, &targets);
    let mut last = 0.0;
    for answered in [0, 8, 24, 40, 64] {
        let mut cold = report(0, 0);
        cold.answered = answered;
        pick.receive_report(now, &name(4), cold);
        let share = shares(&mut pick, now, Urgency::Routine, 5, ROUNDS)[4];
        assert!(share > last, "{answered} answers: {share} after {last}");
        assert!(answered > 0 || share < 0.02, "first share {share}");
        last = share;
    }
    // A restart brings a new incarnation, for which the ramp begins again.
    targets[4].incarnation = Incarnation(2);
    pick.set_targets(now, &targets);
    let share = shares(&mut pick, now, Urgency::Routine, 5, ROUNDS)[4];
    assert!(share < 0.15, "{share}");
}

#[test]
fn traffic_moves_to_another_zone_gradually() {
    // If a threshold moved all traffic of a zone to another one at once, the targets there would
    // fill up and the traffic would move back, and callers would see their latency jump. The share
    // that stays must fall gradually as the wait in the zone grows.
    let now = Instant::now();
    let zone = "a".parse().expect("a zone");
    let delay = Duration::from_micros(1_500);
    let mut pick = Pick::builder(zone).network_delay(delay).seed(6).build();
    let targets: Vec<Target> = (0..4)
        .map(|i| target(i, if i == 0 { "a" } else { "b" }))
        .collect();
    pick.set_targets(now, &targets);
    let load = |running: u16| Report {
        limit: 40,
        ..report(running.min(40), running.saturating_sub(40))
    };
    let mut last = 1.0;
    let mut steepest: f64 = 0.0;
    for running in 0..=60 {
        for i in 1..4 {
            pick.receive_report(now, &name(i), load(8));
        }
        pick.receive_report(now, &name(0), load(running));
        let share = shares(&mut pick, now, Urgency::Routine, 4, ROUNDS)[0];
        assert!(share < last + 0.03, "{running}: {share} after {last}");
        steepest = steepest.max(last - share);
        last = share;
    }
    println!("zone: one more request of 40 at home moves {steepest:.3} of the share at most");
    assert!(steepest < 0.2, "{steepest}");
    assert!(last < 0.05, "{last}");
    let only = Need {
        zone: Preference::Only,
        ..Need::of(Urgency::Routine)
    };
    assert_eq!(pick.choose(now, &only), Some(name(0)));
}

#[test]
fn calls_lost_in_a_crash_do_not_count_against_the_next_incarnation() {
    // A target crashes with ten calls in flight, whose unresponsive links are given up only after
    // it has restarted. If they counted as its failures, it would stay idle while the other targets
    // are overloaded.
    let start = Instant::now();
    let mut pick = pick(start, 9, 2);
    (0..10).for_each(|_| pick.begin(start, &name(0)));
    let mut again = target(0, "a");
    again.incarnation = Incarnation(2);
    let now = start + millis(100);
    pick.set_targets(now, &[again, target(1, "a")]);
    pick.begin(now, &name(0));
    for _ in 0..10 {
        let mut lost = answer(Kind::Lost, 120, report(0, 0));
        lost.report = None;
        pick.end(start + millis(120), &name(0), &lost);
    }
    let line = pick.dump(start + millis(120)).targets.remove(0);
    assert_eq!((line.running, line.failures), (1, 0));
}

#[test]
fn when_all_targets_fail_one_is_still_chosen() {
    // All targets failed for a moment, so the share of each is capped. Callers must not be refused
    // when the targets have recovered.
    let now = Instant::now();
    let mut pick = pick(now, 7, 3);
    for i in (0..3).flat_map(|i| [i; 9]) {
        pick.begin(now, &name(i));
        pick.end(now, &name(i), &answer(Kind::Lost, 0, report(0, 0)));
    }
    assert!(pick.choose(now, &Need::default()).is_some());
}

#[test]
fn a_refusing_gate_is_avoided_and_a_full_service_gets_no_handovers() {
    // A refused call ends at once, so a gate that refuses looks the least loaded to the entry and
    // would attract the next calls too, although other targets have room.
    let now = Instant::now();
    let mut pick = pick(now, 8, 5);
    for i in 0..5 {
        pick.receive_report(now, &name(i), report(5, 0));
    }
    let need = Need::of(Urgency::Routine);
    for i in 0..5 {
        assert!(pick.has_available_target(now, &need), "{i} have refused");
        pick.begin(now, &name(i));
        let mut refusal = answer(Kind::Refused, 0, report(5, 0));
        refusal.report = None;
        pick.end(now, &name(i), &refusal);
        if i == 0 {
            let share = shares(&mut pick, now, Urgency::Routine, 5, ROUNDS)[0];
            assert!(share < 0.02, "{share}");
        }
    }
    assert!(!pick.has_available_target(now, &need));
    assert!(pick.has_available_target(now + millis(101), &need));
}

proptest! {
    /// In no order of events is a target chosen that is excluded or leaving, and calls that have
    /// ended are no longer counted.
    #[test]
    fn only_targets_that_may_serve_are_chosen(
        seed: u64,
        steps in prop::collection::vec((0_usize..6, 0_u8..6, 0_u64..40), 1..80),
    ) {
        let mut now = Instant::now();
        let mut pick = pick(now, seed, 6);
        let mut leaving = [false; 6];
        let mut open = Vec::new();
        for (i, step, wait) in steps {
            now += millis(wait);
            match step {
                0 => leaving[i] = !leaving[i],
                1 => pick.receive_report(now, &name(i), report(i as u16, wait as u16)),
                2 => drop(open.pop().map(|(at, chosen): (Instant, _)| {
                    let kind = [Kind::Ok, Kind::Error, Kind::Lost, Kind::Cancelled][i % 4];
                    let took = (now - at).as_millis() as u64;
                    pick.end(now, &chosen, &answer(kind, took, report(1, 0)));
                })),
                _ => {
                    let need = Need { exclude: &[name(i)], ..Need::default() };
                    if let Some(chosen) = pick.choose(now, &need) {
                        let place = (0..6).find(|i| name(*i) == chosen).expect("known");
                        prop_assert!(place != i && !leaving[place]);
                        pick.begin(now, &chosen);
                        open.push((now, chosen));
                    }
                }
            }
            let mut targets: Vec<Target> = (0..6).map(|i| target(i, "a")).collect();
            targets.iter_mut().zip(leaving).for_each(|(target, left)| target.leaving = left);
            pick.set_targets(now, &targets);
            let running: usize = pick.dump(now).targets.iter().map(|line| line.running).sum();
            prop_assert_eq!(running, open.len());
        }
    }
}

#[test]
fn a_target_without_a_link_is_never_the_last_resort() {
    // Two of three targets are full and refuse, and the third runs on a machine that has lost
    // power. If the last handover went there for want of another target, nothing would answer and
    // the caller would wait until its deadline.
    let now = Instant::now();
    let mut pick = pick(now, 1, 3);
    pick.set_unreachable(&name(2), true);
    let refused = [name(0), name(1)];
    for urgency in [Urgency::Urgent, Urgency::Routine, Urgency::Batch] {
        let need = Need {
            exclude: &refused,
            ..Need::of(urgency)
        };
        assert_eq!(pick.choose(now, &need), None);
        assert!(!pick.has_available_target(now, &need));
    }
    pick.set_unreachable(&name(0), true);
    pick.set_unreachable(&name(1), true);
    assert_eq!(pick.choose(now, &Need::of(Urgency::Routine)), None);
}

#[test]
fn a_closed_gate_gets_a_first_attempt_but_no_handover() {
    // After a refusal for lack of room, a closed gate is not chosen: its answer would tell the
    // caller that there is no target, while the request could be served a moment later. If all
    // gates are closed, a first attempt goes to one of them, since it may have opened.
    let now = Instant::now();
    let mut pick = pick(now, 1, 2);
    let mut closed = report(0, 0);
    closed.closed = true;
    pick.receive_report(now, &name(1), closed);
    let refused = [name(0)];
    let need = Need {
        exclude: &refused,
        ..Need::of(Urgency::Routine)
    };
    assert_eq!(pick.choose(now, &need), None);
    pick.receive_report(now, &name(0), closed);
    assert!(pick.choose(now, &Need::of(Urgency::Routine)).is_some());
}

#[test]
fn bulk_requests_avoid_a_target_whose_link_is_full() {
    // Two targets are as idle, and the link of one needs 2 s for the answers that wait for it. Short
    // answers overtake those, so only a request with a long answer has to avoid it.
    let now = Instant::now();
    let mut pick = pick(now, 1, 2);
    let mut full = report(1, 0);
    full.link_ms = 2_000;
    pick.receive_report(now, &name(0), full);
    pick.receive_report(now, &name(1), report(1, 0));
    let short = Need::of(Urgency::Urgent);
    let bulk = Need {
        bulk: true,
        ..short
    };
    let mut full = |need| {
        let chosen = (0..100).map(|_| pick.choose(now, need));
        chosen.filter(|chosen| *chosen == Some(name(0))).count()
    };
    assert!(full(&short) >= 20);
    assert_eq!(full(&bulk), 0);
}
