//! 82 workspaces whose sizes fall as rank^-1.2 share one target with 9 slots.

use std::collections::BTreeMap;
use std::time::Duration;

use gate::{Builder, End, Event, Id, Request, Verdict};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::Instant;

use crate::common::{ms, request};

const WORKSPACES: usize = 82;
const SLOTS: u16 = 9;
/// Mean time of a run; the target then runs 90 requests a second.
const RUN: f64 = 0.1;
const CAPACITY: f64 = SLOTS as f64 / RUN;
const GOAL: Duration = ms(800);
/// The usual load of a workspace as a share of its quota.
const USUAL: f64 = 0.62;

/// One load to play.
#[derive(Clone, Copy)]
struct Load {
    /// Usual load of all workspaces as a share of the target's capacity.
    usual: f64,
    /// The rank of the workspace that sends 6 times its usual load for 6 s; none beyond the last.
    hot: usize,
    /// Whether the shares follow the quotas, or are equal.
    weighted: bool,
}

/// What became of the requests of one workspace.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    sent: f64,
    in_time: f64,
}

impl Served {
    fn share(self) -> f64 {
        self.in_time / self.sent.max(1.0)
    }
}

struct Result {
    workspaces: Vec<Served>,
    hot: usize,
}

impl Result {
    fn all(&self) -> f64 {
        let sum = |of: fn(&Served) -> f64| self.workspaces.iter().map(of).sum::<f64>();
        sum(|served| served.in_time) / sum(|served| served.sent)
    }

    /// The smallest share over workspaces within their quota that sent at least 20 requests.
    fn worst(&self) -> f64 {
        let all = self.workspaces.iter().enumerate();
        let within = all.filter(|(rank, served)| *rank != self.hot && served.sent >= 20.0);
        within.map(|(_, served)| served.share()).fold(1.0, f64::min)
    }

    fn print(&self, name: &str) {
        println!(
            "{name}: all {:.3}, worst {:.3}, first {:.3}, hot {:.3}",
            self.all(),
            self.worst(),
            self.workspaces[0].share(),
            self.workspaces.get(self.hot).map_or(1.0, |hot| hot.share()),
        );
    }
}

fn sizes() -> Vec<f64> {
    let sizes: Vec<f64> = (1..=WORKSPACES)
        .map(|rank| (rank as f64).powf(-1.2))
        .collect();
    let sum: f64 = sizes.iter().sum();
    sizes.into_iter().map(|size| size / sum).collect()
}

/// One request of the workspace with this rank.
#[derive(Clone, Copy)]
struct Sent {
    rank: usize,
    at: Instant,
    run: Duration,
    weight: u32,
}

/// The requests of 12 s, of which the hot workspace floods the seconds from 3 to 9.
fn arrivals(load: Load, seed: u64, begin: Instant) -> Vec<Sent> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (rank, size) in sizes().into_iter().enumerate() {
        let usual = size * load.usual * CAPACITY;
        let weight = match load.weighted {
            true => (usual / USUAL).ceil() as u32,
            false => 1,
        };
        let mut at = 0.0;
        loop {
            let flood = rank == load.hot && (3.0..9.0).contains(&at);
            let rate = usual * if flood { 6.0 } else { 1.0 };
            at -= (1.0 - random.random::<f64>()).ln() / rate;
            if at > 12.0 {
                break;
            }
            let run = RUN * random.random_range(0.5..1.5);
            arrivals.push(Sent {
                rank,
                at: begin + Duration::from_secs_f64(at),
                run: Duration::from_secs_f64(run),
                weight,
            });
        }
    }
    arrivals.sort_by_key(|sent| sent.at);
    arrivals
}

fn play(load: Load, seed: u64) -> Result {
    let begin = Instant::now();
    let mut core = Builder::new(SLOTS)
        .law(gate::Law::Knee)
        .queue(usize::from(SLOTS) * 64)
        .reserve(0.0)
        .isolate_suspects(false)
        .core(begin);
    let mut served = vec![Served::default(); WORKSPACES];
    let mut waiting: BTreeMap<Id, Sent> = BTreeMap::new();
    let mut ends: BTreeMap<(Instant, Id), Sent> = BTreeMap::new();
    let mut arrivals = arrivals(load, seed, begin)
        .into_iter()
        .enumerate()
        .peekable();
    let mut now = begin;
    loop {
        let arrival = arrivals.peek().map(|(_, sent)| sent.at);
        let end = ends.keys().next().map(|(at, _)| *at);
        let timer = core.next_timer(now).filter(|_| !waiting.is_empty());
        let Some(next) = [arrival, end, timer].into_iter().flatten().min() else {
            break;
        };
        now = now.max(next);
        let mut started = Vec::new();
        if let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, id), sent) = entry.remove_entry();
            core.finish(now, id, End::Answered { latency: sent.run });
            served[sent.rank].in_time += f64::from(u8::from(now - sent.at <= GOAL));
        } else if let Some((token, sent)) = arrivals.next_if(|(_, sent)| sent.at <= now) {
            served[sent.rank].sent += 1.0;
            let request = Request {
                weight: sent.weight,
                deadline: now + ms(2_000),
                goal: Some(now + GOAL),
                class: 7,
                ..request(now, token as u128, &format!("w-{}", sent.rank))
            };
            match core.offer(now, request) {
                Verdict::Start(id) => started.push((id, sent)),
                Verdict::Wait(id) => drop(waiting.insert(id, sent)),
                Verdict::Refuse(_) => {}
            }
        }
        for event in core.poll(now) {
            match event {
                Event::Start { id } => {
                    started.push((id, waiting.remove(&id).expect("it waits")));
                }
                Event::Refuse { id, .. } => drop(waiting.remove(&id)),
            }
        }
        for (id, sent) in started {
            core.dispatch(now, id);
            ends.insert((now + sent.run, id), sent);
        }
    }
    Result {
        workspaces: served,
        hot: load.hot,
    }
}

/// A flood of one workspace took the share of the others.
#[test]
fn a_flood_costs_other_workspaces_little() {
    for hot in [0, 4, 20] {
        let load = Load {
            usual: USUAL,
            hot,
            weighted: true,
        };
        let result = play(load, 1);
        result.print(&format!("hot {hot}"));
        assert!(result.worst() >= 0.95, "hot {hot}: {}", result.worst());
    }
}

/// With twice as much load as the target takes, equal shares serve a large workspace a fiftieth of its
/// requests; no workspace within its quota may get less than a quarter of what all get.
#[test]
fn weights_by_quota_serve_the_worst_better_than_equal_shares() {
    let ratio = |weighted, seed| {
        let load = Load {
            usual: 2.0,
            hot: WORKSPACES,
            weighted,
        };
        let result = play(load, seed);
        result.print(&format!("weighted {weighted}"));
        result.worst() / result.all()
    };
    for seed in 1..=3 {
        let (equal, weighted) = (ratio(false, seed), ratio(true, seed));
        assert!(equal < 0.25, "the comparison has become moot: {equal}");
        assert!(weighted >= 0.25, "{weighted}");
    }
}

/// A newcomer waited behind a flood of a thousand, or was refused in its place.
#[test]
fn a_newcomer_is_served_before_a_flood_of_a_thousand() {
    let now = Instant::now();
    let mut core = Builder::new(1)
        .queue(1_000)
        .reserve(0.0)
        .wait(ms(900_000))
        .core(now);
    let patient = |token: u128, caller: &str, weight| Request {
        weight,
        deadline: now + ms(900_000),
        ..request(now, token, caller)
    };
    let Verdict::Start(first) = core.offer(now, patient(0, "flood", 174)) else {
        panic!("the target is idle");
    };
    core.dispatch(now, first);
    let mut queued = 0;
    for token in 1..=1_000 {
        let verdict = core.offer(now, patient(token, "flood", 174));
        queued += usize::from(matches!(verdict, Verdict::Wait(_)));
    }
    assert_eq!(queued, 1_000);
    let Verdict::Wait(newcomer) = core.offer(now, patient(2_000, "small", 1)) else {
        panic!("the newcomer must wait for its turn");
    };
    let refused = core.poll(now).into_iter().filter(|event| match event {
        Event::Refuse { id, .. } => *id != newcomer,
        Event::Start { .. } => false,
    });
    assert_eq!(
        refused.count(),
        1,
        "the full queue gives up one of the flood"
    );
    let later = now + ms(10);
    core.finish(later, first, End::Answered { latency: ms(10) });
    let Some(Event::Start { id }) = core.poll(later).into_iter().next() else {
        panic!("a slot is free");
    };
    core.dispatch(later, id);
    core.finish(later + ms(10), id, End::Answered { latency: ms(10) });
    let next = core.poll(later + ms(10)).into_iter().next();
    let starts = |event| matches!(event, Event::Start { id } if id == newcomer);
    assert!(id == newcomer || next.is_some_and(starts));
}
