//! What an entry knows of one target.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use unit::Report;

use crate::score::Usual;
use crate::work::Speed;
use crate::{Answer, Kind, Target};

/// Weight of a failure in the smoothed failure rate.
const FAILURE_STEP: f64 = 0.3;
/// Weight of a success; lower, so that the rate rises faster than it falls.
const SUCCESS_STEP: f64 = 0.15;
/// Weight of the newest latency in the smoothed latency.
const LATENCY_STEP: f64 = 0.1;

/// A new measured round trip counts for one in this many.
const ROUND_TRIP_WEIGHT: u32 = 8;

/// How long a target that takes no work is passed over, unless a newer report says otherwise.
const CLOSED_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Tolerance for matching a call by its start time, which is computed from its latency.
const START_TOLERANCE: Duration = Duration::from_millis(1);

/// A report and the time of its arrival.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Received {
    pub(crate) at: Instant,
    pub(crate) report: Report,
}

/// What an entry knows of one target.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) target: Target,
    /// Network round-trip time.
    pub(crate) round_trip: Duration,
    /// The smoothed round-trip time that links have measured, if they have.
    pub(crate) measured: Option<Duration>,
    /// Whether it runs in the entry's zone.
    pub(crate) same_zone: bool,
    /// Whether it runs in the entry's region, or regions are ignored.
    pub(crate) same_region: bool,
    /// Its speed by class of work.
    pub(crate) speed: Speed,
    /// Its usual load.
    pub(crate) usual: Usual,
    pub(crate) received: Option<Received>,
    /// Start times of this entry's calls in flight, oldest first.
    pub(crate) in_flight: VecDeque<Instant>,
    /// Calls of this entry that the last report counted and that have ended since.
    pub(crate) ended_since_report: u32,
    pub(crate) answered: u32,
    /// Smoothed failure rate, 0 to 1.
    pub(crate) error_rate: f64,
    /// Consecutive failures.
    pub(crate) failures: u32,
    pub(crate) failed_at: Option<Instant>,
    pub(crate) refused_at: Option<Instant>,
    /// Value of the choice counter when it was last chosen.
    pub(crate) last_choice: u64,
    pub(crate) last_chosen_at: Option<Instant>,
    /// Smoothed latency of this entry's calls without the network round trip, in microseconds.
    pub(crate) latency_us: Option<f64>,
    /// End of the time for which it is passed over because it takes no work.
    pub(crate) closed_until: Option<Instant>,
    /// Whether the entry has no link to it.
    pub(crate) unreachable: bool,
    /// Whether it was in the first set of targets; such a target is assumed to be warm.
    pub(crate) present_at_start: bool,
    /// When it became known, or its reports showed that it has started again.
    pub(crate) ramp_began: Instant,
}

impl Record {
    /// A new record; `near` says whether the target is in the entry's zone and in its region.
    pub(crate) fn new(
        now: Instant,
        target: Target,
        round_trip: Duration,
        near: (bool, bool),
        present_at_start: bool,
    ) -> Record {
        Record {
            target,
            round_trip,
            measured: None,
            same_zone: near.0,
            same_region: near.1,
            speed: Speed::new(),
            usual: Usual::default(),
            received: None,
            in_flight: VecDeque::new(),
            ended_since_report: 0,
            answered: 0,
            error_rate: 0.0,
            failures: 0,
            failed_at: None,
            refused_at: None,
            last_choice: 0,
            last_chosen_at: None,
            latency_us: None,
            closed_until: None,
            unreachable: false,
            present_at_start,
            ramp_began: now,
        }
    }

    /// Whether there is a link to it and it is not known to take no work.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        !self.unreachable && self.closed_until.is_none_or(|until| until <= now)
    }

    pub(crate) fn begin(&mut self, now: Instant) {
        self.in_flight.push_back(now);
    }

    pub(crate) fn end(&mut self, now: Instant, answer: &Answer) {
        if !self.remove_in_flight(now, answer.latency) {
            return;
        }
        match answer.kind {
            Kind::Ok => self.succeed(answer.latency),
            Kind::Error | Kind::Lost => self.fail(now),
            // A refusal is not a failure of the target: its gate is full or leaving.
            Kind::Refused => self.refused_at = Some(now),
            Kind::Closed => self.closed_until = Some(now + CLOSED_RETRY_INTERVAL),
            // The entry gave the call up itself, which says nothing about the target.
            Kind::Cancelled => {}
        }
        if let Some(report) = answer.report {
            self.receive_report(now, report);
        }
    }

    pub(crate) fn receive_report(&mut self, now: Instant, report: Report) {
        if self.received.is_some_and(|received| received.at > now) {
            return;
        }
        let before = self.received.map_or(0, |received| received.report.answered);
        if report.answered < before {
            self.ramp_began = now;
        }
        self.ended_since_report = 0;
        self.closed_until = report.closed.then(|| now + CLOSED_RETRY_INTERVAL);
        self.usual.add_report(&report);
        self.received = Some(Received { at: now, report });
    }

    /// Takes in a measured round trip, of which single ones contain queueing on the link.
    pub(crate) fn measure(&mut self, round_trip: Duration) {
        let old = self.measured.unwrap_or(round_trip);
        let smoothed = (old * (ROUND_TRIP_WEIGHT - 1) + round_trip) / ROUND_TRIP_WEIGHT;
        self.measured = Some(smoothed);
        self.round_trip = smoothed;
    }

    /// Number of calls in flight that the last report can't have counted.
    ///
    /// The report left the gate one network delay before it arrived here, and a call reaches the
    /// gate one network delay after it was sent.
    pub(crate) fn unreported(&self) -> usize {
        let Some(received) = self.received else {
            return self.in_flight.len();
        };
        let reported = |began: &Instant| *began + self.round_trip < received.at;
        self.in_flight.len() - self.in_flight.partition_point(reported)
    }

    /// Answers that the target has given, by its own count or this entry's, whichever is larger.
    pub(crate) fn answers(&self) -> u32 {
        let reported = self.received.map_or(0, |received| received.report.answered);
        reported.max(self.answered)
    }

    /// Removes the call from those in flight; returns false when it is not among them.
    ///
    /// A call to an earlier incarnation is not among them. Otherwise the calls lost in a crash
    /// would count as failures of the restarted target.
    fn remove_in_flight(&mut self, now: Instant, latency: Duration) -> bool {
        let began = now.checked_sub(latency).unwrap_or(now);
        let index = self.in_flight.partition_point(|at| *at < began);
        let exact = self.in_flight.get(index);
        let exact = exact.is_some_and(|at| *at <= began + START_TOLERANCE);
        let Some(index) = (if exact {
            Some(index)
        } else {
            index.checked_sub(1)
        }) else {
            return false;
        };
        self.in_flight.remove(index);
        let reported = self
            .received
            .is_some_and(|received| began + self.round_trip < received.at);
        self.ended_since_report += u32::from(reported);
        true
    }

    fn succeed(&mut self, latency: Duration) {
        self.answered = self.answered.saturating_add(1);
        self.failures = 0;
        self.error_rate -= self.error_rate * SUCCESS_STEP;
        let us = micros(latency.saturating_sub(self.round_trip));
        let old = self.latency_us.unwrap_or(us);
        self.latency_us = Some(old + (us - old) * LATENCY_STEP);
    }

    fn fail(&mut self, now: Instant) {
        self.failed_at = Some(now);
        self.failures = self.failures.saturating_add(1);
        self.error_rate += (1.0 - self.error_rate) * FAILURE_STEP;
    }
}

pub(crate) fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
