//! Smoothed service times: how long an answer takes now, and how long it used to take.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use unit::Urgency;

use crate::request::Request;

/// Kinds of work that are told apart; those without fresh answers make room.
const CLASSES: usize = 64;
/// Weight of one sample in the smoothed time.
const ALPHA: f64 = 0.1;
/// Shortest time that one mean of the usual service time covers.
const SPAN: Duration = Duration::from_secs(1);
/// Least answers in such a mean; fewer would make the least of the means low by chance.
const ANSWERS: u32 = 128;
/// Answers in the first mean, which is wanted soon.
const FIRST_ANSWERS: u32 = 64;
/// Service times below this, in seconds, count as equal: what differs there is the scheduling of
/// processes, and no sign of a target in trouble.
const LEAST: f64 = 0.001;
/// Means remembered; the usual service time is the least of them.
const MEANS: usize = 8;
/// Answers after which anything is concluded from them.
const TRUSTED: u32 = 8;
/// Mean deviations of the service time that an expected wait must leave to the deadline, though
/// no more than the wait itself.
///
/// Admitted to the last moment, every request in an overload starts with just its service time
/// left, and a third of them end too late: slots worked for nothing. A short wait is surer than
/// a long one, and a short deadline on a target that is busy for a moment needs no such margin.
const MARGIN: f64 = 4.0;
/// Mean deviations above the mean that a waiting request must have left, else it is given up.
const LATE: f64 = 1.5;
/// Mean deviations that a request let in must have to spare before its goal. Let in to the last
/// moment, half of them end too late.
const SPREAD: f64 = 1.5;
/// The part of its goal that a run takes, before runs of its class have told. A goal leaves room for some
/// wait and for work that takes longer than most; of a third, one that starts in a spell of five times
/// the usual misses it, and one at a target that is cold and half as quick does not.
const GOAL_PART: u32 = 3;
/// Age from which a smoothed time no longer refuses anything.
///
/// An estimate that refuses all its requests is never corrected by an answer; without this the
/// gate would stay shut after a slow-down has passed.
const STALE: Duration = Duration::from_secs(1);

/// The mean of the answers of one stretch of time.
#[derive(Debug, Clone, Copy, Default)]
struct Stretch {
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
    stretch: Stretch,
    means: VecDeque<f64>,
}

impl Estimate {
    /// Takes a sample; returns its ratio to the usual service time before it.
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
        self.extend(now, x);
        x.max(LEAST) / usual.max(LEAST)
    }

    /// The least of the last means; before the first, the mean so far.
    fn usual(&self) -> Option<f64> {
        if let Some(least) = self.means.iter().copied().reduce(f64::min) {
            return Some(least);
        }
        (self.count >= TRUSTED).then(|| self.stretch.sum / f64::from(self.stretch.count))
    }

    fn extend(&mut self, now: Instant, x: f64) {
        let begin = *self.stretch.begin.get_or_insert(now);
        self.stretch.sum += x;
        self.stretch.count += 1;
        let first = self.means.is_empty();
        let enough = match first {
            true => self.stretch.count >= FIRST_ANSWERS,
            false => self.stretch.count >= ANSWERS && now - begin >= SPAN,
        };
        if !enough {
            return;
        }
        self.means
            .push_back(self.stretch.sum / f64::from(self.stretch.count));
        if self.means.len() > MEANS {
            self.means.pop_front();
        }
        self.stretch = Stretch::default();
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.last.is_some_and(|last| now - last < STALE)
    }
}

/// Least weight of one run in the mean work of its class; the first few count alike. It changes
/// slowly, since it is what other runs are compared with.
const QUIET_ALPHA: f64 = 0.005;
/// Runs after which the mean work of a class is believed: times of single runs differ by a third.
const QUIET_TRUSTED: u32 = 8;
/// A class of which nothing was heard for so long makes room for others.
const FORGET_QUIET: Duration = Duration::from_secs(60);

/// The mean work of one class.
#[derive(Debug, Clone, Copy)]
struct Quiet {
    mean: f64,
    count: u32,
    last: Instant,
}

/// The service times of one target: over all, and by urgency.
///
/// The urgencies are kept apart so that a batch of heavy work neither looks like a slow-down of
/// the target nor closes the gate to short urgent calls.
#[derive(Debug, Clone, Default)]
pub(crate) struct Latency {
    all: Estimate,
    by_urgency: [Estimate; 3],
    by_class: BTreeMap<u32, Estimate>,
    /// The longest time to its goal that a request of each class came with.
    goals: BTreeMap<u32, Duration>,
    /// The work of runs that few others ran beside, by class.
    quiet: BTreeMap<u32, Quiet>,
}

/// Takes a sample of one class; classes without fresh ones make room.
fn sample_into(classes: &mut BTreeMap<u32, Estimate>, now: Instant, class: u32, latency: Duration) {
    if class == 0 {
        return;
    }
    if classes.len() >= CLASSES && !classes.contains_key(&class) {
        classes.retain(|_, estimate| estimate.is_fresh(now));
    }
    if classes.len() < CLASSES {
        classes.entry(class).or_default().sample(now, latency);
    }
}

impl Latency {
    /// Takes an answer's latency; returns its ratio to the usual one of its urgency.
    pub(crate) fn sample(&mut self, now: Instant, request: &Request, latency: Duration) -> f64 {
        let urgency = request.urgency;
        self.sample_class(now, request.class, latency);
        self.all.sample(now, latency);
        self.by_urgency[urgency.rank()].sample(now, latency)
    }

    fn sample_class(&mut self, now: Instant, class: u32, latency: Duration) {
        sample_into(&mut self.by_class, now, class, latency);
    }

    /// Notes how long before its goal a request came.
    pub(crate) fn aim(&mut self, class: u32, left: Duration) {
        let goals = &mut self.goals;
        if class == 0 {
            return;
        }
        if goals.len() >= CLASSES && !goals.contains_key(&class) {
            // Those that are still there say so with their next request.
            goals.clear();
        }
        let longest = goals.entry(class).or_default();
        *longest = left.max(*longest);
    }

    /// Takes the time of a run that few others ran beside.
    pub(crate) fn sample_quiet(&mut self, now: Instant, class: u32, latency: Duration) {
        if class == 0 {
            return;
        }
        let quiet = &mut self.quiet;
        if quiet.len() >= CLASSES && !quiet.contains_key(&class) {
            quiet.retain(|_, quiet| now.saturating_duration_since(quiet.last) < FORGET_QUIET);
        }
        if quiet.len() >= CLASSES {
            return;
        }
        let quiet = quiet.entry(class).or_insert(Quiet {
            mean: 0.0,
            count: 0,
            last: now,
        });
        quiet.last = now;
        quiet.count = quiet.count.saturating_add(1);
        let weight = QUIET_ALPHA.max(1.0 / f64::from(quiet.count));
        quiet.mean += (latency.as_secs_f64() - quiet.mean) * weight;
    }

    /// How long work of this class takes while few others run, once that is known.
    pub(crate) fn quiet(&self, class: u32) -> Option<Duration> {
        let quiet = self.quiet.get(&class)?;
        let known = quiet.count >= QUIET_TRUSTED && quiet.mean > LEAST;
        known.then(|| Duration::from_secs_f64(quiet.mean))
    }

    /// Smoothed service time over all.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.all.mean)
    }

    /// Usual service time of this urgency, or over all while it had few answers; none before
    /// enough answers of any.
    pub(crate) fn usual(&self, urgency: Urgency) -> Option<Duration> {
        let usual = self.known(urgency).usual()?;
        Some(Duration::from_secs_f64(usual.max(LEAST)))
    }

    /// Time that this request will likely run at the usual pace; zero when nothing is known.
    ///
    /// The time of a class, free of the target's pace, holds for long: a class that is rare must not
    /// be taken for one that takes no time at all. Before its runs have told, its goal does: a gate
    /// that took an unknown run for one of no time filled its slots with runs that began in slow
    /// spells, and let in behind them whoever came.
    pub(crate) fn expected_of(&self, now: Instant, request: &Request) -> Duration {
        let class = self.by_class.get(&request.class);
        let (mean, count) = class.map_or((0.0, 0), |class| (class.mean, class.count));
        if count >= TRUSTED {
            return Duration::from_secs_f64(mean);
        }
        let Some(goal) = self.goals.get(&request.class) else {
            return self.expected(now, request.urgency);
        };
        let assumed = (*goal / GOAL_PART).as_secs_f64();
        let told = f64::from(count) / f64::from(TRUSTED);
        Duration::from_secs_f64(assumed + (mean - assumed) * told)
    }

    /// Whether the mean over all is sound. The first answers are those of the shortest runs, and tell
    /// nothing of the long ones that fill the slots meanwhile.
    pub(crate) fn is_learnt(&self) -> bool {
        self.all.count >= FIRST_ANSWERS
    }

    /// By how much the time of such a request varies; zero when little is known.
    pub(crate) fn spread_of(&self, request: &Request) -> Duration {
        let class = self.by_class.get(&request.class);
        let spread = class.map_or(0.0, |class| SPREAD * class.deviation);
        Duration::from_secs_f64(spread)
    }

    /// Time that a request of this urgency will likely run; zero when nothing fresh is known.
    pub(crate) fn expected(&self, now: Instant, urgency: Urgency) -> Duration {
        self.view(now, urgency, |estimate| estimate.mean)
    }

    /// What an expected wait of this urgency must leave, beside the run, to the deadline.
    pub(crate) fn margin(&self, now: Instant, urgency: Urgency) -> Duration {
        self.view(now, urgency, |estimate| MARGIN * estimate.deviation)
    }

    /// Time with less of which left a waiting request is given up.
    pub(crate) fn scant(&self, now: Instant, urgency: Urgency) -> Duration {
        self.view(now, urgency, |estimate| {
            estimate.mean + LATE * estimate.deviation
        })
    }

    fn view(&self, now: Instant, urgency: Urgency, read: impl Fn(&Estimate) -> f64) -> Duration {
        let known = self.known(urgency);
        if !known.is_fresh(now) {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(read(known))
    }

    fn known(&self, urgency: Urgency) -> &Estimate {
        let own = &self.by_urgency[urgency.rank()];
        if own.count >= TRUSTED { own } else { &self.all }
    }
}
