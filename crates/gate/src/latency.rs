//! Smoothed service times: the present one and the usual one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use unit::Urgency;

use crate::request::Request;

/// Maximum number of request classes tracked. Classes without recent answers are evicted.
const MAX_CLASSES: usize = 64;
/// Weight of one sample in the smoothed time.
const ALPHA: f64 = 0.1;
/// Minimum time covered by one mean of the usual service time.
const MIN_WINDOW: Duration = Duration::from_secs(1);
/// Minimum number of answers in one mean. With fewer, the minimum of the means would be low by
/// chance.
const WINDOW_ANSWERS: u32 = 128;
/// Number of answers in the first mean, which is smaller so that a usual time is available early.
const FIRST_WINDOW_ANSWERS: u32 = 64;
/// Service times below this many seconds count as equal, because differences there come from
/// process scheduling and not from an overloaded target.
const MIN_SECONDS: f64 = 0.001;
/// Number of means kept; the usual service time is the smallest of them.
const MAX_MEANS: usize = 8;
/// Number of answers after which an estimate is used.
const TRUSTED_ANSWERS: u32 = 8;
/// Mean deviations of the service time that must remain between the expected end of a request and
/// its deadline, though never more than the expected wait.
///
/// Without a margin, every request in an overload starts with just its service time left, and a
/// third of them finish too late, which wastes their slots. Short waits can be predicted better
/// than long ones, and short deadlines at a briefly busy target need no such margin.
const MARGIN_DEVIATIONS: f64 = 4.0;
/// Mean deviations above the mean service time that a waiting request must have left; otherwise it
/// is refused.
const LATE_DEVIATIONS: f64 = 1.5;
/// Mean deviations that an admitted request must have to spare before its goal. Without them, half
/// of the requests admitted at the last moment finish too late.
const SPREAD_DEVIATIONS: f64 = 1.5;
/// Assumed run time of a class without recorded runs: its longest goal divided by this.
///
/// A goal leaves room for some waiting and for longer than usual runs. With a third, a run that
/// starts during a slowdown of factor five misses its goal, and one at a cold target of half the
/// usual speed meets it.
const GOAL_DIVISOR: u32 = 3;
/// Age after which a smoothed time no longer causes refusals.
///
/// An estimate that refuses all requests is never corrected by an answer; without this the gate
/// would stay closed after a slowdown has passed.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// The answers of one window of time.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    sum: f64,
    count: u32,
    begin: Option<Instant>,
}

#[derive(Debug, Clone, Default)]
struct Estimate {
    mean: f64,
    deviation: f64,
    count: u32,
    last: Option<Instant>,
    window: Window,
    means: VecDeque<f64>,
}

impl Estimate {
    /// Records a sample and returns its ratio to the usual service time before it.
    fn sample(&mut self, now: Instant, latency: Duration) -> f64 {
        let x = latency.as_secs_f64();
        if self.count == 0 {
            self.mean = x;
            self.deviation = x / 2.0;
        }
        let usual = self.usual().unwrap_or(x);
        self.deviation += ALPHA * ((x - self.mean).abs() - self.deviation);
        self.mean += ALPHA * (x - self.mean);
        self.count = self.count.saturating_add(1);
        self.last = Some(now);
        self.add_to_window(now, x);
        x.max(MIN_SECONDS) / usual.max(MIN_SECONDS)
    }

    /// The smallest of the recent means; before the first is complete, the mean so far.
    fn usual(&self) -> Option<f64> {
        if let Some(least) = self.means.iter().copied().reduce(f64::min) {
            return Some(least);
        }
        (self.count >= TRUSTED_ANSWERS).then(|| self.window.sum / f64::from(self.window.count))
    }

    fn add_to_window(&mut self, now: Instant, x: f64) {
        let begin = *self.window.begin.get_or_insert(now);
        self.window.sum += x;
        self.window.count += 1;
        let first = self.means.is_empty();
        let enough = match first {
            true => self.window.count >= FIRST_WINDOW_ANSWERS,
            false => self.window.count >= WINDOW_ANSWERS && now - begin >= MIN_WINDOW,
        };
        if !enough {
            return;
        }
        self.means
            .push_back(self.window.sum / f64::from(self.window.count));
        if self.means.len() > MAX_MEANS {
            self.means.pop_front();
        }
        self.window = Window::default();
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.last.is_some_and(|last| now - last < STALE_AFTER)
    }
}

/// Minimum weight of one run in the mean work of its class; the first runs are weighted equally.
/// The mean changes slowly, because other runs are compared with it.
const UNCONTENDED_ALPHA: f64 = 0.005;
/// Number of runs after which the mean work of a class is used. Times of single runs differ by a
/// third.
const UNCONTENDED_TRUSTED: u32 = 8;
/// Age after which a class without new runs may be evicted.
const UNCONTENDED_EXPIRY: Duration = Duration::from_secs(60);

/// The mean work of one class at low concurrency.
#[derive(Debug, Clone, Copy)]
struct Uncontended {
    mean: f64,
    count: u32,
    last: Instant,
}

/// The service times of one target: overall, by urgency and by class.
///
/// Urgencies are tracked separately so that a batch of heavy work does not look like a slowdown of
/// the target and does not block short urgent calls.
#[derive(Debug, Clone, Default)]
pub(crate) struct Latency {
    all: Estimate,
    by_urgency: [Estimate; 3],
    by_class: BTreeMap<u32, Estimate>,
    /// The longest time to its goal with which a request of each class arrived.
    goals: BTreeMap<u32, Duration>,
    /// Work of runs at low concurrency, by class.
    uncontended: BTreeMap<u32, Uncontended>,
}

/// Records a sample of one class. If the table is full, classes without recent samples are evicted.
fn sample_into(classes: &mut BTreeMap<u32, Estimate>, now: Instant, class: u32, latency: Duration) {
    if class == 0 {
        return;
    }
    if classes.len() >= MAX_CLASSES && !classes.contains_key(&class) {
        classes.retain(|_, estimate| estimate.is_fresh(now));
    }
    if classes.len() < MAX_CLASSES {
        classes.entry(class).or_default().sample(now, latency);
    }
}

impl Latency {
    /// Records the latency of an answer and returns its ratio to the usual latency of its urgency.
    pub(crate) fn sample(&mut self, now: Instant, request: &Request, latency: Duration) -> f64 {
        let urgency = request.urgency;
        self.sample_class(now, request.class, latency);
        self.all.sample(now, latency);
        self.by_urgency[urgency.rank()].sample(now, latency)
    }

    fn sample_class(&mut self, now: Instant, class: u32, latency: Duration) {
        sample_into(&mut self.by_class, now, class, latency);
    }

    /// Records how long before its goal a request arrived.
    pub(crate) fn record_goal(&mut self, class: u32, left: Duration) {
        let goals = &mut self.goals;
        if class == 0 {
            return;
        }
        if goals.len() >= MAX_CLASSES && !goals.contains_key(&class) {
            // Classes still in use are added again by their next request.
            goals.clear();
        }
        let longest = goals.entry(class).or_default();
        *longest = left.max(*longest);
    }

    /// Records the work of a run at low concurrency.
    pub(crate) fn sample_uncontended(&mut self, now: Instant, class: u32, latency: Duration) {
        if class == 0 {
            return;
        }
        let uncontended = &mut self.uncontended;
        if uncontended.len() >= MAX_CLASSES && !uncontended.contains_key(&class) {
            uncontended
                .retain(|_, class| now.saturating_duration_since(class.last) < UNCONTENDED_EXPIRY);
        }
        if uncontended.len() >= MAX_CLASSES {
            return;
        }
        let uncontended = uncontended.entry(class).or_insert(Uncontended {
            mean: 0.0,
            count: 0,
            last: now,
        });
        uncontended.last = now;
        uncontended.count = uncontended.count.saturating_add(1);
        let weight = UNCONTENDED_ALPHA.max(1.0 / f64::from(uncontended.count));
        uncontended.mean += (latency.as_secs_f64() - uncontended.mean) * weight;
    }

    /// Returns the mean work of this class at low concurrency, once enough runs are recorded.
    pub(crate) fn uncontended(&self, class: u32) -> Option<Duration> {
        let uncontended = self.uncontended.get(&class)?;
        let known = uncontended.count >= UNCONTENDED_TRUSTED && uncontended.mean > MIN_SECONDS;
        known.then(|| Duration::from_secs_f64(uncontended.mean))
    }

    /// Smoothed service time over all requests.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.all.mean)
    }

    /// Usual service time of this urgency, or of all requests while the urgency has too few
    /// answers. Returns `None` before there are enough answers overall.
    pub(crate) fn usual(&self, urgency: Urgency) -> Option<Duration> {
        let usual = self.estimate_of(urgency).usual()?;
        Some(Duration::from_secs_f64(usual.max(MIN_SECONDS)))
    }

    /// Expected run time of this request at the usual pace; zero if nothing is known.
    ///
    /// The time of a class does not depend on the target's pace and does not expire, so a rare
    /// class keeps its estimate. A class without recorded runs is estimated from its goal: with an
    /// estimate of zero, a gate filled its slots with runs that started during slowdowns, and
    /// admitted any request behind them.
    pub(crate) fn expected_of(&self, now: Instant, request: &Request) -> Duration {
        let class = self.by_class.get(&request.class);
        let (mean, count) = class.map_or((0.0, 0), |class| (class.mean, class.count));
        if count >= TRUSTED_ANSWERS {
            return Duration::from_secs_f64(mean);
        }
        let Some(goal) = self.goals.get(&request.class) else {
            return self.expected(now, request.urgency);
        };
        let assumed = (*goal / GOAL_DIVISOR).as_secs_f64();
        let confidence = f64::from(count) / f64::from(TRUSTED_ANSWERS);
        Duration::from_secs_f64(assumed + (mean - assumed) * confidence)
    }

    /// Whether the mean over all requests is representative. The first answers are those of the
    /// shortest runs and say nothing about the long ones that fill the slots meanwhile.
    pub(crate) fn has_converged(&self) -> bool {
        self.all.count >= FIRST_WINDOW_ANSWERS
    }

    /// Expected deviation of the run time of this request; zero if little is known.
    pub(crate) fn spread_of(&self, request: &Request) -> Duration {
        let class = self.by_class.get(&request.class);
        let spread = class.map_or(0.0, |class| SPREAD_DEVIATIONS * class.deviation);
        Duration::from_secs_f64(spread)
    }

    /// Expected run time of a request of this urgency; zero without a recent estimate.
    pub(crate) fn expected(&self, now: Instant, urgency: Urgency) -> Duration {
        self.read_fresh(now, urgency, |estimate| estimate.mean)
    }

    /// Time that must remain between the expected end of a request of this urgency and its
    /// deadline.
    pub(crate) fn margin(&self, now: Instant, urgency: Urgency) -> Duration {
        self.read_fresh(now, urgency, |estimate| {
            MARGIN_DEVIATIONS * estimate.deviation
        })
    }

    /// Remaining time below which a waiting request is refused.
    pub(crate) fn min_time_left(&self, now: Instant, urgency: Urgency) -> Duration {
        self.read_fresh(now, urgency, |estimate| {
            estimate.mean + LATE_DEVIATIONS * estimate.deviation
        })
    }

    fn read_fresh(
        &self,
        now: Instant,
        urgency: Urgency,
        read: impl Fn(&Estimate) -> f64,
    ) -> Duration {
        let estimate = self.estimate_of(urgency);
        if !estimate.is_fresh(now) {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(read(estimate))
    }

    fn estimate_of(&self, urgency: Urgency) -> &Estimate {
        let own = &self.by_urgency[urgency.rank()];
        if own.count >= TRUSTED_ANSWERS {
            own
        } else {
            &self.all
        }
    }
}
