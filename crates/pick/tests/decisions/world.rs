//! Helpers for the tests.

use std::time::Duration;

use pick::{Answer, Kind, Need, Pick, Target};
use tokio::time::Instant;
use unit::{Incarnation, Instance, Report, Urgency};

/// The name of target number `i`.
pub fn name(i: usize) -> Instance {
    format!("t-{i:02}").parse().expect("a name")
}

/// Target number `i` in `zone`.
pub fn target(i: usize, zone: &str) -> Target {
    Target {
        instance: name(i),
        zone: zone.parse().expect("a zone"),
        incarnation: Incarnation(1),
        leaving: false,
        evacuated: false,
        region: "r".to_string(),
    }
}

/// A [`Pick`] of an entry in zone `a` with `count` targets in that zone.
pub fn pick(now: Instant, seed: u64, count: usize) -> Pick {
    let zone = "a".parse().expect("a zone");
    let mut pick = Pick::builder(zone).seed(seed).build();
    let targets: Vec<Target> = (0..count).map(|i| target(i, "a")).collect();
    pick.set_targets(now, &targets);
    pick
}

/// A report of a warm gate with a limit of 10 and a service time of 10 ms.
pub fn report(running: u16, waiting: u16) -> Report {
    Report {
        running,
        queued: [0, waiting, 0],
        limit: 10,
        service_us: 10_000,
        answered: 100_000,
        hot: false,
        ..Report::default()
    }
}

/// An answer after `millis` milliseconds with a report.
pub fn answer(kind: Kind, millis: u64, report: Report) -> Answer {
    Answer {
        latency: Duration::from_millis(millis),
        kind,
        class: 0,
        report: Some(report),
    }
}

/// The share of each of `count` targets in `rounds` choices, for which no call begins.
pub fn shares(
    pick: &mut Pick,
    now: Instant,
    urgency: Urgency,
    count: usize,
    rounds: u32,
) -> Vec<f64> {
    let mut shares = vec![0.0; count];
    for _ in 0..rounds {
        let chosen = pick.choose(now, &Need::of(urgency)).expect("a target");
        let place = (0..count)
            .find(|i| name(*i) == chosen)
            .expect("a known one");
        shares[place] += 1.0 / f64::from(rounds);
    }
    shares
}
