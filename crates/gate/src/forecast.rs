//! Estimates waits and detects stalls, and derives from them whether the gate is hot.

use std::time::Duration;

use tokio::time::Instant;
use unit::{Cause, Rate, Report, Urgency};

use crate::core::{Core, Held};
use crate::pace;
use crate::refusal::Refusal;
use crate::request::Request;
use crate::suspect::Standing;

/// Slots stay reserved for urgent requests for this long after the last one arrived, so that a
/// target without urgent work can use all its slots.
const RESERVE_PERIOD: Duration = Duration::from_secs(1);
/// Time without a quick answer, in usual service times, after which the target appears stalled.
const STALL_SERVICE_TIMES: f64 = 3.0;
/// Added to [`STALL_SERVICE_TIMES`] for a single running request, and divided by their number for
/// more: with few running requests, long gaps between answers are common.
const STALL_EXTRA: f64 = 9.0;
/// Minimum number of running requests for a stall, if the target has that many slots.
const STALL_MIN_RUNNING: usize = 3;
/// Time without a start, in usual service times, after which a probe is due.
const PROBE_SERVICE_TIMES: u32 = 8;
/// One in this many requests that arrive at the limit may use a slot that [`crate::knee`] has too
/// few runs for. The cost is bounded, because it ends once enough runs are recorded.
const EXPLORE_EVERY: u32 = 2;
/// Bounds of the retry delay reported to a refused caller.
const RETRY_MIN: Duration = Duration::from_millis(1);
const RETRY_MAX: Duration = Duration::from_secs(5);

impl Core {
    /// Returns the cause for refusing a request that is not a suspect, if its expected wait is too
    /// long.
    pub(crate) fn forecast_cause(&self, now: Instant, request: &Request) -> Option<Cause> {
        let lane = &self.lanes[request.urgency.rank()];
        let full = lane.len() >= self.setting.queue;
        if full && lane.victim(&request.caller, request.weight).is_none() {
            return Some(Cause::Full);
        }
        let wait = self.wait(now, request);
        if let Some(delivery) = request.delivery {
            let run = self.run_time(now, request);
            if now + wait + run + delivery > request.deadline {
                return Some(Cause::Full);
            }
        }
        if let Some(goal) = request.goal {
            let run = self.run_time(now, request) + self.latency.spread_of(request);
            let free = wait.is_zero() && self.is_worth_starting(now, request);
            let met = free || now + wait + run <= goal;
            return (!met).then(|| self.cause_of_wait(now, Cause::Full));
        }
        let wait = wait + self.slowdown_left(now, request);
        if wait > self.setting.wait {
            return Some(self.cause_of_wait(now, Cause::Full));
        }
        let run = self.service(now, request.urgency);
        let margin = self.latency.margin(now, request.urgency).min(wait);
        let idle = self.held.is_empty() && self.waiting.is_empty() && self.paused_until.is_none();
        let free = (idle || self.probe_due(now)) && self.has_start_room(now);
        let late = !free && now + wait + run + margin > request.deadline;
        late.then(|| self.cause_of_wait(now, Cause::Deadline))
    }

    /// Why a request that would wait for too long is refused: `cause`, unless the target has asked
    /// for the wait.
    pub(crate) fn cause_of_wait(&self, now: Instant, cause: Cause) -> Cause {
        match self.paused_until {
            Some(until) if until > now => Cause::Shed,
            _ if self.is_throttled(now) => Cause::Throttled,
            _ => cause,
        }
    }

    /// Expected wait of a request that arrives now: the rest of a pause, the turn of a suspect, and
    /// the requests that run beyond the limit or start before it.
    pub(crate) fn wait(&self, now: Instant, request: &Request) -> Duration {
        if request.nested {
            return self.wait_of_nested(now);
        }
        let rank = request.urgency.rank();
        let more_urgent: usize = self.lanes[..rank].iter().map(|lane| lane.len()).sum();
        let own = self.lanes[rank].ahead_of(request);
        self.wait_behind(now, request.urgency, more_urgent + own)
    }

    /// Like [`Core::wait`], plus the expected rest of a slowdown.
    fn wait_with_slowdown(&self, now: Instant, request: &Request) -> Duration {
        self.wait(now, request) + self.slowdown_left(now, request)
    }

    /// Like [`Core::wait`], for a nested request: it starts next, in any free slot, behind other
    /// nested requests only. Estimated like other requests, a nested one was refused for lack of
    /// time at four gates in a row, and the run that waited for it was lost.
    fn wait_of_nested(&self, now: Instant) -> Duration {
        let service = self.service_now(now);
        let slots = self.limit.slots();
        let starts = (self.held.len() + self.nested.len() + 1).saturating_sub(slots);
        let wait = self.expected_hold(now, service) + service.mul_f64(starts as f64 / slots as f64);
        wait.max(self.wait_for_start(now, self.nested.len()))
    }

    /// How long the bounds on starts hold up a request behind `ahead` others.
    fn wait_for_start(&self, now: Instant, ahead: usize) -> Duration {
        self.starts.delay(now, self.unsent(now), ahead + 1)
    }

    /// Expected time during which nothing can start.
    fn expected_hold(&self, now: Instant, service: Duration) -> Duration {
        let pause = self
            .paused_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        pause + self.quarantine.expected_hold(now, service)
    }

    fn wait_behind(&self, now: Instant, urgency: Urgency, ahead: usize) -> Duration {
        let service = self.service_now(now);
        let hold = self.expected_hold(now, service);
        let (limit, busy) = match urgency {
            Urgency::Urgent => (self.limit.now(), self.held.len()),
            _ => (self.non_urgent_limit(now), self.non_urgent_busy(now)),
        };
        let starts = (busy + ahead + 1).saturating_sub(limit);
        let wait = hold + service.mul_f64(starts as f64 / limit as f64);
        wait.max(self.wait_for_start(now, ahead))
    }

    /// Number of slots available to requests that are not urgent.
    pub(crate) fn non_urgent_limit(&self, now: Instant) -> usize {
        let limit = self.limit.now();
        let recent = |last: Instant| now.saturating_duration_since(last) < RESERVE_PERIOD;
        if limit < 2 || self.setting.reserve <= 0.0 || !self.last_urgent.is_some_and(recent) {
            return limit;
        }
        let reserve = (limit as f64 * self.setting.reserve).floor().max(1.0);
        limit - reserve as usize
    }

    /// Number of those slots in use: by requests that are not urgent, and by urgent ones beyond the
    /// reserve.
    fn non_urgent_busy(&self, now: Instant) -> usize {
        let reserve = self.limit.now() - self.non_urgent_limit(now);
        let urgent = self.held_by_urgency[Urgency::Urgent.rank()];
        self.held.len() - urgent + urgent.saturating_sub(reserve)
    }

    /// Service time over all requests. If the running requests appear stalled, it is at least their
    /// age, since the target has slowed down although no answer shows it yet.
    pub(crate) fn service_now(&self, now: Instant) -> Duration {
        let mean = self.pace.between_slowdowns(now, self.latency.mean());
        let mean = match self.latency.has_converged() {
            true => mean,
            false => self.held_service(now).unwrap_or(mean),
        };
        self.or_stall_age(now, mean)
    }

    /// Service time estimated from the running requests. It is the harmonic mean of their expected
    /// times, since that determines the rate at which slots are freed. Returns `None` if nothing is
    /// known about them.
    fn held_service(&self, now: Instant) -> Option<Duration> {
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

    /// Returns the service time, or the age of the stall if that is longer.
    fn or_stall_age(&self, now: Instant, service: Duration) -> Duration {
        self.stall_age(now).map_or(service, |age| age.max(service))
    }

    fn service(&self, now: Instant, urgency: Urgency) -> Duration {
        let expected = self.latency.expected(now, urgency);
        self.or_stall_age(now, expected)
    }

    /// Start of the current silence: since then, at least half of the running requests have waited
    /// without any quick answer.
    fn silent_since(&self) -> Option<Instant> {
        let middle = self.ages.len() / 2;
        let (since, _) = self.ages.iter().nth(middle)?;
        Some(
            self.last_quick_answer
                .map_or(*since, |last| last.max(*since)),
        )
    }

    /// Usual service time of the running requests. Each counts with the usual time of its own
    /// urgency, so that long exports of one urgency do not look like a stalled target.
    fn usual(&self) -> Option<Duration> {
        let mut sum = Duration::ZERO;
        for urgency in Urgency::ALL {
            sum += self.latency.usual(urgency)? * self.held_by_urgency[urgency.rank()] as u32;
        }
        sum.checked_div(self.held.len() as u32)
    }

    /// Length of silence after which the running requests appear stalled. One or two out of many
    /// slots are not enough, because a single long export must not block all other requests.
    fn stall_after(&self) -> Option<Duration> {
        let count = self.held.len();
        if count < STALL_MIN_RUNNING.min(self.limit.slots()) {
            return None;
        }
        Some(
            self.usual()?
                .mul_f64(STALL_SERVICE_TIMES + STALL_EXTRA / count as f64),
        )
    }

    fn stall_at(&self) -> Option<Instant> {
        Some(self.silent_since()? + self.stall_after()?)
    }

    /// How long the running requests have been stalled, if they appear to be.
    fn stall_age(&self, now: Instant) -> Option<Duration> {
        let is_stalled = self.stall_at().is_some_and(|at| at <= now);
        is_stalled.then(|| now - self.silent_since().unwrap_or(now))
    }

    /// When one request may start beyond a reduced limit, to probe the target.
    ///
    /// The running requests started while the target was slow and may hold their slots for many
    /// service times after it has recovered. Without the probe, the gate would not notice the
    /// recovery.
    fn probe_at(&self) -> Option<Instant> {
        let held = self.held.len();
        if held >= self.limit.slots() || self.limit.now() >= self.limit.slots() {
            return None;
        }
        Some(self.last_start? + self.usual()? * PROBE_SERVICE_TIMES)
    }

    pub(crate) fn probe_due(&self, now: Instant) -> bool {
        self.probe_at().is_some_and(|at| at <= now)
    }

    /// Whether one request may start beyond the limit, to probe the target or to explore a slot.
    pub(crate) fn may_exceed(&self, now: Instant) -> bool {
        self.probe_due(now) || self.is_exploration_due()
    }

    /// Whether the next start should use a slot that the knee has too few runs for.
    fn is_exploration_due(&self) -> bool {
        self.blocked_arrivals >= EXPLORE_EVERY
            && self.limit.follows_knee()
            && self.knee.needs_samples(self.held.len() + 1)
    }

    /// When [`Core::poll`] may next detect a stall or find a probe due.
    pub(crate) fn stall_timer(&self, now: Instant) -> Option<Instant> {
        let stall = self.stall_at();
        let stall = stall.map(|at| self.next_stall_cut.map_or(at, |again| again.max(at)));
        let times = [stall, self.probe_at()].into_iter().flatten();
        times.filter(|at| *at > now).min()
    }

    /// Cuts the limit when the running requests appear stalled, and again each time the silence has
    /// doubled. Waiting for a slow answer instead would take a whole slow service time.
    pub(crate) fn check_stall(&mut self, now: Instant) {
        let Some(age) = self.stall_age(now) else {
            self.next_stall_cut = None;
            return;
        };
        if self.next_stall_cut.is_some_and(|again| now < again) {
            return;
        }
        self.next_stall_cut = Some(now + age);
        self.limit.cut(self.next_seq, self.next_seq);
    }

    pub(crate) fn update_hot(&mut self, now: Instant) {
        self.hot = self.is_hot(now);
    }

    fn is_hot(&self, now: Instant) -> bool {
        if self.is_closed() || self.paused_until.is_some() || !self.has_start_room(now) {
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

    /// Whether the gate would prefer requests to go elsewhere, as of the last call that took `&mut
    /// self`.
    pub fn hot(&self) -> bool {
        self.hot
    }

    /// Returns the load of this gate.
    pub fn report(&self, now: Instant) -> Report {
        let narrow = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        let queued = Urgency::ALL.map(|u| narrow(self.deadlines[u.rank()].len()));
        // At the usual pace, because the report carries the current pace in a field of its own.
        let service = self.or_stall_age(now, self.latency.mean()).as_micros();
        Report {
            running: narrow(self.held.len()),
            queued,
            limit: narrow(self.limit_of_starts(now)),
            service_us: u32::try_from(service).unwrap_or(u32::MAX),
            answered: self.answered,
            pace: self.pace.current(),
            slow: self.pace.is_slow(now),
            closed: self.is_closed(),
            hot: self.hot,
            link_ms: 0,
        }
    }

    /// Whether the target takes no new requests, however few it runs.
    pub(crate) fn is_closed(&self) -> bool {
        self.down || self.leaving || self.evacuated
    }

    /// Number of requests that may run at once, as reported to entries. Under a bound on starts, it
    /// is what the target can run within the bound, so that entries send it no more.
    fn limit_of_starts(&self, now: Instant) -> usize {
        let limit = self.limit.now();
        let Some(room) = self.starts.room(now, self.unsent(now)) else {
            return limit;
        };
        let limit = limit.min(self.held.len() + room);
        // By Little's law, a rate of starts keeps so many runs going.
        let service = self.service_now(now).as_secs_f64();
        let running = |rate: Rate| (rate.per_second() * service).ceil() as usize;
        let running = self.starts.max_rate().map_or(limit, running);
        limit.min(running).max(1)
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
            | Cause::Evacuated
            | Cause::Fenced
            | Cause::Duplicate => Duration::ZERO,
            Cause::Down => self.setting.down_retry,
            Cause::Full if !self.tokens.has_room() => self.setting.down_retry,
            Cause::Suspect => match self.standing(now, request.kind) {
                Standing::Convicted { remaining } => remaining,
                _ => self.wait(now, request).clamp(RETRY_MIN, RETRY_MAX),
            },
            Cause::Full | Cause::Deadline | Cause::Shed | Cause::Throttled => self
                .wait_with_slowdown(now, request)
                .max(request.delivery.unwrap_or_default())
                .clamp(RETRY_MIN, RETRY_MAX),
        }
    }
}
