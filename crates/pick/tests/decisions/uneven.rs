//! Targets of different speed with slow spells, long reads and short checks, on a small model.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use pick::{Answer, Kind, Need, Pick, Setting, Target};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use unit::{Instance, Report, Urgency};

use crate::world::{name, target};

const TARGETS: usize = 8;
const ENTRIES: usize = 8;
const SLOTS: usize = 9;
const READ: u32 = 1;
const CHECK: u32 = 2;
const PIECE: f64 = 0.15;
const SECONDS: f64 = 120.0;

/// Time of the work in seconds, and the objective.
fn work(class: u32) -> (f64, f64) {
    match class {
        CHECK => (0.055, 0.150),
        _ => (0.750, 1.600),
    }
}

struct Run {
    class: u32,
    entry: usize,
    came: f64,
}

struct Spot {
    speed: f64,
    /// Whether each piece of time is slow.
    slow: Vec<bool>,
    running: usize,
    queue: VecDeque<Run>,
    service: f64,
    answered: u32,
}

impl Spot {
    fn is_slow(&self, at: f64) -> bool {
        self.slow
            .get((at / PIECE) as usize)
            .copied()
            .unwrap_or(false)
    }

    /// When work that begins at `at` and takes `left` at the usual pace ends.
    fn end(&self, at: f64, mut left: f64) -> f64 {
        let mut at = at;
        loop {
            let factor = if self.is_slow(at) { 5.0 } else { 1.0 };
            let piece_end = (at / PIECE + 1e-9).floor() * PIECE + PIECE;
            let done = (piece_end - at) / factor;
            if done >= left {
                return at + left * factor;
            }
            (at, left) = (piece_end, left - done);
        }
    }

    fn report(&self, at: f64) -> Report {
        let slow = self.is_slow(at);
        Report {
            running: self.running as u16,
            queued: [0, self.queue.len() as u16, 0],
            limit: SLOTS as u16,
            service_us: (self.service * 1e6) as u32,
            answered: 1_000 + self.answered,
            pace: if slow { 500 } else { 100 },
            slow,
            hot: self.queue.len() > 2,
            ..Report::default()
        }
    }
}

enum Next {
    Arrival(u32),
    End { spot: usize, run: Run, began: f64 },
    Tell { spot: usize },
}

struct Model {
    random: Pcg64Mcg,
    base: Instant,
    spots: Vec<Spot>,
    picks: Vec<Pick>,
    next: BTreeMap<(u64, u64), Next>,
    order: u64,
    /// In time and all, of reads and checks.
    got: [[u32; 2]; 2],
    load: f64,
}

fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

impl Model {
    fn new(seed: u64, by_class: bool, load: f64, spells: bool) -> Model {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let base = Instant::now();
        let spots = (0..TARGETS).map(|i| {
            let pieces = (SECONDS / PIECE) as usize + 400;
            let sick = spells && i % 4 == 0;
            Spot {
                speed: 0.7 + 0.7 * i as f64 / (TARGETS - 1) as f64,
                slow: (0..pieces)
                    .map(|_| sick && random.random_bool(0.3))
                    .collect(),
                running: 0,
                queue: VecDeque::new(),
                service: 0.3,
                answered: 0,
            }
        });
        let spots = spots.collect();
        let targets: Vec<Target> = (0..TARGETS).map(|i| target(i, "a")).collect();
        let picks = (0..ENTRIES).map(|entry| {
            let setting = Setting {
                by_class,
                ..Setting::default()
            };
            let zone = "a".parse().expect("a zone");
            let builder = Pick::builder(zone).seed(seed * 100 + entry as u64);
            let mut pick = builder.setting(setting).build();
            pick.set_targets(base, &targets);
            pick
        });
        let picks = picks.collect();
        Model {
            random,
            base,
            spots,
            picks,
            next: BTreeMap::new(),
            order: 0,
            got: [[0; 2]; 2],
            load,
        }
    }

    fn after(&mut self, at: f64, next: Next) {
        self.order += 1;
        self.next.insert((nanos(at), self.order), next);
    }

    fn instant(&self, at: f64) -> Instant {
        self.base + Duration::from_nanos(nanos(at))
    }

    fn arrive(&mut self, at: f64, class: u32) {
        // Two checks for each read, as in a request with two nested checks.
        let reads = self.load * (TARGETS * SLOTS) as f64 / (0.75 + 2.0 * 0.055);
        let rate = if class == CHECK { 2.0 * reads } else { reads };
        let gap = -self.random.random_range(1e-9_f64..1.0).ln() / rate;
        self.after(at + gap, Next::Arrival(class));
        let entry = self.random.random_range(0..ENTRIES);
        let now = self.instant(at);
        let need = Need {
            class,
            nested: class == CHECK,
            ..Need::of(Urgency::Routine)
        };
        let chosen = self.picks[entry].choose(now, &need).expect("a target");
        self.picks[entry].begin(now, &chosen);
        let spot = (0..TARGETS)
            .find(|i| name(*i) == chosen)
            .expect("a known one");
        let run = Run {
            class,
            entry,
            came: at,
        };
        // Checks overtake reads, as nested calls do at a gate.
        match class {
            CHECK => self.spots[spot].queue.push_front(run),
            _ => self.spots[spot].queue.push_back(run),
        }
        self.fill(at, spot);
    }

    fn fill(&mut self, at: f64, number: usize) {
        while self.spots[number].running < SLOTS {
            let Some(run) = self.spots[number].queue.pop_front() else {
                return;
            };
            let part = 0.6 + 0.8 * self.random.random_range(0.0..1.0);
            let spot = &mut self.spots[number];
            spot.running += 1;
            let knee = if spot.running as f64 >= 0.8 * SLOTS as f64 {
                1.7
            } else {
                1.0
            };
            let time = work(run.class).0 * part * spot.speed * knee;
            let end = spot.end(at, time);
            self.after(
                end,
                Next::End {
                    spot: number,
                    run,
                    began: at,
                },
            );
        }
    }

    fn end(&mut self, at: f64, number: usize, run: &Run, began: f64) {
        let spot = &mut self.spots[number];
        spot.running -= 1;
        spot.answered += 1;
        spot.service += (at - began - spot.service) * 0.05;
        let report = spot.report(at);
        let answer = Answer {
            latency: Duration::from_nanos(nanos(at) - nanos(run.came)),
            kind: Kind::Ok,
            class: run.class,
            report: Some(report),
        };
        let now = self.instant(at);
        self.picks[run.entry].end(now, &name(number), &answer);
        // The first seconds are those in which all is learned.
        if run.came > 10.0 {
            let got = &mut self.got[(run.class - 1) as usize];
            got[0] += u32::from(at - run.came <= work(run.class).1);
            got[1] += 1;
        }
        self.fill(at, number);
    }

    /// Tells all entries of a change of pace, as gates do.
    fn tell(&mut self, at: f64, number: usize) {
        let report = self.spots[number].report(at);
        let now = self.instant(at);
        let instance: Instance = name(number);
        for pick in &mut self.picks {
            pick.receive_report(now, &instance, report);
        }
    }

    /// The shares in time of reads and of checks.
    fn run(mut self) -> [f64; 2] {
        self.after(0.0, Next::Arrival(READ));
        self.after(0.0, Next::Arrival(CHECK));
        for spot in 0..TARGETS {
            for piece in 1..(SECONDS / PIECE) as usize {
                if self.spots[spot].slow[piece] != self.spots[spot].slow[piece - 1] {
                    self.after(piece as f64 * PIECE + 0.002, Next::Tell { spot });
                }
            }
        }
        while let Some(((at, _), next)) = self.next.pop_first() {
            let at = at as f64 / 1e9;
            if at > SECONDS {
                break;
            }
            match next {
                Next::Arrival(class) => self.arrive(at, class),
                Next::End { spot, run, began } => self.end(at, spot, &run, began),
                Next::Tell { spot } => self.tell(at, spot),
            }
        }
        self.got.map(|[good, all]| f64::from(good) / f64::from(all))
    }
}

/// Means of the shares in time of reads and checks over the seeds, without and with.
fn compare(load: f64, spells: bool) -> [[f64; 2]; 2] {
    let mut sums = [[0.0; 2]; 2];
    for seed in 1..=6 {
        for (mode, by_class) in [false, true].into_iter().enumerate() {
            let shares = Model::new(seed, by_class, load, spells).run();
            for (sum, share) in sums[mode].iter_mut().zip(shares) {
                *sum += share / 6.0;
            }
        }
    }
    println!("uneven: load {load}, spells {spells}: reads and checks in time {sums:?}");
    sums
}

#[test]
fn the_expected_time_of_a_request_decides_among_targets_of_unlike_speed() {
    // Without new reports the load of fast targets is judged by the mean, reads and checks cost the
    // same, and work goes to targets beyond their knee.
    let late = |shares: [f64; 2]| shares.map(|share| 1.0 - share);
    for (load, bound) in [(0.42, 0.75), (0.48, 0.5)] {
        let [without, with] = compare(load, false).map(late);
        assert!(with[0] < without[0] * 0.65, "reads without spells");
        assert!(with[1] < without[1] * 0.85, "checks without spells");
        let [without, with] = compare(load, true).map(late);
        assert!(with[0] < without[0] * 0.6, "reads with spells");
        assert!(with[1] < without[1] * bound, "checks with spells");
    }
    // With little load, none is worse than before.
    let [without, with] = compare(0.35, true).map(late);
    assert!(with[0] < without[0] && with[1] < without[1]);
}
