//! The time that a request would take at a target, as estimated at the entry.
//!
//! The estimate is made of the service time, the wait, the way there and back, and what failures
//! would cost. The wait is the number of requests ahead over the gate's limit, times the service
//! time. What a report says of the number ahead counts less the older it is; the rest is the mean
//! over all targets, so that an old report of an idle target draws no herd.

use std::time::Duration;

use tokio::time::Instant;
use unit::Urgency;

use crate::record::{Heard, Record, micros};
use crate::{Need, Preference};

/// Weight of the newest report in the means over all targets.
const MEAN_STEP: f64 = 0.02;
/// Service time assumed before anything is heard, in microseconds.
const FIRST_SERVICE_US: f64 = 10_000.0;
/// A failure counts as an answer this many service times late.
const FAILURE_COST: f64 = 10.0;
/// A hot gate counts as this many service times more. Its queue counts besides, so this matters
/// for one that pauses or leaves and has none; a larger cost makes others hot in turn.
const HOT_COST: f64 = 0.25;
/// A refusal counts as this many service times more. Refused calls are gone at once, so that a
/// gate which refuses would look idle and draw all requests to be refused.
const REFUSED_COST: f64 = 1.0;
/// Service times are told apart when they differ from the mean by more than this share of it.
const ALIKE: f64 = 0.5;
/// Service times and failures fade this many times more slowly than counts of requests.
const SLOW_FADE: u32 = 5;
/// An own call is late when it takes more than this many service times.
const LATE: f64 = 3.0;
/// Late time is spread over this many answers.
const LATE_SPREAD: f64 = 4.0;
/// What a target says of its pace counts for so long, if it says nothing else: it tells of each turn.
const PACE_FOR: Duration = Duration::from_millis(600);
/// The wait at a gate that is just full, in service times.
const FULL_WAIT: f64 = 0.5;

/// What is usual over all targets of the service.
#[derive(Debug, Clone)]
pub(crate) struct Mean {
    pub(crate) service_us: f64,
    /// Requests ahead over the limit, by urgency.
    ahead: [f64; 3],
    limit: f64,
    /// Mean of the paces told, in hundredths.
    pace: f64,
    heard: bool,
}

impl Default for Mean {
    fn default() -> Mean {
        Mean {
            service_us: FIRST_SERVICE_US,
            ahead: [0.0; 3],
            limit: 1.0,
            pace: 0.0,
            heard: false,
        }
    }
}

impl Mean {
    /// Takes a report into the means.
    pub(crate) fn hear(&mut self, report: &unit::Report) {
        let limit = f64::from(report.limit.max(1));
        // The first report is taken whole: before it the means are only assumed.
        let step = if self.heard { MEAN_STEP } else { 1.0 };
        self.heard = true;
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

/// Requests that the gate serves before a new one of `urgency`.
fn ahead(report: &unit::Report, urgency: Urgency) -> u32 {
    let queued = &report.queued[..=urgency.rank()];
    let waiting: u32 = queued.iter().map(|count| u32::from(*count)).sum();
    waiting + u32::from(report.running)
}

/// How the estimate is made at one moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scale<'a> {
    pub(crate) now: Instant,
    pub(crate) mean: &'a Mean,
    pub(crate) half_life: Duration,
    pub(crate) cross_zone_cost: f64,
}

impl Scale<'_> {
    /// The estimated time in microseconds that `need` would take at the target.
    pub(crate) fn estimate(&self, record: &Record, need: &Need<'_>) -> f64 {
        let fresh = self.fresh(record);
        let service = self.service(record);
        let wait = wait(self.load(record, need.urgency, fresh), self.limit(record)) * service;
        let trip = match need.zone {
            Preference::Any => 0.0,
            Preference::Near if !record.near => {
                micros(record.trip) + self.cross_zone_cost * self.mean.service_us
            }
            Preference::Near | Preference::Only => micros(record.trip),
        };
        let heat = self.heat(record, need.urgency, fresh) * service;
        let failing = self.errors(record) * FAILURE_COST * self.mean.service_us;
        service + wait + trip + heat + failing
    }

    /// How far the last report is still believed, 1 for a new one and 0 for none.
    fn fresh(&self, record: &Record) -> f64 {
        let heard = record.heard.map(|heard| heard.at);
        heard.map_or(0.0, |at| self.faded(at, self.half_life))
    }

    /// What is left of something said at `at`: 1 at first, a half after `half_life`.
    fn faded(&self, at: Instant, half_life: Duration) -> f64 {
        let age = self.now.saturating_duration_since(at);
        let ratio = micros(age) / micros(half_life).max(1.0);
        1.0 / (1.0 + ratio * ratio)
    }

    /// The share of failures, fading while nothing is sent, or one failure would last for ever.
    fn errors(&self, record: &Record) -> f64 {
        let failed = record.failed_at;
        failed.map_or(0.0, |at| {
            record.errors * self.faded(at, self.half_life * SLOW_FADE)
        })
    }

    /// Requests ahead: own ones under way, which we know, and those of others, from the report
    /// and from the mean.
    ///
    /// An urgent request passes the own ones that wait for less, so of these only those count
    /// that the report can't have sorted yet. In an overload each entry has many routine calls
    /// in the queues, and its urgent ones would else all go where it has the fewest.
    fn load(&self, record: &Record, urgency: Urgency, fresh: f64) -> f64 {
        let own = record.flying.len();
        let unseen = record.unseen();
        let (mine, counted) = match urgency {
            Urgency::Urgent => (unseen, record.gone),
            Urgency::Routine | Urgency::Batch => (own, (own - unseen) as u32 + record.gone),
        };
        let told = record.heard.map_or(0.0, |heard| {
            let all = ahead(&heard.report, urgency);
            f64::from(all.saturating_sub(counted))
        });
        let usual = self.mean.ahead[urgency.rank()] * self.limit(record);
        told * fresh + usual * (1.0 - fresh) + mine as f64
    }

    /// What a hot gate costs besides its queue, in service times.
    fn heat(&self, record: &Record, urgency: Urgency, fresh: f64) -> f64 {
        let hot = record.heard.is_some_and(|heard| heard.report.hot);
        let hot = if hot { fresh * HOT_COST } else { 0.0 };
        // What is refused is nearly always routine, and says nothing to an urgent request.
        let refused = record.refused_at.filter(|_| urgency != Urgency::Urgent);
        hot + refused.map_or(0.0, |at| self.faded(at, self.half_life) * REFUSED_COST)
    }

    /// Whether the gate said of late that it is hot, or refused a request of this entry.
    ///
    /// Refusals count besides since in an overload the budget holds most reports back.
    pub(crate) fn is_hot(&self, record: &Record) -> bool {
        let hot = record.heard.filter(|heard| heard.report.hot);
        let times = [hot.map(|heard| heard.at), record.refused_at];
        let late = |at: Instant| self.now.saturating_duration_since(at) <= self.half_life;
        times.into_iter().flatten().any(late)
    }

    fn limit(&self, record: &Record) -> f64 {
        let told = record.heard.map(|heard| f64::from(heard.report.limit));
        told.unwrap_or(self.mean.limit).max(1.0)
    }

    /// The service time as last heard, fading to the mean: a target that was slow for a moment
    /// would else never be asked, and so never be heard from again.
    ///
    /// What differs little from the mean counts as the mean. A smoothed time over some ten answers
    /// is off by a quarter by chance, and a choice that follows it goes to the luckiest target
    /// rather than to the idlest.
    fn told_service(&self, record: &Record) -> f64 {
        let mean = self.mean.service_us;
        let Some(heard) = record.heard.filter(|heard| heard.report.service_us > 0) else {
            return record.own_us.unwrap_or(mean);
        };
        let fresh = self.faded(heard.at, self.half_life * SLOW_FADE);
        let off = (f64::from(heard.report.service_us) - mean) * fresh;
        let alike = mean * ALIKE;
        (mean + off - off.clamp(-alike, alike)) * self.pace(&heard)
    }

    /// How much longer than usual work takes at the target at this moment, as it told last.
    ///
    /// Spells in which work takes several times as long last some 150 ms, and the gate tells when one
    /// ends; if that is lost the figure is worth nothing after a while.
    fn pace(&self, heard: &Heard) -> f64 {
        if heard.report.pace == 0 || self.mean.pace <= 0.0 {
            return 1.0;
        }
        let age = self.now.saturating_duration_since(heard.at);
        if age > PACE_FOR {
            return 1.0;
        }
        f64::from(heard.report.pace) / self.mean.pace
    }

    /// The service time, raised while own calls are overdue.
    ///
    /// A target that has suddenly become slow gives no answers, and so no reports: without this
    /// its last good report would draw requests for as long as it is silent.
    fn service(&self, record: &Record) -> f64 {
        let service = self.told_service(record);
        let grace = service * LATE + micros(record.trip);
        let late = |began: &Instant| {
            let age = micros(self.now.saturating_duration_since(*began));
            (age - grace).max(0.0)
        };
        let overdue: f64 = record.flying.iter().map(late).sum();
        service + overdue / LATE_SPREAD
    }
}

/// The wait in service times behind `load` requests at `limit` slots.
///
/// Below the limit it is not zero but rises smoothly, since others send at the same time and the
/// report is old.
fn wait(load: f64, limit: f64) -> f64 {
    let ratio = load / limit;
    if ratio < 1.0 {
        return FULL_WAIT * ratio * ratio;
    }
    FULL_WAIT + (load - limit) / limit
}
