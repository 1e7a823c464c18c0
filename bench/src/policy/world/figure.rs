//! What a run comes to.

use std::fmt;

use pick::Kind;
use serde::Serialize;
use unit::Urgency;

use super::{CALLERS, Call, World};
use crate::policy::scenario::{Fault, LEAD, PERIOD, ms};

/// The figures of one mode in one scenario.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    scenario: String,
    mode: String,
    /// Good answers per second during the faults, in percent of the capacity.
    pub goodput: f64,
    /// Good answers from one second after a fault on, in percent of the calls.
    pub recovered: f64,
    /// Retries and hedges, in percent of first tries.
    pub repeats: f64,
    /// Hand-overs, in percent of first tries.
    pub handed: f64,
    /// Bytes of measuring per second and target.
    pub bytes: f64,
    /// Probes and notices per second and target.
    pub messages: f64,
    /// Tries refused as not run that a target saw. Must be zero.
    pub false_not_run: u64,
    /// Calls that a target which limits them ran, in percent of its limit.
    pub limit_used: f64,
    /// Calls to another region in percent of tries.
    pub abroad: f64,
    /// Bytes a second of those calls.
    pub abroad_bytes: f64,
    /// Good answers within 400 ms in percent of the calls.
    pub in_time: f64,
    /// The same for the worst zone of entries.
    pub worst_zone: f64,
    rows: Vec<Row>,
}

/// Calls of one kind, and their latencies in microseconds. One without a good answer counts with
/// its whole deadline.
#[derive(Debug, Clone, Serialize)]
struct Row {
    when: &'static str,
    kind: &'static str,
    calls: usize,
    good: usize,
    refused: usize,
    /// The part in all good answers of this time, in percent.
    share: f64,
    p50: u64,
    p99: u64,
    p999: u64,
}

impl World {
    pub(super) fn figure(&self) -> Figure {
        let of = &self.scenario;
        let within = |at, from, to| of.within(at, from, to);
        let came = |call: &Call| call.came - self.base;
        let quiet = self.ended(|call| came(call) > ms(1_000) && came(call) < LEAD);
        let fault = self.ended(|call| within(came(call), of.from, of.to));
        let later = self.ended(|call| within(came(call), of.length + ms(1_000), PERIOD));
        let served = self.ended(|call| within(came(call) + call.latency, of.from, of.to));
        let window = (of.to - of.from).as_millis() as u64 * u64::from(of.rounds);
        let whole = (LEAD + of.rounds * PERIOD).as_secs_f64() * self.names.len() as f64;
        let spent = self.places.iter().map(|place| place.budget.spent());
        Figure {
            scenario: of.name.clone(),
            mode: self.mode.name.clone(),
            goodput: percent(
                ends(&served, Kind::Ok),
                (window * of.capacity() / 1_000) as usize,
            ),
            recovered: percent(ends(&later, Kind::Ok), later.len()),
            repeats: percent(self.repeats, self.calls.len()),
            handed: percent(self.handed, self.calls.len()),
            bytes: spent.clone().map(|spent| spent.bytes).sum::<u64>() as f64 / whole,
            messages: spent.map(|spent| spent.messages).sum::<u64>() as f64 / whole,
            false_not_run: self.false_not_run,
            limit_used: self.limit_used(),
            abroad: percent(self.abroad.calls, self.tries.len()),
            abroad_bytes: self.abroad.bytes as f64 / (LEAD + of.rounds * PERIOD).as_secs_f64(),
            in_time: self.in_time(None),
            worst_zone: (0..of.zones)
                .map(|zone| self.in_time(Some(zone)))
                .fold(100.0, f64::min),
            rows: [rows("quiet", &quiet), rows("fault", &fault)].concat(),
        }
    }

    /// Calls after the first second that had a good answer within 400 ms, in percent.
    fn in_time(&self, zone: Option<usize>) -> f64 {
        let of_zone =
            |call: &Call| zone.is_none_or(|zone| call.entry % self.scenario.zones == zone);
        let calls = self.ended(|call| call.came - self.base > ms(1_000) && of_zone(call));
        let good = calls.iter().filter(|call| call.end == Some(Kind::Ok));
        percent(
            good.filter(|call| call.latency <= ms(400)).count(),
            calls.len(),
        )
    }

    fn limit_used(&self) -> f64 {
        let of = &self.scenario;
        let Fault::Limit(percent) = of.fault else {
            return 0.0;
        };
        let time = (of.to - of.from).as_secs_f64() * f64::from(of.rounds);
        self.limited_starts as f64 * 100.0 / (of.max_rate(percent).per_second() * time)
    }

    fn ended(&self, fits: impl Fn(&Call) -> bool) -> Vec<&Call> {
        let ended = self.calls.iter().filter(|call| call.end.is_some());
        ended.filter(|call| fits(call)).collect()
    }
}

fn percent(part: usize, all: usize) -> f64 {
    part as f64 * 100.0 / all.max(1) as f64
}

fn ends(calls: &[&Call], end: Kind) -> usize {
    calls.iter().filter(|call| call.end == Some(end)).count()
}

/// A row over all calls, for each urgency and for each caller.
fn rows(when: &'static str, calls: &[&Call]) -> Vec<Row> {
    let kinds = [
        &["all", "urgent", "routine"][..],
        &CALLERS.map(|(name, ..)| name),
    ]
    .concat();
    kinds
        .into_iter()
        .map(|kind| row(when, kind, calls))
        .collect()
}

fn row(when: &'static str, kind: &'static str, all: &[&Call]) -> Row {
    let wanted: Option<Urgency> = kind.parse().ok();
    let mut calls = all.to_vec();
    calls.retain(|call| {
        let (name, urgency, _) = CALLERS[call.caller];
        kind == "all" || kind == name || wanted == Some(urgency)
    });
    calls.sort_unstable_by_key(|call| call.latency);
    let late = |part: usize| calls.get(calls.len() * part / 1_000);
    let at = |part| late(part).map_or(0, |call| call.latency.as_micros() as u64);
    Row {
        when,
        kind,
        calls: calls.len(),
        good: ends(&calls, Kind::Ok),
        refused: ends(&calls, Kind::Refused),
        share: percent(ends(&calls, Kind::Ok), ends(all, Kind::Ok)),
        p50: at(500),
        p99: at(990),
        p999: at(999),
    }
}

impl Figure {
    /// The 99th percentile in microseconds of an urgency, a caller or `all`, `quiet` or in the
    /// `fault`.
    pub fn p99(&self, when: &str, kind: &str) -> Option<u64> {
        self.row(when, kind).map(|row| row.p99)
    }

    /// The same for one in a thousand.
    pub fn p999(&self, when: &str, kind: &str) -> Option<u64> {
        self.row(when, kind).map(|row| row.p999)
    }

    /// The share of calls with a good answer.
    pub fn good(&self, when: &str, kind: &str) -> Option<f64> {
        let row = self.row(when, kind)?;
        Some(row.good as f64 / row.calls.max(1) as f64)
    }

    fn row(&self, when: &str, kind: &str) -> Option<&Row> {
        let mut rows = self.rows.iter();
        rows.find(|row| row.when == when && row.kind == kind)
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} / {}", self.scenario, self.mode)?;
        write!(f, "  goodput {:.1} % of capacity, ", self.goodput)?;
        writeln!(f, "{:.1} % good a second after", self.recovered)?;
        write!(
            f,
            "  repeats {:.2} %, hand-overs {:.2} %, ",
            self.repeats, self.handed
        )?;
        writeln!(f, "false not-run {}", self.false_not_run)?;
        if self.limit_used > 0.0 {
            writeln!(f, "  {:.1} % of the limit used", self.limit_used)?;
        }
        if self.abroad > 0.0 {
            writeln!(
                f,
                "  abroad {:.2} % of tries, {:.0} bytes/s; in time {:.2} %, worst zone {:.2} %",
                self.abroad, self.abroad_bytes, self.in_time, self.worst_zone
            )?;
        }
        write!(f, "  measuring {:.0} bytes/s, ", self.bytes)?;
        writeln!(f, "{:.2} messages/s a target", self.messages)?;
        for row in &self.rows {
            let [p50, p99, p999] = [row.p50, row.p99, row.p999].map(|us| us as f64 / 1_000.0);
            write!(f, "  {} {:13} {:6} calls", row.when, row.kind, row.calls)?;
            write!(
                f,
                " {:6} good ({:5.1} %) {:6} refused",
                row.good, row.share, row.refused
            )?;
            writeln!(f, "  p50 {p50:8.2}  p99 {p99:8.2}  p99.9 {p999:8.2} ms")?;
        }
        Ok(())
    }
}
