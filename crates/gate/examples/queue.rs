//! Shows how the order of the queue affects other callers while one member sends a batch.
//!
//! The same load runs three times: with one caller and urgency for all requests, which makes the
//! queue FIFO; with the urgency of each request; and with its caller as well. The target has ten
//! slots and exponential service times of 10 ms. An urgent caller sends 50 requests per second and
//! a routine one 300. A batch of 3,000 per second runs for the last 200 ms of each second.
//! Deadlines are 500 ms.
//!
//! `cargo run --release -p gate --example queue`

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use gate::{Builder, Core, End, Event, Id, Request, Verdict};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use unit::{Digest, Token, Urgency};

const LENGTH: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_micros(100);
const DEADLINE: Duration = Duration::from_millis(500);

/// The callers, in the order of the results.
const CALLERS: [&str; 3] = ["clerk@court", "desk@clinic", "bulk@batcher"];

/// Which properties of a request the queue is given; each order includes those before it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Order {
    Plain,
    Priority,
    Fair,
}

#[derive(Default)]
struct Stats {
    latencies: Vec<Duration>,
    refused: usize,
}

struct Simulation {
    order: Order,
    core: Core,
    now: Instant,
    rng: Pcg64Mcg,
    /// Caller and arrival of each request that waits or runs.
    pending: BTreeMap<Id, (usize, Instant)>,
    /// End and start of each run.
    ends: BinaryHeap<Reverse<(Instant, Id, Instant)>>,
    stats: [Stats; 3],
}

impl Simulation {
    fn arrive(&mut self, caller: usize, token: u128) {
        let urgent = caller == 0 && self.order >= Order::Priority;
        let name = CALLERS[if self.order == Order::Fair { caller } else { 1 }];
        let request = Request {
            token: Token(token),
            urgency: Urgency::ALL[usize::from(!urgent)],
            caller: name.parse().expect("a caller"),
            weight: 1,
            deadline: self.now + DEADLINE,
            kind: Digest(token),
            nested: false,
            goal: None,
            class: 0,
            elsewhere: false,
            bulk: false,
        };
        let verdict = self.core.offer(self.now, request);
        let (Verdict::Start(id) | Verdict::Wait(id)) = verdict else {
            self.stats[caller].refused += 1;
            return;
        };
        self.pending.insert(id, (caller, self.now));
        if verdict == Verdict::Start(id) {
            self.start(id);
        }
    }

    fn start(&mut self, id: Id) {
        self.core.dispatch(self.now, id);
        let uniform: f64 = self.rng.random();
        let length = Duration::from_secs_f64(-(1.0 - uniform).ln() * 0.010);
        self.ends.push(Reverse((self.now + length, id, self.now)));
    }

    fn end_runs(&mut self) {
        while let Some(Reverse((at, id, since))) = self.ends.peek().copied() {
            if at > self.now {
                break;
            }
            self.ends.pop();
            let latency = self.now - since;
            self.core.finish(self.now, id, End::Answered { latency });
            if let Some((caller, arrived)) = self.pending.remove(&id) {
                self.stats[caller].latencies.push(self.now - arrived);
            }
        }
        for event in self.core.poll(self.now) {
            match event {
                Event::Start { id } => self.start(id),
                Event::Refuse { id, .. } => {
                    if let Some((caller, _)) = self.pending.remove(&id) {
                        self.stats[caller].refused += 1;
                    }
                }
            }
        }
    }
}

fn run(name: &str, order: Order) {
    let begin = Instant::now();
    let mut simulation = Simulation {
        order,
        core: Builder::new(10).core(begin),
        now: begin,
        rng: Pcg64Mcg::seed_from_u64(7),
        pending: BTreeMap::new(),
        ends: BinaryHeap::new(),
        stats: Default::default(),
    };
    let mut arrivals = Pcg64Mcg::seed_from_u64(11);
    let mut token = 0;
    while simulation.now < begin + LENGTH {
        simulation.now += STEP;
        simulation.end_runs();
        let in_batch = (simulation.now - begin).subsec_millis() >= 800;
        for (caller, rate) in [50.0, 300.0, if in_batch { 3000.0 } else { 0.0 }]
            .into_iter()
            .enumerate()
        {
            if arrivals.random::<f64>() < rate * STEP.as_secs_f64() {
                token += 1;
                simulation.arrive(caller, token);
            }
        }
    }
    for (caller, mut stats) in simulation.stats.into_iter().enumerate() {
        stats.latencies.sort();
        let at = |share: f64| stats.latencies[(stats.latencies.len() as f64 * share) as usize];
        println!(
            "{name:8} {:12} answered {} refused {} p50 {:.1?} p99 {:.1?}",
            CALLERS[caller],
            stats.latencies.len(),
            stats.refused,
            at(0.5),
            at(0.99),
        );
    }
}

fn main() {
    run("plain", Order::Plain);
    run("priority", Order::Priority);
    run("fair", Order::Fair);
}
