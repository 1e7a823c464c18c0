//! What the choice of a target costs at the entry, and how many calls leave the zone.

use std::time::Duration;

use pick::{Kind, Need, Pick, Shared, Target};
use serde::Serialize;
use tokio::time::Instant;
use unit::{Incarnation, Report, Urgency};

use super::slope::Slope;
use super::system::{Outcome, grown, shortest};

const SIZES: [usize; 3] = [5, 16, 37];
const ZONES: usize = 8;
const ROUNDS: usize = 20;
const CHOICES: usize = 1_000;
/// Entries whose choices are held at once.
const COPIES: usize = 2_000;
/// Calls of the trial of zones, and the time between two.
const CALLS: usize = 20_000;
const GAP: Duration = Duration::from_millis(50);
const LATENCY: Duration = Duration::from_millis(10);

/// What was measured of the entry's choice.
#[derive(Debug, Clone, Serialize)]
pub struct Choices {
    /// Microseconds of a routine choice with its begin and end.
    pub routine: Slope,
    /// The same for an urgent one, which looks at all.
    pub urgent: Slope,
    /// Bytes of memory for one service.
    pub memory: Slope,
    /// The share of routine calls that go to another zone: 37 targets over 8 zones, 0.5 ms one way,
    /// all at a third of their limit.
    pub away: f64,
    /// The targets that one entry uses of a service of 37.
    pub used: usize,
}

/// Measures the choice, without I/O.
pub(crate) fn measure() -> Outcome<Choices> {
    let mut series: [Vec<(usize, f64)>; 3] = Default::default();
    for size in SIZES {
        let targets = targets(size)?;
        let make = || (0..COPIES).map(|seed| pick(seed as u64, &targets));
        let (made, memory) = grown(|| make().collect::<Outcome<Vec<_>>>())?;
        std::mem::forget(made?);
        let shared = Shared::from(pick(1, &targets)?);
        let figures = [
            choice(&shared, Urgency::Routine),
            choice(&shared, Urgency::Urgent),
            memory / COPIES as f64,
        ];
        for (series, figure) in series.iter_mut().zip(figures) {
            series.push((size, figure));
        }
    }
    let targets = targets(SIZES[2])?;
    let line = |what: &str, place: usize| Slope::of(what, "targets", &series[place]);
    Ok(Choices {
        routine: line("routine choice, us", 0),
        urgent: line("urgent choice, us", 1),
        memory: line("choice of one service, bytes of memory", 2),
        away: away(&targets)?,
        used: pick(1, &targets)?.dump(Instant::now()).targets.len(),
    })
}

fn targets(size: usize) -> Outcome<Vec<Target>> {
    let target = |number: usize| {
        Ok(Target {
            instance: format!("reservations-{number:04}.qc-east").parse()?,
            zone: format!("zone-{}", number % ZONES).parse()?,
            incarnation: Incarnation(1),
            leaving: false,
            evacuated: false,
            region: "local".to_string(),
        })
    };
    (0..size).map(target).collect()
}

fn pick(seed: u64, targets: &[Target]) -> Outcome<Pick> {
    let mut pick = Pick::builder("zone-0".parse()?).seed(seed).build();
    pick.set_targets(Instant::now(), targets);
    Ok(pick)
}

fn report() -> Report {
    Report {
        running: 3,
        limit: 10,
        service_us: LATENCY.as_micros() as u32,
        answered: 10_000,
        ..Report::default()
    }
}

fn choice(shared: &Shared, urgency: Urgency) -> f64 {
    let need = Need::of(urgency);
    let mut now = Instant::now();
    let mut many = || {
        for _ in 0..CHOICES {
            now += Duration::from_millis(1);
            if let Some(guard) = shared.acquire(now, &need) {
                guard.end_at(now + LATENCY, Kind::Ok, Some(report()));
            }
        }
    };
    shortest(ROUNDS, &mut many) / CHOICES as f64
}

/// The share of calls that go to a target outside the entry's zone.
fn away(targets: &[Target]) -> Outcome<f64> {
    let shared = Shared::from(pick(1, targets)?);
    let need = Need::of(Urgency::Routine);
    let mut now = Instant::now();
    let mut far = 0;
    for _ in 0..CALLS {
        now += GAP;
        let Some(guard) = shared.acquire(now, &need) else {
            continue;
        };
        let chosen = targets.iter().find(|t| t.instance == *guard.instance());
        let near = chosen.is_some_and(|t| t.zone.as_str() == "zone-0");
        far += usize::from(!near);
        let way = if near { 0 } else { 1 };
        let latency = LATENCY + Duration::from_millis(way);
        guard.end_at(now + latency, Kind::Ok, Some(report()));
    }
    Ok(far as f64 / CALLS as f64)
}
