//! What the gate expects: waits, stalls, and whether it would rather be passed over.

use std::time::Duration;

use tokio::time::Instant;
use unit::{Cause, Report, Urgency};

use crate::core::{Core, Held};
use crate::pace;
use crate::refusal::Refusal;
use crate::request::Request;
use crate::suspect::Standing;

/// Room is kept for urgent requests this long after the last one came, so that a target without
/// urgent work has all its slots.
const URGENT_MEMORY: Duration = Duration::from_secs(1);
/// Silence of the target, in usual service times, from which it looks stuck.
const STALL: f64 = 3.0;
/// Added to [`STALL`] for a single running request, and less for more: few requests are often
/// silent for long by chance.
const STALL_FEW: f64 = 9.0;
/// Fewest running requests that can look stuck, where there are as many slots.
const STALL_LEAST: usize = 3;
/// Usual service times without a start after which a probe is due.
const PROBE: u32 = 8;
/// Of the requests that find all used slots taken, one in so many may try a slot of which it is not known
/// whether it is worth using. What that costs ends with the runs that the knee wants to see.
const EXPLORE: u32 = 2;
/// Bounds of what a refused caller is told to wait.
const RETRY_LEAST: Duration = Duration::from_millis(1);
const RETRY_MOST: Duration = Duration::from_secs(5);

impl Core {
    /// Why a request that is no suspect should not wait here.
    pub(crate) fn forecast_objection(&self, now: Instant, request: &Request) -> Option<Cause> {
        let lane = &self.lanes[request.urgency.rank()];
        let full = lane.len() >= self.setting.queue;
        if full && lane.victim(&request.caller, request.weight).is_none() {
            return Some(Cause::Full);
        }
        let wait = self.wait(now, request);
        let blame = |cause| match self.pause {
            Some(until) if until > now => Cause::Shed,
            _ => cause,
        };
        if let Some(goal) = request.goal {
            let run = self.run_time(now, request) + self.latency.spread_of(request);
            let free = wait.is_zero() && self.is_worth_starting(now, request);
            let met = free || now + wait + run <= goal;
            return (!met).then(|| blame(Cause::Full));
        }
        let wait = wait + self.slowdown_left(now, request);
        if wait > self.setting.wait {
            return Some(blame(Cause::Full));
        }
        let run = self.service(now, request.urgency);
        let margin = self.latency.margin(now, request.urgency).min(wait);
        let idle = self.held.is_empty() && self.waiting.is_empty() && self.pause.is_none();
        let free = idle || self.probe_due(now);
        let late = !free && now + wait + run + margin > request.deadline;
        late.then(|| blame(Cause::Deadline))
    }

    /// Expected wait of a request that comes now: for the pause, for a suspect's turn, and for
    /// the requests that run over the limit or start before it.
    pub(crate) fn wait(&self, now: Instant, request: &Request) -> Duration {
        if request.nested {
            return self.wait_of_nested(now);
        }
        let rank = request.urgency.rank();
        let more_urgent: usize = self.lanes[..rank].iter().map(|lane| lane.len()).sum();
        let own = self.lanes[rank].ahead_of(&request.caller, request.weight);
        self.wait_behind(now, request.urgency, more_urgent + own)
    }

    /// As [`Core::wait`], with the rest of a slow spell.
    fn whole_wait(&self, now: Instant, request: &Request) -> Duration {
        self.wait(now, request) + self.slowdown_left(now, request)
    }

    /// As [`Core::wait`] for a request that another waits for: it is the next to start, in any slot, behind
    /// those like it. Taken for one that waits its turn, it was refused for want of time at four gates
    /// in a row, and the run that waited for it was lost.
    fn wait_of_nested(&self, now: Instant) -> Duration {
        let service = self.service_now(now);
        let slots = self.limit.slots();
        let starts = (self.held.len() + self.nested.len() + 1).saturating_sub(slots);
        self.hold(now, service) + service.mul_f64(starts as f64 / slots as f64)
    }

    /// How long nothing at all starts.
    fn hold(&self, now: Instant, service: Duration) -> Duration {
        let pause = self
            .pause
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        pause + self.quarantine.expected_hold(now, service)
    }

    fn wait_behind(&self, now: Instant, urgency: Urgency, ahead: usize) -> Duration {
        let service = self.service_now(now);
        let hold = self.hold(now, service);
        let (limit, busy) = match urgency {
            Urgency::Urgent => (self.limit.now(), self.held.len()),
            _ => (self.lower_limit(now), self.lower_busy(now)),
        };
        let starts = (busy + ahead + 1).saturating_sub(limit);
        hold + service.mul_f64(starts as f64 / limit as f64)
    }

    /// Slots that requests below urgent may take.
    pub(crate) fn lower_limit(&self, now: Instant) -> usize {
        let limit = self.limit.now();
        let recent = |last: Instant| now.saturating_duration_since(last) < URGENT_MEMORY;
        if limit < 2 || self.setting.reserve <= 0.0 || !self.last_urgent.is_some_and(recent) {
            return limit;
        }
        let reserve = (limit as f64 * self.setting.reserve).floor().max(1.0);
        limit - reserve as usize
    }

    /// Slots that are lost to requests below urgent, their own and what urgent work takes of
    /// their part.
    fn lower_busy(&self, now: Instant) -> usize {
        let reserve = self.limit.now() - self.lower_limit(now);
        let urgent = self.held_by[Urgency::Urgent.rank()];
        self.held.len() - urgent + urgent.saturating_sub(reserve)
    }

    /// Service time over all; when the running requests look stuck, their age, as the target has
    /// slowed down though no answer has said so yet.
    pub(crate) fn service_now(&self, now: Instant) -> Duration {
        let mean = self.pace.between_slowdowns(now, self.latency.mean());
        let mean = match self.latency.has_converged() {
            true => mean,
            false => self.held_time(now).unwrap_or(mean),
        };
        self.or_stuck(now, mean)
    }

    /// The service time by what is expected of the running requests: the mean by which their slots
    /// are given back, in which short runs count more than long ones. None if nothing is known of them.
    fn held_time(&self, now: Instant) -> Option<Duration> {
        let time = |held: &Held| {
            let usual = self.latency.expected_of(now, &held.request);
            let time = usual.as_secs_f64() * pace::factor(held.pace);
            (time > 0.0).then_some(time)
        };
        let times: Vec<f64> = self.held.values().filter_map(time).collect();
        if times.is_empty() {
            return None;
        }
        let ends_a_second: f64 = times.iter().map(|time| 1.0 / time).sum();
        Some(Duration::from_secs_f64(times.len() as f64 / ends_a_second))
    }

    /// A service time, or the age of the running requests where they look stuck for longer.
    fn or_stuck(&self, now: Instant, service: Duration) -> Duration {
        self.stuck(now).map_or(service, |age| age.max(service))
    }

    fn service(&self, now: Instant, urgency: Urgency) -> Duration {
        let expected = self.latency.expected(now, urgency);
        self.or_stuck(now, expected)
    }

    /// Since when the target has let at least half of its running requests wait and has answered
    /// none quickly.
    fn silent_since(&self) -> Option<Instant> {
        let middle = self.ages.len() / 2;
        let (since, _) = self.ages.iter().nth(middle)?;
        Some(self.last_quick.map_or(*since, |last| last.max(*since)))
    }

    /// Usual service time of the running requests, each counted with that of its urgency, so
    /// that long exports of one urgency are not held for a stuck target.
    fn usual(&self) -> Option<Duration> {
        let mut sum = Duration::ZERO;
        for urgency in Urgency::ALL {
            sum += self.latency.usual(urgency)? * self.held_by[urgency.rank()] as u32;
        }
        sum.checked_div(self.held.len() as u32)
    }

    /// Silence from which the running requests look stuck; one or two of many slots are not
    /// enough, as a single long export must not close the gate to everything else.
    fn stall_after(&self) -> Option<Duration> {
        let count = self.held.len();
        if count < STALL_LEAST.min(self.limit.slots()) {
            return None;
        }
        Some(self.usual()?.mul_f64(STALL + STALL_FEW / count as f64))
    }

    fn stall_at(&self) -> Option<Instant> {
        Some(self.silent_since()? + self.stall_after()?)
    }

    /// How long the running requests have been stuck, if they look so.
    fn stuck(&self, now: Instant) -> Option<Duration> {
        let stuck = self.stall_at().is_some_and(|at| at <= now);
        stuck.then(|| now - self.silent_since().unwrap_or(now))
    }

    /// When one request may start over a shrunk limit, to ask how the target is.
    ///
    /// What is under way was started in worse times, and its slots may stay taken for many
    /// service times after the target is well. Without the probe nothing would tell us.
    fn probe_at(&self) -> Option<Instant> {
        let held = self.held.len();
        if held >= self.limit.slots() || self.limit.now() >= self.limit.slots() {
            return None;
        }
        Some(self.last_start? + self.usual()? * PROBE)
    }

    pub(crate) fn probe_due(&self, now: Instant) -> bool {
        self.probe_at().is_some_and(|at| at <= now)
    }

    /// Whether one request may start over the limit, to find out what the target can do.
    pub(crate) fn may_exceed(&self, now: Instant) -> bool {
        self.probe_due(now) || self.explores()
    }

    /// Whether it is the turn of a start that tries slots of which nothing is known.
    fn explores(&self) -> bool {
        self.pressed >= EXPLORE
            && self.limit.follows_knee()
            && self.knee.needs_samples(self.held.len() + 1)
    }

    /// When [`Core::poll`] may find the target stuck, or a probe due.
    pub(crate) fn trouble_timer(&self, now: Instant) -> Option<Instant> {
        let stall = self.stall_at();
        let stall = stall.map(|at| self.stall.map_or(at, |again| again.max(at)));
        let times = [stall, self.probe_at()].into_iter().flatten();
        times.filter(|at| *at > now).min()
    }

    /// Cuts the limit when the running requests look stuck, and again each time that the silence
    /// has doubled: the first slow answer would come only after the whole slow service time.
    pub(crate) fn watch_stall(&mut self, now: Instant) {
        let Some(age) = self.stuck(now) else {
            self.stall = None;
            return;
        };
        if self.stall.is_some_and(|again| now < again) {
            return;
        }
        self.stall = Some(now + age);
        self.limit.cut(self.next_turn, self.next_turn);
    }

    pub(crate) fn update_hot(&mut self, now: Instant) {
        self.hot = self.is_hot(now);
    }

    fn is_hot(&self, now: Instant) -> bool {
        if self.down || self.leaving || self.pause.is_some() {
            return true;
        }
        let waiting: usize = self.lanes.iter().map(|lane| lane.len()).sum();
        if waiting == 0 {
            return false;
        }
        let bound = match self.hot {
            true => self.setting.hot_wait / 2,
            false => self.setting.hot_wait,
        };
        self.wait_behind(now, Urgency::Routine, waiting) > bound
    }

    /// Whether the gate would rather be passed over; as of the last call that took `&mut self`.
    pub fn hot(&self) -> bool {
        self.hot
    }

    /// The load of this gate.
    pub fn report(&self, now: Instant) -> Report {
        let narrow = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        let queued = Urgency::ALL.map(|u| narrow(self.deadlines[u.rank()].len()));
        // At the usual pace: the present one stands beside it.
        let service = self.or_stuck(now, self.latency.mean()).as_micros();
        Report {
            running: narrow(self.held.len()),
            queued,
            limit: narrow(self.limit.now()),
            service_us: u32::try_from(service).unwrap_or(u32::MAX),
            answered: self.answered,
            pace: self.pace.current(),
            slow: self.pace.is_slow(now),
            closed: self.down || self.leaving,
            hot: self.hot,
        }
    }

    pub(crate) fn refusal(&self, now: Instant, request: &Request, cause: Cause) -> Refusal {
        let after = self.retry_after(now, request, cause);
        Refusal::new(request.token, cause, after, self.report(now))
    }

    fn retry_after(&self, now: Instant, request: &Request, cause: Cause) -> Duration {
        match cause {
            Cause::Misdirected
            | Cause::Declined
            | Cause::Leaving
            | Cause::Fenced
            | Cause::Duplicate => Duration::ZERO,
            Cause::Down => self.setting.down_retry,
            Cause::Full if !self.tokens.has_room() => self.setting.down_retry,
            Cause::Suspect => match self.standing(now, request.kind) {
                Standing::Convicted { remaining } => remaining,
                _ => self.wait(now, request).clamp(RETRY_LEAST, RETRY_MOST),
            },
            Cause::Full | Cause::Deadline | Cause::Shed => {
                self.whole_wait(now, request).clamp(RETRY_LEAST, RETRY_MOST)
            }
        }
    }
}
