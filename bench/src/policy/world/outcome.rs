//! What callers get in a run, by class.

use std::time::Duration;

use pick::Kind;
use serde::Serialize;
use unit::Urgency;

use super::{CALLERS, Call, World};
use crate::policy::scenario::{LEAD, PERIOD, ms};

/// The time from the start that is not counted: all limits and estimates begin with nothing.
const WARM_UP: Duration = ms(1_000);

/// All requests, and those of each urgency.
pub(crate) const CLASSES: [&str; 3] = ["all", "urgent", "routine"];

/// What callers get in one run.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Outcome {
    /// In the order of [`CLASSES`].
    pub(crate) tallies: Vec<Tally>,
    /// By the second in which they came, from the start of the run.
    pub(crate) seconds: Vec<Second>,
    /// Tries refused as not run that a target saw. Must be zero.
    pub(crate) false_not_run: u64,
}

/// Requests that came in one second, by what they got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Second {
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    pub(crate) failed: u32,
}

/// Requests of one class by what they got, in percent, and their times in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Tally {
    pub(crate) class: &'static str,
    pub(crate) requests: usize,
    /// Answered within the goal, or within the deadline where there is no goal.
    pub(crate) in_time: f64,
    /// Answered between goal and deadline.
    pub(crate) late: f64,
    /// Told that they have not run, also when they came back.
    pub(crate) refused: f64,
    /// No answer before the deadline, or one of an error.
    pub(crate) failed: f64,
    /// From the first send to the answer; one without an answer counts with its whole deadline.
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    /// From a send to its refusal.
    pub(crate) refusal_p99_ms: f64,
    /// At gates, mean of the tries that were started.
    pub(crate) wait_ms: f64,
    /// Mean age of the report by which a target was chosen, where there was one.
    pub(crate) age_ms: f64,
}

/// What one request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Got {
    InTime,
    Late,
    Refused,
    Failed,
}

impl World {
    pub(super) fn count(&self) -> Outcome {
        let length = LEAD + self.scenario.rounds * PERIOD;
        let longest = self.scenario.due.into_iter().max().unwrap_or_default();
        // What comes later may have no end within the run.
        let until = length.saturating_sub(longest);
        let counted =
            |call: &&Call| call.came - self.base >= WARM_UP && call.first - self.base < until;
        let calls: Vec<&Call> = self.calls.iter().filter(counted).collect();
        let mut seconds = vec![Second::default(); until.as_secs() as usize];
        for call in calls.iter().filter(|call| !call.superseded) {
            let came = (call.first - self.base).as_secs() as usize;
            if let Some(second) = seconds.get_mut(came) {
                second.add(self.got(call));
            }
        }
        Outcome {
            tallies: CLASSES.map(|class| self.tally(class, &calls)).to_vec(),
            seconds,
            false_not_run: self.false_not_run,
        }
    }

    fn got(&self, call: &Call) -> Got {
        let goal = self.scenario.goal.unwrap_or(self.scenario.due);
        match call.end {
            Some(Kind::Ok) if call.latency <= goal[CALLERS[call.caller].1.rank()] => Got::InTime,
            Some(Kind::Ok) => Got::Late,
            Some(Kind::Refused) => Got::Refused,
            _ => Got::Failed,
        }
    }

    fn tally(&self, class: &'static str, all: &[&Call]) -> Tally {
        let wanted: Option<Urgency> = class.parse().ok();
        let is_of = |call: &&&Call| wanted.is_none_or(|urgency| CALLERS[call.caller].1 == urgency);
        let sends: Vec<&Call> = all.iter().filter(is_of).copied().collect();
        let ends = sends.iter().filter(|call| !call.superseded);
        let got: Vec<Got> = ends.clone().map(|call| self.got(call)).collect();
        let share = |what| {
            let count = got.iter().filter(|got| **got == what).count();
            count as f64 * 100.0 / got.len().max(1) as f64
        };
        let refused = sends.iter().filter(|call| call.end == Some(Kind::Refused));
        let tries = || {
            sends
                .iter()
                .flat_map(|call| &call.tries)
                .map(|try_| &self.tries[*try_])
        };
        let latencies = sorted(ends.map(|call| call.latency));
        Tally {
            class,
            requests: got.len(),
            in_time: share(Got::InTime),
            late: share(Got::Late),
            refused: share(Got::Refused),
            failed: share(Got::Failed),
            p50_ms: at(&latencies, 500),
            p99_ms: at(&latencies, 990),
            refusal_p99_ms: at(&sorted(refused.filter_map(|call| call.refused_after)), 990),
            wait_ms: mean(tries().filter_map(|sent| sent.waited)),
            age_ms: mean(tries().filter_map(|sent| sent.age)),
        }
    }
}

impl Second {
    fn add(&mut self, got: Got) {
        let count = match got {
            Got::InTime => &mut self.in_time,
            Got::Late => &mut self.late,
            Got::Refused => &mut self.refused,
            Got::Failed => &mut self.failed,
        };
        *count += 1;
    }
}

fn sorted(times: impl Iterator<Item = Duration>) -> Vec<Duration> {
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    times
}

/// The time that `part` of a thousand are below, 0 if there is none.
fn at(sorted: &[Duration], part: usize) -> f64 {
    let time = sorted.get(sorted.len() * part / 1_000);
    time.map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
}

fn mean(times: impl Iterator<Item = Duration>) -> f64 {
    let (sum, count) = times.fold((0.0, 0_u32), |(sum, count), time| {
        (sum + time.as_secs_f64() * 1_000.0, count + 1)
    });
    sum / f64::from(count.max(1))
}
