//! Estimates how long a request would take at a target.
//!
//! The estimate adds the service time, the queueing delay, the network round trip and the costs of
//! overload and of failures. The queueing delay is the number of requests ahead divided by the
//! gate's limit, times the service time. The number ahead from a report loses weight with the
//! report's age in favour of the mean over all targets, so that an old report of an idle target
//! doesn't attract all requests at once.

use std::time::Duration;

use tokio::time::Instant;
use unit::Urgency;

use crate::knee::Knee;
use crate::record::{Received, Record, micros};
use crate::{Need, Preference, work};

/// Weight of the newest report in the means over all targets.
const MEAN_STEP: f64 = 0.02;
/// Service time assumed before the first report, in microseconds.
const INITIAL_SERVICE_US: f64 = 10_000.0;
/// Cost of a certain failure, in mean service times.
const FAILURE_COST: f64 = 10.0;
/// Cost of a hot gate, in service times. Its queue is counted separately, so this matters only for
/// a gate that pauses or leaves and has no queue; a larger cost makes other gates hot in turn.
const HOT_COST: f64 = 0.25;
/// Cost of a recent refusal, in service times. Refused calls end at once, so without it a gate
/// that refuses would look idle and attract all requests.
const REFUSED_COST: f64 = 1.0;
/// Deviations of a service time from the mean within this share of the mean are ignored.
const SERVICE_TOLERANCE: f64 = 0.5;
/// Service times and failure rates decay this many times more slowly than request counts.
const SLOW_DECAY_FACTOR: u32 = 5;
/// A call is overdue when it takes longer than this many service times.
const OVERDUE_FACTOR: f64 = 3.0;
/// Total overdue time is divided by this before it is added to the service time.
const OVERDUE_DIVISOR: f64 = 4.0;
/// How long a reported pace is used. Targets report each change of pace, so this bounds the effect
/// of a lost report.
const PACE_VALIDITY: Duration = Duration::from_millis(600);
/// Queueing delay at a gate that is just full, in service times.
const WAIT_AT_LIMIT: f64 = 0.5;

/// Weight of the newest report in the usual load of one target.
const USUAL_STEP: f64 = 0.1;
/// Reports for which the mean over all targets counts in the usual load of one.
const USUAL_PRIOR: u32 = 5;
/// Load, relative to the limit, up to which a slot is free for a nested request.
const FREE_RATIO: f64 = 0.6;

/// Smoothed figures over all targets of the service.
#[derive(Debug, Clone)]
pub(crate) struct Mean {
    pub(crate) service_us: f64,
    /// Requests ahead divided by the limit, by urgency.
    ahead: [f64; 3],
    limit: f64,
    /// Mean of the reported paces, in hundredths; 0 before the first.
    pace: f64,
    initialized: bool,
}

impl Default for Mean {
    fn default() -> Mean {
        Mean {
            service_us: INITIAL_SERVICE_US,
            ahead: [0.0; 3],
            limit: 1.0,
            pace: 0.0,
            initialized: false,
        }
    }
}

impl Mean {
    /// Adds a report to the means.
    pub(crate) fn add_report(&mut self, report: &unit::Report) {
        let limit = f64::from(report.limit.max(1));
        // The first report replaces the assumed means.
        let step = if self.initialized { MEAN_STEP } else { 1.0 };
        self.initialized = true;
        if report.service_us > 0 {
            let service = f64::from(report.service_us);
            self.service_us += (service - self.service_us) * step;
        }
        self.limit += (limit - self.limit) * step;
        if report.pace > 0 {
            let pace = f64::from(report.pace);
            let step = if self.pace > 0.0 { MEAN_STEP } else { 1.0 };
            self.pace += (pace - self.pace) * step;
        }
        for urgency in Urgency::ALL {
            let ratio = f64::from(ahead(report, urgency)) / limit;
            let mean = &mut self.ahead[urgency.rank()];
            *mean += (ratio - *mean) * step;
        }
    }
}

/// The usual load of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usual {
    /// Requests ahead divided by the limit, by urgency.
    ahead: [f64; 3],
    reports: u32,
}

impl Usual {
    pub(crate) fn add_report(&mut self, report: &unit::Report) {
        self.reports = self.reports.saturating_add(1);
        let step = USUAL_STEP.max(1.0 / f64::from(self.reports));
        let limit = f64::from(report.limit.max(1));
        for urgency in Urgency::ALL {
            let mean = &mut self.ahead[urgency.rank()];
            *mean += (f64::from(ahead(report, urgency)) / limit - *mean) * step;
        }
    }

    /// The usual requests ahead divided by the limit; `mean` counts for a few reports.
    fn ahead(&self, urgency: Urgency, mean: f64) -> f64 {
        let own = f64::from(self.reports.min(USUAL_PRIOR * 4));
        let prior = f64::from(USUAL_PRIOR);
        (self.ahead[urgency.rank()] * own + mean * prior) / (own + prior)
    }
}

/// Number of requests that the gate serves before a new one of `urgency`.
fn ahead(report: &unit::Report, urgency: Urgency) -> u32 {
    let queued = &report.queued[..=urgency.rank()];
    let waiting: u32 = queued.iter().map(|count| u32::from(*count)).sum();
    waiting + u32::from(report.running)
}

/// Computes estimates at one point in time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimator<'a> {
    pub(crate) now: Instant,
    pub(crate) mean: &'a Mean,
    /// Service times by class, if they are used.
    pub(crate) work: Option<&'a work::Table>,
    pub(crate) knee: &'a Knee,
    pub(crate) half_life: Duration,
    pub(crate) cross_zone_cost: f64,
}

impl Estimator<'_> {
    /// Estimates how long a request with `need` would take at the target, in microseconds. In
    /// another region `abroad`, in mean service times, is added.
    pub(crate) fn estimate(&self, record: &Record, need: &Need<'_>, abroad: f64) -> f64 {
        let freshness = self.freshness(record);
        let service = self.service(record);
        let load = self.load(record, need.urgency, freshness);
        let limit = self.limit(record);
        let wait = match self.work {
            Some(_) if need.nested => next_slot_delay(load, limit) * service,
            _ => queueing_delay(load, limit) * service,
        };
        let round_trip = match need.zone {
            _ if !record.same_region => micros(record.round_trip) + abroad * self.mean.service_us,
            Preference::Any => 0.0,
            Preference::Near if !record.same_zone => {
                micros(record.round_trip) + self.cross_zone_cost * self.mean.service_us
            }
            Preference::Near | Preference::Only => micros(record.round_trip),
        };
        let overload_cost = self.overload_cost(record, need.urgency, freshness) * service;
        let failing = self.error_rate(record) * FAILURE_COST * self.mean.service_us;
        let run = self.run(record, need.class, service, load / limit);
        let link = self.link_backlog(record, need, freshness);
        run + wait + round_trip + overload_cost + failing + link
    }

    /// The time that the request itself runs: of its class at this target where that is known,
    /// otherwise the target's `service` time. `ratio` is the load ahead to the limit.
    fn run(&self, record: &Record, class: u32, service: f64, ratio: f64) -> f64 {
        let Some(work) = self.work else {
            return service;
        };
        let Some(mean) = work.mean(class) else {
            return service * self.knee.slowdown(ratio);
        };
        // The service time is raised by the pace and by overdue calls, which slow this one too.
        let slowness = (service / self.mean.service_us.max(1.0)).max(1.0);
        let slowness = if slowness > 1.0 + SERVICE_TOLERANCE {
            slowness
        } else {
            1.0
        };
        record.speed.time(self.now, class, mean) * slowness * self.knee.slowdown(ratio)
    }

    /// The reported backlog of the target's link, for a request whose answer is long.
    fn link_backlog(&self, record: &Record, need: &Need<'_>, freshness: f64) -> f64 {
        let received = record.received.filter(|_| need.bulk);
        received.map_or(0.0, |received| {
            f64::from(received.report.link_ms) * 1_000.0 * freshness
        })
    }

    /// Weight of the last report by its age: 1 for a new one, 0 for none.
    fn freshness(&self, record: &Record) -> f64 {
        let received = record.received.map(|received| received.at);
        received.map_or(0.0, |at| self.decay(at, self.half_life))
    }

    /// Weight of an observation made at `at`: 1 at first, one half after `half_life`.
    fn decay(&self, at: Instant, half_life: Duration) -> f64 {
        let age = self.now.saturating_duration_since(at);
        let ratio = micros(age) / micros(half_life).max(1.0);
        1.0 / (1.0 + ratio * ratio)
    }

    /// The failure rate, which decays while nothing is sent; otherwise one failure would count
    /// for ever.
    fn error_rate(&self, record: &Record) -> f64 {
        let failed = record.failed_at;
        failed.map_or(0.0, |at| {
            record.error_rate * self.decay(at, self.half_life * SLOW_DECAY_FACTOR)
        })
    }

    /// Number of requests ahead: this entry's calls in flight, and those of other entries as
    /// estimated from the report and the mean.
    ///
    /// An urgent request overtakes this entry's less urgent ones in the queue, so for it only those
    /// calls are counted that the report can't contain yet. Otherwise, in an overload in which each
    /// entry has many routine calls queued, all its urgent calls would go to the target where it
    /// has the fewest.
    fn load(&self, record: &Record, urgency: Urgency, freshness: f64) -> f64 {
        let own = record.in_flight.len();
        let unreported = record.unreported();
        let (own, counted) = match urgency {
            Urgency::Urgent => (unreported, record.ended_since_report),
            Urgency::Routine | Urgency::Batch => {
                (own, (own - unreported) as u32 + record.ended_since_report)
            }
        };
        let reported = record.received.map_or(0.0, |received| {
            let all = ahead(&received.report, urgency);
            f64::from(all.saturating_sub(counted))
        });
        let usual = self.usual(record, urgency) * self.limit(record);
        reported * freshness + usual * (1.0 - freshness) + own as f64
    }

    /// Requests ahead divided by the limit that are usual: at this target where times are known by
    /// class, otherwise over all.
    ///
    /// Targets of unlike speed differ in their usual load, as the fast ones get more. Compared by
    /// the mean over all, each entry that has no new report would send them ever more.
    fn usual(&self, record: &Record, urgency: Urgency) -> f64 {
        let mean = self.mean.ahead[urgency.rank()];
        match self.work {
            Some(_) => record.usual.ahead(urgency, mean),
            None => mean,
        }
    }

    /// Cost of a hot or refusing gate besides its queue, in service times.
    fn overload_cost(&self, record: &Record, urgency: Urgency, freshness: f64) -> f64 {
        let hot = record.received.is_some_and(|received| received.report.hot);
        let hot = if hot { freshness * HOT_COST } else { 0.0 };
        // Refused requests are nearly always routine, so a refusal doesn't count for urgent ones.
        let refused = record.refused_at.filter(|_| urgency != Urgency::Urgent);
        hot + refused.map_or(0.0, |at| self.decay(at, self.half_life) * REFUSED_COST)
    }

    /// Whether, within the last half-life, the gate reported that it is hot or refused a request of
    /// this entry.
    ///
    /// Refusals count too, since in an overload the budget holds back most reports.
    pub(crate) fn is_hot(&self, record: &Record) -> bool {
        let hot = record.received.filter(|received| received.report.hot);
        let times = [hot.map(|received| received.at), record.refused_at];
        let recent = |at: Instant| self.now.saturating_duration_since(at) <= self.half_life;
        times.into_iter().flatten().any(recent)
    }

    fn limit(&self, record: &Record) -> f64 {
        let reported = record
            .received
            .map(|received| f64::from(received.report.limit));
        reported.unwrap_or(self.mean.limit).max(1.0)
    }

    /// The last reported service time, decaying to the mean. Without the decay a target that was
    /// slow for a moment would get no calls, and so send no report that corrects the figure.
    ///
    /// Small deviations from the mean are ignored. A smoothed time over about ten answers is off by
    /// a quarter by chance, and following it would favour a target with a lucky figure over the
    /// least loaded one.
    fn reported_service(&self, record: &Record) -> f64 {
        let mean = self.mean.service_us;
        let Some(received) = record
            .received
            .filter(|received| received.report.service_us > 0)
        else {
            return record.latency_us.unwrap_or(mean);
        };
        let freshness = self.decay(received.at, self.half_life * SLOW_DECAY_FACTOR);
        let off = (f64::from(received.report.service_us) - mean) * freshness;
        let tolerance = mean * SERVICE_TOLERANCE;
        (mean + off - off.clamp(-tolerance, tolerance)) * self.pace(&received)
    }

    /// The last reported pace relative to the mean pace; 1 when it is unknown or too old.
    ///
    /// Slowdowns, in which work takes several times as long, last about 150 ms, and the gate
    /// reports their end. In case that report is lost, the pace expires.
    fn pace(&self, received: &Received) -> f64 {
        if received.report.pace == 0 || self.mean.pace <= 0.0 {
            return 1.0;
        }
        let age = self.now.saturating_duration_since(received.at);
        if age > PACE_VALIDITY {
            return 1.0;
        }
        f64::from(received.report.pace) / self.mean.pace
    }

    /// The service time, raised while calls of this entry are overdue.
    ///
    /// A target that suddenly becomes slow sends no answers and so no reports. Without this its
    /// last good report would attract requests for as long as it doesn't answer.
    fn service(&self, record: &Record) -> f64 {
        let service = self.reported_service(record);
        let grace = service * OVERDUE_FACTOR + micros(record.round_trip);
        let overdue = |began: &Instant| {
            let age = micros(self.now.saturating_duration_since(*began));
            (age - grace).max(0.0)
        };
        let overdue: f64 = record.in_flight.iter().map(overdue).sum();
        service + overdue / OVERDUE_DIVISOR
    }
}

/// The queueing delay behind `load` requests at `limit` slots, in service times.
///
/// Below the limit it rises smoothly instead of being zero, since other entries send at the same
/// time and the report is old.
fn queueing_delay(load: f64, limit: f64) -> f64 {
    let ratio = load / limit;
    if ratio < 1.0 {
        return WAIT_AT_LIMIT * ratio * ratio;
    }
    WAIT_AT_LIMIT + (load - limit) / limit
}

/// The delay of a nested request behind `load` requests at `limit` slots, in service times.
///
/// It waits for the next slot that frees and for none of the queue. It needs no slot to free while
/// one is free, which the report tells only about, so the delay rises over the last slots.
fn next_slot_delay(load: f64, limit: f64) -> f64 {
    let full = ((load / limit - FREE_RATIO) / (1.0 - FREE_RATIO)).clamp(0.0, 1.0);
    full * full / limit
}
