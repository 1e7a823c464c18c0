//! What an entry knows of one target.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use unit::Report;

use crate::{Answer, Kind, Target};

/// Weight of the newest answer in the smoothed share of failures, for a failure.
const FAILURE_STEP: f64 = 0.3;
/// The same for a success: failures are believed sooner than successes.
const SUCCESS_STEP: f64 = 0.15;
/// Weight of the newest own latency in its mean.
const LATENCY_STEP: f64 = 0.1;

/// A target that takes no work is asked again after this long, if it has not told of itself before.
const CLOSED_FOR: Duration = Duration::from_millis(500);

/// How far the begin of a call may be off when it is told by its latency.
const CLOCK_SLACK: Duration = Duration::from_millis(1);

/// A report and when it came.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Heard {
    pub(crate) at: Instant,
    pub(crate) report: Report,
}

/// What an entry knows of one target.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) target: Target,
    /// The way there and back.
    pub(crate) trip: Duration,
    pub(crate) near: bool,
    pub(crate) heard: Option<Heard>,
    /// When the own calls under way began, oldest first.
    pub(crate) flying: VecDeque<Instant>,
    /// Own calls that the last report counted and that have ended since.
    pub(crate) gone: u32,
    pub(crate) answered: u32,
    pub(crate) errors: f64,
    pub(crate) failures: u32,
    pub(crate) failed_at: Option<Instant>,
    pub(crate) refused_at: Option<Instant>,
    /// The number of the choice, and the time, at which it was last chosen.
    pub(crate) tried: u64,
    pub(crate) tried_at: Option<Instant>,
    /// Mean of own latencies without the ways, in microseconds.
    pub(crate) own_us: Option<f64>,
    /// It refused because its target takes no work; it is asked again from then on.
    pub(crate) closed: Option<Instant>,
    /// There is no link to it.
    pub(crate) cut: bool,
    /// Whether it was there when the entry started, so that nothing says that it is cold.
    pub(crate) settled: bool,
}

impl Record {
    pub(crate) fn new(target: Target, trip: Duration, near: bool, settled: bool) -> Record {
        Record {
            target,
            trip,
            near,
            heard: None,
            flying: VecDeque::new(),
            gone: 0,
            answered: 0,
            errors: 0.0,
            failures: 0,
            failed_at: None,
            refused_at: None,
            tried: 0,
            tried_at: None,
            own_us: None,
            closed: None,
            cut: false,
            settled,
        }
    }

    /// Whether there is a way to it, and it takes work as far as is known.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        !self.cut && self.closed.is_none_or(|until| until <= now)
    }

    pub(crate) fn begin(&mut self, now: Instant) {
        self.flying.push_back(now);
    }

    pub(crate) fn end(&mut self, now: Instant, answer: &Answer) {
        if !self.land(now, answer.latency) {
            return;
        }
        match answer.kind {
            Kind::Ok => self.succeed(answer.latency),
            Kind::Error | Kind::Lost => self.fail(now),
            // A refusal is no failure: the gate is full or leaving.
            Kind::Refused => self.refused_at = Some(now),
            Kind::Closed => self.closed = Some(now + CLOSED_FOR),
            // A call that we gave up ourselves says nothing of the target.
            Kind::Cancelled => {}
        }
        if let Some(report) = answer.report {
            self.hear(now, report);
        }
    }

    pub(crate) fn hear(&mut self, now: Instant, report: Report) {
        if self.heard.is_some_and(|heard| heard.at > now) {
            return;
        }
        self.gone = 0;
        self.closed = report.closed.then(|| now + CLOSED_FOR);
        self.heard = Some(Heard { at: now, report });
    }

    /// Own calls under way that the last report can't have counted.
    ///
    /// The report left the gate one way ago, and a call reached it one way after its send.
    pub(crate) fn unseen(&self) -> usize {
        let Some(heard) = self.heard else {
            return self.flying.len();
        };
        let seen = |began: &Instant| *began + self.trip < heard.at;
        self.flying.len() - self.flying.partition_point(seen)
    }

    /// Answers that the target has given, by its own count or ours.
    pub(crate) fn answers(&self) -> u32 {
        let told = self.heard.map_or(0, |heard| heard.report.answered);
        told.max(self.answered)
    }

    /// Takes the call out of those under way; false when it is none of them.
    ///
    /// A call of an earlier incarnation that ends now says nothing of this one. Without this, the
    /// lost calls of a crash would count as failures of the target that has come back.
    fn land(&mut self, now: Instant, latency: Duration) -> bool {
        let began = now.checked_sub(latency).unwrap_or(now);
        let place = self.flying.partition_point(|at| *at < began);
        let exact = self.flying.get(place);
        let exact = exact.is_some_and(|at| *at <= began + CLOCK_SLACK);
        let Some(place) = (if exact {
            Some(place)
        } else {
            place.checked_sub(1)
        }) else {
            return false;
        };
        self.flying.remove(place);
        let seen = self.heard.is_some_and(|heard| began + self.trip < heard.at);
        self.gone += u32::from(seen);
        true
    }

    fn succeed(&mut self, latency: Duration) {
        self.answered = self.answered.saturating_add(1);
        self.failures = 0;
        self.errors -= self.errors * SUCCESS_STEP;
        let us = micros(latency.saturating_sub(self.trip));
        let old = self.own_us.unwrap_or(us);
        self.own_us = Some(old + (us - old) * LATENCY_STEP);
    }

    fn fail(&mut self, now: Instant) {
        self.failed_at = Some(now);
        self.failures = self.failures.saturating_add(1);
        self.errors += (1.0 - self.errors) * FAILURE_STEP;
    }
}

pub(crate) fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
