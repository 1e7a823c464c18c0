//! The choice for one service at one entry.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use unit::{Instance, Report, Urgency, Zone};

use crate::dump::Line;
use crate::record::Record;
use crate::score::{Mean, Scale};
use crate::shared::Basis;
use crate::{Answer, Builder, Dump, Need, Preference, Setting, Target, subset};

/// From this many failures in a row on, the share of a target is capped.
const FAILING: u32 = 2;
/// A failing target is tried once in this many of its fair turns, doubled with each failure.
const FAILING_TURNS: u64 = 8;
/// The doubling stops here.
const MAX_DOUBLINGS: u32 = 5;
/// A failing target is tried at least this often, however few requests there are.
const FAILING_PAUSE: Duration = Duration::from_secs(5);
/// A target that has joined and had nothing to answer is tried again after this long.
const NEWCOMER_AGAIN: Duration = Duration::from_millis(500);
/// The part of its fair share at which a new target gets its first call.
const FIRST_CALL: f64 = 0.25;
/// A difference of this share of the service time halves the chance of the worse target.
const SPREAD: f64 = 0.1;
/// The spread is never below this, in microseconds.
const MIN_SPREAD_US: f64 = 100.0;

/// The choice for one service at one entry.
#[derive(Debug)]
pub struct Pick {
    zone: Zone,
    way: Duration,
    far: Vec<(Zone, Duration)>,
    seed: u64,
    setting: Setting,
    random: Pcg64Mcg,
    known: usize,
    /// By instance, ascending.
    records: Vec<Record>,
    mean: Mean,
    choices: u64,
}

/// The chance of a target of which nothing is known.
///
/// One that was there first is taken as warm. Of one that came later we can't say, and one call
/// at a time brings the report that tells.
fn unheard(record: &Record, fair: f64) -> f64 {
    if record.settled {
        return 1.0;
    }
    let idle = record.flying.is_empty();
    if idle {
        (fair * FIRST_CALL).min(1.0)
    } else {
        0.0
    }
}

/// A target that may be chosen, with its estimate.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    place: usize,
    estimate: f64,
}

impl Pick {
    /// Begins a choice for an entry in `zone`.
    pub fn builder(zone: Zone) -> Builder {
        Builder::new(zone)
    }

    pub(crate) fn new(builder: Builder) -> Pick {
        Pick {
            zone: builder.zone,
            way: builder.way,
            far: builder.far,
            seed: builder.seed,
            setting: builder.setting,
            random: Pcg64Mcg::seed_from_u64(builder.seed),
            known: 0,
            records: Vec::new(),
            mean: Mean::default(),
            choices: 0,
        }
    }

    /// Sets the targets of the service; order does not matter.
    ///
    /// Statistics of targets that stay are kept. One that comes, or comes with a new incarnation,
    /// gets its share as it gives answers. The first set of targets has nothing to compare with,
    /// so its members are taken as warm until their reports say otherwise.
    pub fn set_targets(&mut self, _now: Instant, targets: &[Target]) {
        let first = self.records.is_empty();
        self.known = targets.len();
        let mut chosen = subset::choose(self.seed, &self.zone, targets, &self.setting);
        chosen.sort_by(|a, b| a.instance.cmp(&b.instance));
        chosen.dedup_by(|a, b| a.instance == b.instance);
        let records = chosen.into_iter().map(|target| self.record(target, first));
        self.records = records.collect();
    }

    /// Chooses a target for a request, or none when no target may serve it.
    pub fn choose(&mut self, now: Instant, need: &Need<'_>) -> Option<Instance> {
        let able = self.able(now, need);
        let turn = self.newcomer(now, need, &able);
        let place = match turn.or_else(|| self.trial(now, need, &able)) {
            Some(place) => place,
            None => self.best(now, need, able)?,
        };
        self.choices += 1;
        let record = &mut self.records[place];
        record.tried = self.choices;
        record.tried_at = Some(now);
        Some(record.target.instance.clone())
    }

    /// Whether some target that may serve the request was not hot when last heard from.
    ///
    /// A request that one gate has refused is worth a hand-over only then. When all are hot, a
    /// hand-over is one more refusal, and more load just where there is too much.
    pub fn has_available_target(&self, now: Instant, need: &Need<'_>) -> bool {
        let scale = self.scale(now);
        let able = self.able(now, need);
        able.into_iter()
            .any(|place| !scale.is_hot(&self.records[place]))
    }

    /// Whether some target that may serve the request has told that it is not slow, and was not hot
    /// when last heard from.
    pub fn has_fast_target(&self, now: Instant, need: &Need<'_>) -> bool {
        let scale = self.scale(now);
        let able = self.able(now, need);
        able.into_iter().any(|place| {
            let record = &self.records[place];
            let told = record.heard.map(|heard| heard.report);
            let quick = told.is_some_and(|report| report.pace > 0 && !report.slow);
            quick && record.failures < FAILING && !scale.is_hot(record)
        })
    }

    /// What is known of `instance`.
    pub(crate) fn basis(&self, now: Instant, instance: &Instance) -> Basis {
        let place = self.place(instance).ok();
        let heard = place.and_then(|place| self.records[place].heard);
        Basis {
            age: heard.map(|heard| now.saturating_duration_since(heard.at)),
            slow: heard.is_some_and(|heard| heard.report.slow),
        }
    }

    /// Counts a call to `instance` that begins now.
    pub fn begin(&mut self, now: Instant, instance: &Instance) {
        if let Some(record) = self.find(instance) {
            record.begin(now);
        }
    }

    /// Ends a call that [`Pick::begin`] counted.
    pub fn end(&mut self, now: Instant, instance: &Instance, answer: &Answer) {
        if let Some(record) = self.find(instance) {
            record.end(now, answer);
        }
        if let Some(report) = answer.report {
            self.mean.hear(&report);
        }
    }

    /// Takes a report that came without an answer: of a probe, or a notice of a hot gate.
    pub fn receive_report(&mut self, now: Instant, instance: &Instance, report: Report) {
        if let Some(record) = self.find(instance) {
            record.hear(now, report);
            self.mean.hear(&report);
        }
    }

    /// Notes whether there is a link to `instance`.
    pub fn set_unreachable(&mut self, instance: &Instance, unreachable: bool) {
        if let Some(record) = self.find(instance) {
            record.cut = unreachable;
        }
    }

    /// The instances that are chosen among.
    pub fn instances(&self) -> Vec<Instance> {
        let records = self.records.iter();
        records
            .map(|record| record.target.instance.clone())
            .collect()
    }

    /// The target that was not heard from for the longest time: the one worth a probe.
    pub fn stalest(&self, now: Instant) -> Option<Instance> {
        let staying = self.records.iter().filter(|record| !record.target.leaving);
        let age = |record: &&Record| {
            let heard = record.heard;
            heard.map_or(Duration::MAX, |heard| {
                now.saturating_duration_since(heard.at)
            })
        };
        staying
            .max_by_key(age)
            .map(|record| record.target.instance.clone())
    }

    /// The state for the operator.
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            zone: self.zone.clone(),
            known: self.known,
            choices: self.choices,
            service_us: self.mean.service_us as u64,
            targets: self
                .records
                .iter()
                .map(|record| self.line(now, record))
                .collect(),
        }
    }

    fn line(&self, now: Instant, record: &Record) -> Line {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let estimate = self.scale(now).estimate(record, &Need::default());
        Line {
            target: record.target.clone(),
            running: record.flying.len(),
            answered: record.answered,
            failures: record.failures,
            errors: record.errors,
            report: record.heard.map(|heard| heard.report),
            report_age_ms: record.heard.map(|heard| age(heard.at)),
            estimate_us: estimate as u64,
        }
    }

    fn record(&self, target: Target, settled: bool) -> Record {
        if let Ok(place) = self.place(&target.instance) {
            let old = &self.records[place];
            if old.target.incarnation == target.incarnation && old.target.zone == target.zone {
                let mut kept = old.clone();
                kept.target = target;
                return kept;
            }
            // A new life is as reachable as the last one was.
            let near = target.zone == self.zone;
            let trip = self.way_to(&target.zone) * 2;
            let mut record = Record::new(target, trip, near, settled);
            record.cut = old.cut;
            return record;
        }
        let near = target.zone == self.zone;
        let trip = self.way_to(&target.zone) * 2;
        Record::new(target, trip, near, settled)
    }

    fn way_to(&self, zone: &Zone) -> Duration {
        if *zone == self.zone {
            return Duration::ZERO;
        }
        let said = self.far.iter().find(|(known, _)| known == zone);
        said.map_or(self.way, |(_, way)| *way)
    }

    fn place(&self, instance: &Instance) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.target.instance.cmp(instance))
    }

    fn find(&mut self, instance: &Instance) -> Option<&mut Record> {
        let place = self.place(instance).ok()?;
        self.records.get_mut(place)
    }

    fn scale(&self, now: Instant) -> Scale<'_> {
        Scale {
            now,
            mean: &self.mean,
            half_life: self.setting.half_life,
            cross_zone_cost: self.setting.cross_zone_cost,
        }
    }

    /// Places of the targets that may serve the request: those to which there is a way and which
    /// take work.
    ///
    /// Where there is none of them, a first try still asks those whose gates are closed, which say
    /// no within a round trip. One without a link is never asked: nothing answers there, and the
    /// request would hang until its deadline. With two of three targets full and the third without
    /// power, each refused request ended so.
    fn able(&self, now: Instant, need: &Need<'_>) -> Vec<usize> {
        let may = |record: &Record| {
            !record.target.leaving
                && (need.zone != Preference::Only || record.near)
                && !need.exclude.contains(&record.target.instance)
        };
        let places = self.records.iter().enumerate();
        let able: Vec<usize> = places
            .filter(|(_, record)| may(record))
            .map(|(place, _)| place)
            .collect();
        let is_open = |place: &usize| self.records[*place].is_open(now);
        let open: Vec<usize> = able.iter().copied().filter(is_open).collect();
        if !open.is_empty() || !need.exclude.is_empty() {
            return open;
        }
        let has_link = |place: &usize| !self.records[*place].cut;
        able.into_iter().filter(has_link).collect()
    }

    /// A target that has joined and has given no answer here yet.
    ///
    /// Where there is little to do, the estimates keep requests in their zone, and one that joins in
    /// another zone would never be asked: nobody would know how quick it is when it is needed. One
    /// request of each entry tells.
    ///
    /// Each choice asks it at its fair share, so that all entries together send it what one target is
    /// meant to have. Asked by each at once, a new target among 99 had the first requests of some 40
    /// entries in the moment in which it was slowest.
    fn newcomer(&mut self, now: Instant, need: &Need<'_>, able: &[usize]) -> Option<usize> {
        if need.urgency == Urgency::Urgent || need.zone == Preference::Only {
            return None;
        }
        let untried = |place: &usize| {
            let record = &self.records[*place];
            // Its daemon may be there before it is.
            let rested = |at: Instant| now.saturating_duration_since(at) >= NEWCOMER_AGAIN;
            let idle = record.flying.is_empty() && record.tried_at.is_none_or(rested);
            idle && record.answered == 0 && record.failures == 0 && !record.settled
        };
        let untried: Vec<usize> = able.iter().copied().filter(untried).collect();
        let share = 1.0 / able.len().max(1) as f64;
        let random = &mut self.random;
        untried.into_iter().find(|_| random.random_bool(share))
    }

    /// The failing target whose turn it is to show that it is well again.
    ///
    /// It is chosen outright, since by its estimate it would never be. Urgent requests are not
    /// spent on this while there are others.
    fn trial(&self, now: Instant, need: &Need<'_>, able: &[usize]) -> Option<usize> {
        let urgent = need.urgency == Urgency::Urgent;
        let due = |place: &usize| {
            let record = &self.records[*place];
            record.failures > 0 && self.is_due(now, record, able.len(), urgent)
        };
        able.iter().copied().find(due)
    }

    fn best(&mut self, now: Instant, need: &Need<'_>, able: Vec<usize>) -> Option<usize> {
        let mut open = self.open(&able);
        if open.is_empty() {
            // When all of them fail or are new, a capped one is better than none.
            open = able;
        }
        let looked_at = match need.urgency {
            Urgency::Urgent => open,
            Urgency::Routine | Urgency::Batch => self.sample(open),
        };
        self.draw(now, need, &looked_at)
    }

    /// Those of `able` whose share is not capped at this turn.
    fn open(&mut self, able: &[usize]) -> Vec<usize> {
        let count = able.len();
        let mut open = Vec::with_capacity(count);
        for place in able {
            let record = &self.records[*place];
            let chance = self.chance(record, count);
            let sound = record.failures < FAILING;
            if sound && (chance >= 1.0 || self.random.random_bool(chance)) {
                open.push(*place);
            }
        }
        open
    }

    /// Whether a failing target may be tried again.
    ///
    /// A target that fails fast looks idle, and a choice by load would send it ever more. Its
    /// share is capped by turns and not by time, so that the cap holds at any request rate.
    fn is_due(&self, now: Instant, record: &Record, count: usize, urgent: bool) -> bool {
        let doublings = (record.failures - 1).min(MAX_DOUBLINGS);
        let turns = (FAILING_TURNS << doublings) * count as u64;
        let waited = self.choices - record.tried >= turns && !urgent;
        let rested = |at: Instant| now.saturating_duration_since(at) >= FAILING_PAUSE;
        record.flying.is_empty() && (waited || record.tried_at.is_none_or(rested))
    }

    /// The chance that a target which is not warm yet is looked at.
    ///
    /// A cold target is idle and slow at once. With a full look-in it would win each comparison,
    /// so its chance is cut to a part of its fair share that grows with the answers it has given.
    fn chance(&self, record: &Record, count: usize) -> f64 {
        let fair = self.setting.sample as f64 / count as f64;
        if record.heard.is_none() && record.answered == 0 {
            return unheard(record, fair);
        }
        let answers = f64::from(record.answers());
        let ramp = f64::from(self.setting.ramp.max(1));
        if answers >= ramp || record.heard.is_none() && record.settled {
            return 1.0;
        }
        let part = (answers + 1.0) / (ramp + 1.0);
        part * (fair / (1.0 - part)).min(1.0)
    }

    /// A sample of the targets near and of those far.
    fn sample(&mut self, open: Vec<usize>) -> Vec<usize> {
        let records = &self.records;
        let (near, far): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|place| records[*place].near);
        let mut sample = self.some_of(near);
        sample.extend(self.some_of(far));
        sample
    }

    fn some_of(&mut self, mut places: Vec<usize>) -> Vec<usize> {
        let count = self.setting.sample.min(places.len());
        for i in 0..count {
            let other = self.random.random_range(i..places.len());
            places.swap(i, other);
        }
        places.truncate(count);
        places
    }

    /// Draws among the best few, the better the likelier.
    fn draw(&mut self, now: Instant, need: &Need<'_>, places: &[usize]) -> Option<usize> {
        let scale = self.scale(now);
        let candidate = |place: &usize| Candidate {
            place: *place,
            estimate: scale.estimate(&self.records[*place], need),
        };
        let mut candidates: Vec<Candidate> = places.iter().map(candidate).collect();
        candidates.sort_by(|a, b| a.estimate.total_cmp(&b.estimate));
        if need.urgency == Urgency::Urgent {
            candidates.truncate(self.setting.best.max(1));
        }
        let best = candidates.first()?.estimate;
        let spread = (self.mean.service_us * SPREAD).max(MIN_SPREAD_US);
        let weight = |candidate: &Candidate| {
            let near = 1.0 / (1.0 + (candidate.estimate - best) / spread);
            near * near * near
        };
        let total: f64 = candidates.iter().map(weight).sum();
        let mut left = self.random.random_range(0.0..total);
        let last = candidates.last()?.place;
        for candidate in &candidates {
            left -= weight(candidate);
            if left < 0.0 {
                return Some(candidate.place);
            }
        }
        Some(last)
    }
}
