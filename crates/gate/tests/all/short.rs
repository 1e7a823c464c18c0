//! Short nested calls beside long work at one target.

use std::collections::BTreeMap;
use std::time::Duration;

use gate::{Builder, Core, End, Event, Id, Request, Verdict};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::common::{ms, request};

const SLOTS: u16 = 9;
const READ: Duration = ms(750);
const CHECK: Duration = ms(55);
const OBJECTIVE: Duration = ms(150);

/// What happens next at the target.
#[derive(Clone, Copy)]
enum Next {
    Arrival { nested: bool },
    End(Id),
}

/// What callers got: in time and all, for reads and checks.
#[derive(Debug, Default)]
struct Got {
    reads: u32,
    read_slots: Duration,
    checks: u32,
    checks_in_time: u32,
}

struct Model {
    core: Core,
    random: Pcg64Mcg,
    now: Instant,
    next: BTreeMap<(Instant, u64), Next>,
    order: u64,
    runs: BTreeMap<Id, (bool, Instant, Instant)>,
    got: Got,
    until: Instant,
    /// Mean time between two reads and between two checks.
    gaps: [Duration; 2],
    times: [Duration; 2],
}

impl Model {
    fn new(keep: bool, seed: u64, gaps: [Duration; 2], times: [Duration; 2]) -> Model {
        let now = Instant::now();
        let core = Builder::new(SLOTS)
            .law(gate::Law::Fixed)
            .reserve(0.0)
            .nested_slot(keep)
            .core(now);
        Model {
            core,
            random: Pcg64Mcg::seed_from_u64(seed),
            now,
            next: BTreeMap::new(),
            order: 0,
            runs: BTreeMap::new(),
            got: Got::default(),
            until: now + Duration::from_secs(200),
            gaps,
            times,
        }
    }

    fn after(&mut self, wait: Duration, next: Next) {
        self.order += 1;
        self.next.insert((self.now + wait, self.order), next);
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let part: f64 = self.random.random_range(1e-9..1.0);
        mean.mul_f64(-part.ln())
    }

    fn arrive(&mut self, nested: bool) {
        let gap = self.gaps[usize::from(nested)];
        let gap = self.exponential(gap);
        self.after(gap, Next::Arrival { nested });
        self.order += 1;
        let offered = Request {
            nested,
            class: 1 + u32::from(nested),
            deadline: self.now + ms(3_000),
            ..request(self.now, u128::from(self.order), "a@b")
        };
        let verdict = self.core.offer(self.now, offered);
        if nested {
            self.got.checks += 1;
        }
        match verdict {
            Verdict::Start(id) => {
                self.runs.insert(id, (nested, self.now, self.now));
                self.start(id);
            }
            Verdict::Wait(id) => {
                self.runs.insert(id, (nested, self.now, self.now));
            }
            Verdict::Refuse(_) => {}
        }
    }

    fn start(&mut self, id: Id) {
        self.core.dispatch(self.now, id);
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.2 = self.now;
        let mean = self.times[usize::from(run.0)];
        // Times are spread over 0.6 to 1.4 of their mean.
        let time = mean.mul_f64(self.random.random_range(0.6..1.4));
        self.after(time, Next::End(id));
    }

    fn end(&mut self, id: Id) {
        let Some((nested, came, began)) = self.runs.remove(&id) else {
            return;
        };
        let latency = self.now - began;
        self.core.finish(self.now, id, End::Answered { latency });
        if nested {
            self.got.checks_in_time += u32::from(self.now - came <= OBJECTIVE);
        } else {
            self.got.reads += 1;
            self.got.read_slots += latency;
        }
    }

    fn run(mut self) -> (f64, u32) {
        self.arrive(false);
        self.arrive(true);
        while let Some(((now, _), next)) = self.next.pop_first() {
            if now > self.until {
                break;
            }
            self.now = now;
            match next {
                Next::Arrival { nested } => self.arrive(nested),
                Next::End(id) => self.end(id),
            }
            for event in self.core.poll(self.now) {
                match event {
                    Event::Start { id } => self.start(id),
                    Event::Refuse { id, .. } => drop(self.runs.remove(&id)),
                }
            }
        }
        let share = f64::from(self.got.checks_in_time) / f64::from(self.got.checks);
        (share, self.got.reads)
    }
}

#[test]
fn nested_checks_start_beside_long_reads() {
    // Two checks of 55 ms due in 150 ms wait for reads of 750 ms that hold all slots.
    let gaps = [ms(100), ms(120)];
    let mut sums = [0.0; 4];
    for seed in 1..=5 {
        let without = Model::new(false, seed, gaps, [READ, CHECK]).run();
        let with = Model::new(true, seed, gaps, [READ, CHECK]).run();
        println!(
            "short: seed {seed}, checks in time and reads: without {without:?}, with {with:?}"
        );
        let parts = [without.0, with.0, f64::from(without.1), f64::from(with.1)];
        for (sum, part) in sums.iter_mut().zip(parts) {
            *sum += part / 5.0;
        }
    }
    println!("short: means {sums:?}");
    // At least three in four of the late checks are in time, for at most a fifteenth of the reads.
    assert!(1.0 - sums[1] < (1.0 - sums[0]) / 4.0, "{sums:?}");
    assert!(sums[3] > sums[2] * 14.0 / 15.0, "{sums:?}");
}

#[test]
fn no_slot_is_kept_where_nested_calls_are_as_long() {
    // A slot kept for calls that are no shorter than others would cost a ninth of the capacity.
    let gaps = [ms(30), ms(60)];
    let times = [ms(100), ms(100)];
    let without = Model::new(false, 3, gaps, times).run();
    let with = Model::new(true, 3, gaps, times).run();
    assert_eq!(with, without);
}

#[test]
fn no_slot_is_kept_without_nested_calls_that_wait() {
    // Reads must have all slots while no check has found them full.
    let now = Instant::now();
    let mut core = Builder::new(SLOTS)
        .law(gate::Law::Fixed)
        .reserve(0.0)
        .nested_slot(true)
        .core(now);
    let mut token = 0;
    let mut started = |core: &mut Core, now: Instant, nested: bool| {
        token += 1;
        let offered = Request {
            nested,
            deadline: now + ms(3_000),
            ..request(now, token, "a@b")
        };
        match core.offer(now, offered) {
            Verdict::Start(id) => {
                core.dispatch(now, id);
                Some(id)
            }
            _ => None,
        }
    };
    let end = |core: &mut Core, at: Instant, id: Id, latency: Duration| {
        core.finish(at, id, End::Answered { latency });
    };
    for round in 0..10 {
        let at = now + READ * round;
        let read = started(&mut core, at, false).expect("a start");
        let check = started(&mut core, at, true).expect("a start");
        end(&mut core, at + CHECK, check, CHECK);
        end(&mut core, at + READ, read, READ);
    }
    let at = now + READ * 10;
    let reads: Vec<Id> = (0..SLOTS)
        .filter_map(|_| started(&mut core, at, false))
        .collect();
    assert_eq!(reads.len(), usize::from(SLOTS), "no check has waited");
    assert_eq!(started(&mut core, at, true), None);
    // From here on a check has waited. It gets the slot that frees, and reads no longer get the last.
    let later = at + READ;
    end(&mut core, later, reads[0], READ);
    let events = core.poll(later);
    let [Event::Start { id: check }] = events[..] else {
        panic!("the check starts: {events:?}");
    };
    core.dispatch(later, check);
    end(&mut core, later + CHECK, check, CHECK);
    let later = later + CHECK;
    assert_eq!(started(&mut core, later, false), None, "the slot is kept");
    assert!(started(&mut core, later, true).is_some(), "for checks");
    assert!(core.dump(later).nested_slot.is_some_and(|slot| slot.kept));
    let long_after = later + Duration::from_secs(16);
    assert!(
        core.dump(long_after)
            .nested_slot
            .is_some_and(|slot| !slot.kept)
    );
}
