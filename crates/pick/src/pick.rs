//! Chooses targets for the requests of one service at one entry.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use unit::{Instance, Report, Urgency, Zone};

use crate::dump::Line;
use crate::knee::Knee;
use crate::record::{Record, micros};
use crate::region::Home;
use crate::score::{Estimator, Mean};
use crate::shared::Basis;
use crate::work::{self, SERVICE_CLASSES};
use crate::{
    Answer, Builder, Dump, Kind, Need, Preference, Setting, Target, subset, traffic, volume,
};

/// Consecutive failures from which on a target gets trial calls only.
pub(crate) const FAILURE_THRESHOLD: u32 = 2;
/// A failing target gets one trial call in this many times its fair interval, counted in choices.
/// The number doubles with each further failure.
const TRIAL_TURNS: u64 = 8;
/// Limit on the doublings of [`TRIAL_TURNS`].
const MAX_DOUBLINGS: u32 = 5;
/// Longest time between trial calls to a failing target, for services with few requests.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a new target that gave no answer to its first call is called again.
const NEW_TARGET_INTERVAL: Duration = Duration::from_millis(500);
/// Highest price, in mean service times, of a first or trial call to a target in another region.
const MAX_FIRST_CALL_PRICE: f64 = 0.5;
/// Chooses targets for the requests of one service at one entry.
#[derive(Debug)]
pub struct Pick {
    pub(crate) zone: Zone,
    pub(crate) network_delay: Duration,
    pub(crate) zone_delays: Vec<(Zone, Duration)>,
    pub(crate) seed: u64,
    pub(crate) setting: Setting,
    pub(crate) random: Pcg64Mcg,
    /// Number of targets of the service, before the subset.
    pub(crate) known: usize,
    /// Number of those in evacuated zones.
    pub(crate) evacuated: usize,
    /// Regions of the targets that are not evacuated, before the subset.
    pub(crate) regions: BTreeSet<String>,
    /// Sorted by instance.
    pub(crate) records: Vec<Record>,
    pub(crate) mean: Mean,
    pub(crate) home: Option<Home>,
    /// Whether the service has a target in another region than the entry's.
    pub(crate) regional: bool,
    /// Bytes by class of work.
    pub(crate) volumes: volume::Table,
    /// Service times by class of work.
    pub(crate) work: work::Table,
    pub(crate) knee: Knee,
    pub(crate) traffic: traffic::Table,
    /// Number of choices made.
    pub(crate) choices: u64,
}

/// Whether the request may be served in the region of `target`.
fn may_serve(need: &Need<'_>, target: &Target) -> bool {
    need.regions.is_none_or(|regions| {
        regions
            .iter()
            .any(|region| region.as_str() == target.region)
    })
}

impl Pick {
    /// Returns a builder for an entry in `zone`.
    pub fn builder(zone: Zone) -> Builder {
        Builder::new(zone)
    }

    pub(crate) fn new(builder: Builder) -> Pick {
        Pick {
            zone: builder.zone,
            network_delay: builder.network_delay,
            zone_delays: builder.zone_delays,
            seed: builder.seed,
            setting: builder.setting,
            random: Pcg64Mcg::seed_from_u64(builder.seed),
            known: 0,
            evacuated: 0,
            regions: BTreeSet::new(),
            records: Vec::new(),
            mean: Mean::default(),
            home: builder.home,
            regional: false,
            volumes: volume::Table::default(),
            work: work::Table::new(SERVICE_CLASSES),
            knee: Knee::default(),
            traffic: traffic::Table::default(),
            choices: 0,
        }
    }

    /// Sets the targets of the service, in any order.
    ///
    /// Statistics of targets that stay are kept. The share of a new target, or of a new
    /// incarnation, grows with the answers it gives. The targets of the first set are assumed to be
    /// warm until their reports say otherwise.
    ///
    /// Targets in evacuated zones are left out at once, so that a subset holds others in their
    /// place. When they come back, they may be cold and are treated like new ones.
    pub fn set_targets(&mut self, now: Instant, targets: &[Target]) {
        let first = self.known == 0;
        self.known = targets.len();
        self.regional = self.has_target_abroad(targets);
        let open = targets.iter().filter(|target| !target.evacuated);
        let open: Vec<Target> = open.cloned().collect();
        self.evacuated = targets.len() - open.len();
        self.regions = open.iter().map(|target| target.region.clone()).collect();
        let mut chosen = subset::choose(self.seed, self.place(), &open, &self.setting);
        chosen.sort_by(|a, b| a.instance.cmp(&b.instance));
        chosen.dedup_by(|a, b| a.instance == b.instance);
        let records = chosen
            .into_iter()
            .map(|target| self.record(now, target, first));
        self.records = records.collect();
    }

    /// Whether the service has targets, and all of them are in evacuated zones.
    pub fn is_evacuated(&self) -> bool {
        self.known > 0 && self.evacuated == self.known
    }

    /// Whether the service has targets that stay in a region in which the request may be served,
    /// reachable or not.
    ///
    /// Without one the request can't be served, however long it waits. The subset is no measure:
    /// it may lack a region that other entries use.
    pub fn has_allowed_region(&self, need: &Need<'_>) -> bool {
        need.regions.is_none_or(|regions| {
            regions
                .iter()
                .any(|region| self.regions.contains(region.as_str()))
        })
    }

    /// Chooses a target for a request; returns `None` when no target may serve it.
    pub fn choose(&mut self, now: Instant, need: &Need<'_>) -> Option<Instance> {
        let eligible = self.eligible(now, need);
        let new = self.new_target(now, need, &eligible);
        let index = match new.or_else(|| self.trial(now, need, &eligible)) {
            Some(index) => index,
            None => self.choose_by_estimate(now, need, eligible)?,
        };
        self.choices += 1;
        let record = &mut self.records[index];
        record.last_choice = self.choices;
        record.last_chosen_at = Some(now);
        Some(record.target.instance.clone())
    }

    /// Whether some target that may serve the request has neither reported that it is hot nor
    /// refused a request of late.
    ///
    /// A request that one gate has refused is worth a handover only then. When all targets are hot,
    /// a handover brings one more refusal and adds load to an overloaded service.
    pub fn has_available_target(&self, now: Instant, need: &Need<'_>) -> bool {
        let estimator = self.estimator(now);
        let eligible = self.eligible(now, need);
        eligible
            .into_iter()
            .any(|index| !estimator.is_hot(&self.records[index]))
    }

    /// Whether some target that may serve the request is known not to be slow, is not failing, and
    /// has neither reported that it is hot nor refused a request of late.
    pub fn has_fast_target(&self, now: Instant, need: &Need<'_>) -> bool {
        let estimator = self.estimator(now);
        let eligible = self.eligible(now, need);
        eligible.into_iter().any(|index| {
            let record = &self.records[index];
            let reported = record.received.map(|received| received.report);
            let fast = reported.is_some_and(|report| report.pace > 0 && !report.slow);
            fast && record.failures < FAILURE_THRESHOLD && !estimator.is_hot(record)
        })
    }

    /// Returns what is known of `instance`.
    pub(crate) fn basis(&self, now: Instant, instance: &Instance) -> Basis {
        let index = self.index_of(instance).ok();
        let received = index.and_then(|index| self.records[index].received);
        Basis {
            age: received.map(|received| now.saturating_duration_since(received.at)),
            slow: received.is_some_and(|received| received.report.slow),
        }
    }

    /// Records the start of a call to `instance`.
    pub fn begin(&mut self, now: Instant, instance: &Instance) {
        if let Some(record) = self.record_mut(instance) {
            record.begin(now);
        }
    }

    /// Records the end of a call that [`Pick::begin`] recorded.
    pub fn end(&mut self, now: Instant, instance: &Instance, answer: &Answer) {
        if let Ok(index) = self.index_of(instance) {
            self.records[index].end(now, answer);
            self.learn(now, index, answer);
        }
        if let Some(report) = answer.report {
            self.mean.add_report(&report);
        }
    }

    /// Learns the service time of the answer's class, if it tells it.
    ///
    /// An answer whose gate has a queue, or whose target is slow for a moment, took longer than the
    /// work does.
    fn learn(&mut self, now: Instant, index: usize, answer: &Answer) {
        let undisturbed = |report: &Report| report.waiting() == 0 && !report.slow && !report.hot;
        let Some(report) = answer.report.filter(undisturbed) else {
            return;
        };
        if !self.setting.by_class || answer.kind != Kind::Ok {
            return;
        }
        let record = &mut self.records[index];
        let us = micros(answer.latency.saturating_sub(record.round_trip));
        if let Some(mean) = self.work.mean(answer.class) {
            let occupancy = f64::from(report.running) / f64::from(report.limit.max(1));
            let expected = record.speed.time(now, answer.class, mean);
            self.knee.record(occupancy, us / expected);
        }
        record.speed.record(&mut self.work, now, answer.class, us);
    }

    /// Records a report that arrived without an answer: from a probe, or in a notice of a hot gate.
    pub fn receive_report(&mut self, now: Instant, instance: &Instance, report: Report) {
        if let Some(record) = self.record_mut(instance) {
            record.receive_report(now, report);
            self.mean.add_report(&report);
        }
    }

    /// Sets whether `instance` is unreachable for lack of a link.
    pub fn set_unreachable(&mut self, instance: &Instance, unreachable: bool) {
        if let Some(record) = self.record_mut(instance) {
            record.unreachable = unreachable;
        }
    }

    /// The instances in this entry's subset.
    pub fn instances(&self) -> Vec<Instance> {
        let records = self.records.iter();
        records
            .map(|record| record.target.instance.clone())
            .collect()
    }

    /// The target with the oldest report, or with none: the one to probe next.
    pub fn stalest(&self, now: Instant) -> Option<Instance> {
        let staying = self.records.iter().filter(|record| !record.target.leaving);
        let age = |record: &&Record| {
            let received = record.received;
            received.map_or(Duration::MAX, |received| {
                now.saturating_duration_since(received.at)
            })
        };
        staying
            .max_by_key(age)
            .map(|record| record.target.instance.clone())
    }

    /// The state, for the operator's dump.
    pub fn dump(&self, now: Instant) -> Dump {
        Dump {
            zone: self.zone.clone(),
            known: self.known,
            evacuated: self.evacuated,
            choices: self.choices,
            regions: self.traffic.counts(),
            service_us: self.mean.service_us as u64,
            targets: self
                .records
                .iter()
                .map(|record| self.dump_target(now, record))
                .collect(),
        }
    }

    fn dump_target(&self, now: Instant, record: &Record) -> Line {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let estimator = self.estimator(now);
        let estimate = estimator.estimate(record, &Need::default(), 0.0);
        Line {
            target: record.target.clone(),
            running: record.in_flight.len(),
            answered: record.answered,
            failures: record.failures,
            errors: record.error_rate,
            round_trip_us: record.round_trip.as_micros() as u64,
            speed: record.speed.ratio(now),
            report: record.received.map(|received| received.report),
            report_age_ms: record.received.map(|received| age(received.at)),
            estimate_us: estimate as u64,
        }
    }

    fn record(&self, now: Instant, target: Target, present_at_start: bool) -> Record {
        if let Ok(index) = self.index_of(&target.instance) {
            let old = &self.records[index];
            if old.target.incarnation == target.incarnation && old.target.zone == target.zone {
                let mut kept = old.clone();
                kept.target = target;
                return kept;
            }
            // The new incarnation is as reachable as the previous one was.
            let mut record = self.new_record(now, target, present_at_start);
            record.unreachable = old.unreachable;
            return record;
        }
        self.new_record(now, target, present_at_start)
    }

    pub(crate) fn index_of(&self, instance: &Instance) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.target.instance.cmp(instance))
    }

    fn record_mut(&mut self, instance: &Instance) -> Option<&mut Record> {
        let index = self.index_of(instance).ok()?;
        self.records.get_mut(index)
    }

    pub(crate) fn estimator(&self, now: Instant) -> Estimator<'_> {
        Estimator {
            now,
            mean: &self.mean,
            work: self.setting.by_class.then_some(&self.work),
            knee: &self.knee,
            half_life: self.setting.half_life,
            cross_zone_cost: self.setting.cross_zone_cost,
        }
    }

    /// Indices of the targets that may serve the request: those that have a link and take work.
    ///
    /// If there are none, a first attempt may go to a target whose gate is closed, which refuses
    /// within a round trip. A target without a link is never eligible: nothing answers there, and
    /// the request would hang until its deadline. That happens, for example, to each refused
    /// request when two of three targets are full and the third has lost power.
    fn eligible(&self, now: Instant, need: &Need<'_>) -> Vec<usize> {
        let may = |record: &Record| {
            !record.target.leaving
                && may_serve(need, &record.target)
                && (need.zone != Preference::Only || record.same_zone)
                && !need.exclude.contains(&record.target.instance)
        };
        let indices = self.records.iter().enumerate();
        let eligible: Vec<usize> = indices
            .filter(|(_, record)| may(record))
            .map(|(index, _)| index)
            .collect();
        let is_open = |index: &usize| self.records[*index].is_open(now);
        let open: Vec<usize> = eligible.iter().copied().filter(is_open).collect();
        if !open.is_empty() || !need.exclude.is_empty() {
            return open;
        }
        let has_link = |index: &usize| !self.records[*index].unreachable;
        eligible.into_iter().filter(has_link).collect()
    }

    /// Returns a new target that has not answered this entry yet, with a chance of its fair share.
    ///
    /// At low load the estimates keep requests in their zone, so a target that joins in another
    /// zone would never be called, and its speed would be unknown when it is needed. One request of
    /// each entry gives that.
    ///
    /// The fair share makes all entries together send it the load of one target. If each entry
    /// called it at once, a new target among 99 would get the first requests of some 40 entries
    /// while it is slowest.
    fn new_target(&mut self, now: Instant, need: &Need<'_>, eligible: &[usize]) -> Option<usize> {
        if need.urgency == Urgency::Urgent || need.zone == Preference::Only {
            return None;
        }
        let untried = |index: &usize| {
            let record = &self.records[*index];
            // The daemon may be up before its target is.
            let rested = |at: Instant| now.saturating_duration_since(at) >= NEW_TARGET_INTERVAL;
            let idle = record.in_flight.is_empty() && record.last_chosen_at.is_none_or(rested);
            // A request that moves many bytes is not used to find out about another region.
            let cheap = record.same_region || self.price_abroad(now, need) <= MAX_FIRST_CALL_PRICE;
            cheap
                && idle
                && record.answered == 0
                && record.failures == 0
                && !record.present_at_start
                && !self.has_ramped(now, record)
        };
        let untried: Vec<usize> = eligible.iter().copied().filter(untried).collect();
        let share = 1.0 / eligible.len().max(1) as f64;
        let random = &mut self.random;
        untried.into_iter().find(|_| random.random_bool(share))
    }

    /// Returns a failing target that is due for a trial call.
    ///
    /// It bypasses the estimate, by which it would never be chosen. An urgent request is used for
    /// this only if the target has not been chosen for [`TRIAL_INTERVAL`].
    fn trial(&self, now: Instant, need: &Need<'_>, eligible: &[usize]) -> Option<usize> {
        let urgent = need.urgency == Urgency::Urgent;
        let due = |index: &usize| {
            let record = &self.records[*index];
            let cheap = record.same_region || self.price_abroad(now, need) <= MAX_FIRST_CALL_PRICE;
            cheap && record.failures > 0 && self.is_due(now, record, eligible.len(), urgent)
        };
        eligible.iter().copied().find(due)
    }

    fn choose_by_estimate(
        &mut self,
        now: Instant,
        need: &Need<'_>,
        eligible: Vec<usize>,
    ) -> Option<usize> {
        let mut open = self.uncapped(now, &eligible);
        if open.is_empty() {
            // When all are failing or new, a capped target is better than none.
            open = eligible;
        }
        let considered = match need.urgency {
            _ if self.is_short(need.class) => open,
            Urgency::Urgent => open,
            Urgency::Routine | Urgency::Batch => self.sample(open),
        };
        self.draw(now, need, &considered)
    }

    /// Whether a failing target is due for a trial call.
    ///
    /// A target that fails fast looks idle, and a choice by load would send it ever more requests.
    /// Its share is capped by the number of choices rather than by time, so that the cap holds at
    /// any request rate.
    fn is_due(&self, now: Instant, record: &Record, count: usize, urgent: bool) -> bool {
        let doublings = (record.failures - 1).min(MAX_DOUBLINGS);
        let turns = (TRIAL_TURNS << doublings) * count as u64;
        let waited = self.choices - record.last_choice >= turns && !urgent;
        let rested = |at: Instant| now.saturating_duration_since(at) >= TRIAL_INTERVAL;
        record.in_flight.is_empty() && (waited || record.last_chosen_at.is_none_or(rested))
    }
}
