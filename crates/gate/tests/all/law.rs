//! Compares the limit laws on simulated targets, and checks the bounds of the default law.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;
use std::time::Duration;

use gate::{Builder, Core, End, Event, Id, Law, Request, Verdict};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use unit::Urgency;

use crate::common::{ms, request};

const DEADLINE: Duration = ms(200);
const SERVICE: f64 = 0.010;

/// Arrivals at a target with exponential service times and one processor per slot.
#[derive(Clone)]
struct Scenario {
    slots: u16,
    rate: f64,
    length: Duration,
    /// When the target is disturbed.
    disturbance: Range<Duration>,
    /// Factor on the service times during the disturbance.
    slowdown: f64,
    /// Number of processors available during the disturbance.
    processors: f64,
}

#[derive(Default)]
struct Stats {
    answered: usize,
    in_time: usize,
    refused: usize,
    /// Times from arrival to answer, sorted at the end of the run.
    latencies: Vec<Duration>,
    /// Time from the start of the disturbance until the limit is at most a fifth of the slots.
    shrink: Option<Duration>,
    /// Time from the end of the disturbance until the limit is at least nine tenths of the slots.
    regrow: Option<Duration>,
}

struct Simulation {
    core: Core,
    begin: Instant,
    now: Instant,
    scenario: Scenario,
    rng: Pcg64Mcg,
    ends: BinaryHeap<Reverse<(Instant, Id)>>,
    offered: BTreeMap<Id, Instant>,
    started: BTreeMap<Id, Instant>,
    stats: Stats,
}

fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() * mean)
}

impl Simulation {
    fn new(law: Law, scenario: &Scenario, seed: u64) -> Simulation {
        let begin = Instant::now();
        Simulation {
            core: Builder::new(scenario.slots).law(law).core(begin),
            begin,
            now: begin,
            scenario: scenario.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            ends: BinaryHeap::new(),
            offered: BTreeMap::new(),
            started: BTreeMap::new(),
            stats: Stats::default(),
        }
    }

    fn run(mut self) -> Stats {
        let mut arrival = self.begin;
        let mut token = 0;
        while self.now < self.begin + self.scenario.length {
            let end = self.ends.peek().map(|Reverse((at, _))| *at);
            let timer = self.core.next_timer(self.now);
            let timer = timer.map(|at| at.max(self.now + Duration::from_micros(1)));
            let next = [Some(arrival), end, timer].into_iter().flatten().min();
            self.now = next.expect("the next arrival is always known");
            if end == Some(self.now) {
                self.end();
            } else if arrival == self.now {
                token += 1;
                self.arrive(token);
                arrival += exponential(&mut self.rng, 1.0 / self.scenario.rate);
            }
            for event in self.core.poll(self.now) {
                self.handle(event);
            }
            self.observe_limit();
        }
        self.stats.latencies.sort();
        self.stats
    }

    fn arrive(&mut self, token: u128) {
        let urgency = Urgency::ALL[usize::from(!token.is_multiple_of(5))];
        let request = Request {
            urgency,
            deadline: self.now + DEADLINE,
            ..request(self.now, token, "desk-3@clinic-7")
        };
        let verdict = self.core.offer(self.now, request);
        let (Verdict::Start(id) | Verdict::Wait(id)) = verdict else {
            self.stats.refused += 1;
            return;
        };
        self.offered.insert(id, self.now);
        if verdict == Verdict::Start(id) {
            self.start(id);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start { id } => self.start(id),
            Event::Refuse { .. } => self.stats.refused += 1,
        }
    }

    fn start(&mut self, id: Id) {
        self.core.dispatch(self.now, id);
        self.started.insert(id, self.now);
        let (factor, processors) =
            match self.scenario.disturbance.contains(&(self.now - self.begin)) {
                true => (self.scenario.slowdown, self.scenario.processors),
                false => (1.0, f64::from(self.scenario.slots)),
            };
        // With more runs than processors, a run takes longer than sharing them alone accounts for.
        let contention = (self.started.len() as f64 / processors).max(1.0).powf(1.5);
        let length = exponential(&mut self.rng, SERVICE * contention * factor);
        self.ends.push(Reverse((self.now + length, id)));
    }

    fn end(&mut self) {
        let Reverse((_, id)) = self.ends.pop().expect("a run is about to end");
        let run_time = self.now - self.started.remove(&id).expect("the request was started");
        self.core
            .finish(self.now, id, End::Answered { latency: run_time });
        let latency = self.now - self.offered.remove(&id).expect("the request was admitted");
        self.stats.answered += 1;
        self.stats.in_time += usize::from(latency <= DEADLINE);
        self.stats.latencies.push(latency);
    }

    fn observe_limit(&mut self) {
        let Range { start, end } = self.scenario.disturbance;
        let since = self.now - self.begin;
        let limit = f64::from(self.core.report(self.now).limit);
        let slots = f64::from(self.scenario.slots);
        if (start..end).contains(&since) && limit <= slots * 0.2 {
            self.stats.shrink.get_or_insert(since - start);
        }
        if since >= end && !end.is_zero() && limit >= slots * 0.9 {
            self.stats.regrow.get_or_insert(since - end);
        }
    }
}

impl Stats {
    fn quantile(&self, share: f64) -> Duration {
        let at = (self.latencies.len() as f64 * share) as usize;
        self.latencies[at.min(self.latencies.len() - 1)]
    }

    fn print(&self, name: &str, law: Law) {
        let late = self.answered - self.in_time;
        let [p50, p99] = [0.5, 0.99].map(|share| self.quantile(share));
        println!(
            "{name} {law:?}: in time {} late {late} refused {} p50 {p50:.1?} p99 {p99:.1?} shrink {:.0?} regrow {:.0?}",
            self.in_time, self.refused, self.shrink, self.regrow,
        );
    }
}

const UNDISTURBED: Scenario = Scenario {
    slots: 10,
    rate: 700.0,
    length: ms(10_000),
    disturbance: ms(0)..ms(0),
    slowdown: 1.0,
    processors: 10.0,
};
const SLOW: Scenario = Scenario {
    disturbance: ms(4000)..ms(6000),
    slowdown: 20.0,
    ..UNDISTURBED
};
const CROWDED: Scenario = Scenario {
    slots: 16,
    rate: 350.0,
    disturbance: ms(4000)..ms(8000),
    processors: 4.0,
    ..UNDISTURBED
};
const OVERLOAD: Scenario = Scenario {
    rate: 3000.0,
    ..UNDISTURBED
};

/// Seeds of the simulations, which run in parallel.
const SEEDS: [u64; 8] = [7, 8, 9, 10, 11, 12, 13, 14];

/// Runs a scenario with all seeds. Counts are summed over the seeds; `shrink` and `regrow` are the
/// longest times.
fn run(name: &str, law: Law, scenario: &Scenario) -> Stats {
    let results: Vec<Stats> = std::thread::scope(|scope| {
        let simulations =
            SEEDS.map(|seed| scope.spawn(move || Simulation::new(law, scenario, seed).run()));
        simulations
            .map(|simulation| simulation.join().expect("the simulation does not panic"))
            .into()
    });
    let mut sum = Stats::default();
    for stats in results {
        sum.answered += stats.answered;
        sum.in_time += stats.in_time;
        sum.refused += stats.refused;
        sum.latencies.extend(stats.latencies);
        sum.shrink = sum.shrink.max(stats.shrink);
        sum.regrow = sum.regrow.max(stats.regrow);
    }
    sum.latencies.sort();
    sum.print(name, law);
    sum
}

/// Runs all laws in all scenarios; `--nocapture` prints the results.
///
/// The default law must cost nothing at an undisturbed target. It must lower the limit within 200
/// ms when the target becomes 20 times as slow, and restore it within one second of the recovery.
/// It must help where concurrent runs slow each other down, and use 95 % of the capacity for
/// answers in time at three times the load.
#[test]
fn default_law_holds_its_bounds() {
    let compare = |name, scenario| {
        [Law::Aimd, Law::Gradient, Law::Fixed].map(|law| run(name, law, &scenario))
    };
    assert_eq!(Law::default(), Law::Aimd);
    let [aimd, _, fixed] = compare("quiet", UNDISTURBED);
    assert!(aimd.in_time * 1000 >= fixed.in_time * 995);
    let [aimd, _, fixed] = compare("slow", SLOW);
    assert!(aimd.shrink.is_some_and(|time| time <= ms(200)));
    assert!(aimd.regrow.is_some_and(|time| time <= ms(1000)));
    assert!(aimd.in_time >= fixed.in_time);
    let [aimd, gradient, fixed] = compare("crowded", CROWDED);
    assert!(aimd.in_time * 1000 >= fixed.in_time * 1095);
    assert!(aimd.in_time >= gradient.in_time);
    let [aimd, ..] = compare("overload", OVERLOAD);
    let capacity = 1000 * 10 * SEEDS.len();
    assert!(aimd.in_time * 100 >= capacity * 95);
}
