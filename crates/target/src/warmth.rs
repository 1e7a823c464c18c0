//! Tracks whether the target is warm, from heartbeats and health checks.

use std::time::Duration;

use gate::Warmup;
use tokio::time::Instant;

use crate::server::Server;

/// A heartbeat may be this old when it arrives.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(3);

/// Minimum time from the end of a daemon to the start of the next one beside the same target.
const REPLACEMENT_TIME: Duration = Duration::from_millis(200);

/// How the target reported the rest of its warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// By a heartbeat, which may have been delayed.
    Heartbeat,
    /// By its answer to a health check that was sent at this time.
    Health(Instant),
}

/// What is known of the target's warm-up.
///
/// The target counts as cold until it has reported otherwise after the last doubt. A report that it
/// is cold holds until that time has passed: a later report that it is warm may have been delayed.
#[derive(Debug, Clone, Copy)]
pub struct Warmth {
    doubted_at: Instant,
    cold_until: Option<Instant>,
    is_confirmed: bool,
}

impl Warmth {
    /// Starts without any report.
    pub fn unknown(now: Instant) -> Warmth {
        Warmth {
            doubted_at: now,
            cold_until: None,
            is_confirmed: false,
        }
    }

    /// Records that the target may have become cold without a report: another life has begun, it
    /// could not be reached, or the evacuation of its zone has ended.
    pub fn doubt(&mut self, now: Instant) {
        self.doubted_at = now;
        self.is_confirmed = false;
    }

    /// Records that the target reports to stay cold for `remaining`; zero if it is warm.
    pub fn report(&mut self, now: Instant, remaining: Duration, source: Source) {
        if remaining > Duration::ZERO {
            let until = now + remaining;
            self.cold_until = self.cold_until.max(Some(until));
            self.is_confirmed = true;
            return;
        }
        let reported_after = match source {
            Source::Heartbeat => now.checked_sub(MAX_HEARTBEAT_DELAY),
            Source::Health(asked_at) => Some(asked_at),
        };
        self.is_confirmed |= reported_after.is_some_and(|at| at >= self.doubted_at);
    }

    /// What the gate may assume.
    pub fn warmup(&self, now: Instant) -> Warmup {
        match self.cold_until.filter(|until| now < *until) {
            // The gate takes the target for warm at the end of a known warm-up.
            _ if !self.is_confirmed => Warmup::Unknown,
            Some(until) => Warmup::Until(until),
            None => Warmup::Done,
        }
    }
}

impl Server {
    /// Records that the target may have become cold, and requests a health check.
    pub fn doubt_warmth(&self) {
        let now = Instant::now();
        self.update_warmth(now, |warmth| warmth.doubt(now));
        self.request_life_check();
    }

    /// Records how long the target reports to stay cold.
    pub(crate) fn record_warmth(&self, remaining: Duration, source: Source) {
        let now = Instant::now();
        self.update_warmth(now, |warmth| warmth.report(now, remaining, source));
        let warmup = self.cold_limits.lock().warmup;
        let age = warmup.and_then(|warmup| warmup.checked_sub(remaining));
        // A gate that ran before this one sent nothing to a target that has become cold since.
        if age.is_some_and(|age| now + REPLACEMENT_TIME >= self.started_at + age) {
            self.gate.no_former_starts();
        }
    }

    /// Changes what is known of the target's warm-up, and updates the gate.
    fn update_warmth(&self, now: Instant, change: impl FnOnce(&mut Warmth)) {
        let (before, after) = {
            let mut warmth = self.warmth.lock();
            let before = warmth.warmup(now);
            change(&mut warmth);
            (before, warmth.warmup(now))
        };
        self.update_cold_bound();
        if before == after {
            return;
        }
        let was_cold = matches!(before, Warmup::Until(_));
        if !was_cold && matches!(after, Warmup::Until(_)) {
            self.gate.target_cold();
        }
        self.gate.set_warmup(after);
        match (before, after) {
            // The times of two reports differ by what they took to arrive.
            (Warmup::Until(_), Warmup::Until(_)) => {}
            (_, Warmup::Until(until)) => {
                log::info!("target: cold_ms={}.", (until - now).as_millis());
            }
            (_, Warmup::Unknown) => log::info!("target: counts as cold, no report of its warm-up."),
            (_, Warmup::Done) => log::info!("target: is warm."),
        }
    }

    /// Passes the bound on a cold target to the gate if none may be sent so far. That is so before
    /// the rules are known, and requests may arrive as soon as they are.
    pub(crate) fn lift_initial_cold_bound(&self) {
        if self.cold_limits.lock().max_starts == Some(0) {
            self.update_cold_bound();
        }
    }

    /// Passes the bound on a cold target to the gate, if it has changed.
    pub(crate) fn update_cold_bound(&self) {
        let Some(heartbeats) = &self.heartbeats else {
            return;
        };
        let limits = (heartbeats.cold_target)();
        let before = std::mem::replace(&mut *self.cold_limits.lock(), limits);
        if before.max_starts != limits.max_starts {
            self.gate.set_max_cold_starts(limits.max_starts);
        }
    }
}
