//! Figures of all modes, and their differences to the first one.

use std::fmt;

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use super::workload::{Bound, Workload};
use crate::policy::{Outcome, Second, Tally};

/// One figure of a class of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Measure {
    pub(crate) name: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) of: fn(&Tally) -> f64,
}

/// What is compared.
#[rustfmt::skip]
pub(crate) const FIGURES: [Measure; 9] = [
    Measure { name: "in_time", unit: "%", of: |tally| tally.in_time },
    Measure { name: "late", unit: "%", of: |tally| tally.late },
    Measure { name: "refused", unit: "%", of: |tally| tally.refused },
    Measure { name: "failed", unit: "%", of: |tally| tally.failed },
    Measure { name: "p50", unit: "ms", of: |tally| tally.p50_ms },
    Measure { name: "p99", unit: "ms", of: |tally| tally.p99_ms },
    Measure { name: "refusal_p99", unit: "ms", of: |tally| tally.refusal_p99_ms },
    Measure { name: "wait", unit: "ms", of: |tally| tally.wait_ms },
    Measure { name: "report_age", unit: "ms", of: |tally| tally.age_ms },
];

/// The probability that an interval holds the true mean.
const CONFIDENCE: f64 = 0.95;

/// All modes of an experiment, side by side.
#[derive(Debug, Clone, Serialize)]
pub struct Comparison {
    pub(crate) workload: String,
    pub(crate) seeds: Vec<u64>,
    pub(crate) modes: Vec<Side>,
    #[serde(skip)]
    bounds: Vec<Bound>,
}

/// One mode of a [`Comparison`].
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Side {
    pub(crate) mode: String,
    /// Tries of all runs that were refused as not run and that a target saw. Must be zero.
    pub(crate) false_not_run: u64,
    pub(crate) rows: Vec<Row>,
    /// Requests by second and what they got, mean of the runs.
    pub(crate) seconds: Vec<[f64; 4]>,
}

/// One figure of one class in one mode.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    pub(crate) class: &'static str,
    pub(crate) figure: &'static str,
    pub(crate) unit: &'static str,
    /// Mean over the seeds.
    pub(crate) mean: f64,
    /// Seed by seed against the first mode; `None` in that one.
    pub(crate) difference: Option<Interval>,
}

/// A mean with its 95 % interval.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct Interval {
    pub(crate) mean: f64,
    /// Half the width of the interval.
    pub(crate) margin: f64,
}

/// A bound of the workload that the figures break.
#[derive(Debug, Clone, PartialEq)]
pub struct Broken {
    bound: Bound,
    found: f64,
}

impl Comparison {
    /// Compares the outcomes of all modes, mode by mode and seed by seed.
    pub(super) fn of(workload: &Workload, seeds: &[u64], outcomes: &[Outcome]) -> Comparison {
        let runs: Vec<&[Outcome]> = outcomes.chunks(seeds.len()).collect();
        let sides = workload.modes.iter().zip(&runs).enumerate();
        let modes = sides.map(|(number, (mode, own))| Side {
            mode: mode.name.clone(),
            false_not_run: own.iter().map(|run| run.false_not_run).sum(),
            rows: rows(own, (number > 0).then(|| runs[0])),
            seconds: seconds(own),
        });
        Comparison {
            workload: workload.scenario.name.clone(),
            seeds: seeds.to_vec(),
            modes: modes.collect(),
            bounds: workload.bounds.clone(),
        }
    }

    /// The mean of a figure.
    pub fn mean(&self, mode: &str, class: &str, figure: &str) -> Option<f64> {
        let side = self.modes.iter().find(|side| side.mode == mode)?;
        let mut rows = side.rows.iter();
        let row = rows.find(|row| row.class == class && row.figure == figure)?;
        Some(row.mean)
    }

    /// Whether a request was refused as not run that a target saw, in any mode.
    pub fn has_false_not_run(&self) -> bool {
        self.modes.iter().any(|side| side.false_not_run > 0)
    }

    /// The bounds that do not hold.
    pub fn broken(&self) -> Vec<Broken> {
        let found = |bound: &Bound| self.mean(&bound.mode, &bound.class, &bound.figure);
        let bounds = self.bounds.iter();
        let pairs = bounds.filter_map(|bound| Some((bound, found(bound)?)));
        let broken = pairs.filter(|(bound, found)| {
            let is_low = bound.least.is_some_and(|least| *found < least);
            is_low || bound.most.is_some_and(|most| *found > most)
        });
        let broken = broken.map(|(bound, found)| Broken {
            bound: bound.clone(),
            found,
        });
        broken.collect()
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Bound {
            mode,
            class,
            figure,
            least,
            most,
        } = &self.bound;
        write!(f, "{figure} of {class} with {mode} is {:.3}", self.found)?;
        if let Some(least) = least {
            write!(f, ", at least {least} is asked for")?;
        }
        if let Some(most) = most {
            write!(f, ", at most {most} is asked for")?;
        }
        Ok(())
    }
}

fn rows(own: &[Outcome], first: Option<&[Outcome]>) -> Vec<Row> {
    let classes = own.first().map_or(0, |run| run.tallies.len());
    let cells = (0..classes).flat_map(|class| FIGURES.map(|figure| (class, figure)));
    let row = |(class, figure): (usize, Measure)| {
        let values = |runs: &[Outcome]| -> Vec<f64> {
            let tallies = runs.iter().map(|run| &run.tallies[class]);
            tallies.map(figure.of).collect()
        };
        let mine = values(own);
        let difference = first.map(|first| {
            let pairs = mine.iter().zip(values(first));
            Interval::of(
                &pairs
                    .map(|(mine, theirs)| mine - theirs)
                    .collect::<Vec<f64>>(),
            )
        });
        Row {
            class: own[0].tallies[class].class,
            figure: figure.name,
            unit: figure.unit,
            mean: mean(&mine),
            difference,
        }
    };
    cells.map(row).collect()
}

fn seconds(runs: &[Outcome]) -> Vec<[f64; 4]> {
    let count = runs.iter().map(|run| run.seconds.len()).max().unwrap_or(0);
    let of = |second: &Second| {
        [second.in_time, second.late, second.refused, second.failed].map(f64::from)
    };
    let at = |place: usize| {
        let mut sum = [0.0; 4];
        for second in runs.iter().filter_map(|run| run.seconds.get(place)) {
            let counts = of(second);
            sum.iter_mut()
                .zip(counts)
                .for_each(|(sum, count)| *sum += count);
        }
        sum.map(|sum| sum / runs.len() as f64)
    };
    (0..count).map(at).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

impl Interval {
    /// The mean of `values` with its interval by Student's t; two values or more.
    fn of(values: &[f64]) -> Interval {
        let (count, mean) = (values.len() as f64, mean(values));
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let error = (squares / (count - 1.0) / count).sqrt();
        let margin = StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::INFINITY, |t| {
            t.inverse_cdf((1.0 + CONFIDENCE) / 2.0) * error
        });
        Interval { mean, margin }
    }

    /// Whether the interval lies on one side of zero.
    pub(crate) fn is_clear(&self) -> bool {
        self.mean.abs() > self.margin
    }
}
