//! A fleet of 80 daemons and 8 allocators without faults, in simulated time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use quota::{Answer, Ask, Borrower, Lender, List, Member, Moment, Setting, Take};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use unit::{Era, Incarnation, Instance, Rate, Version, Workspace};
use workspace::Quota;

pub const DAEMONS: usize = 80;
pub const WORKSPACES: usize = 82;
const ALLOCATORS: usize = 8;
const STEP_MS: u64 = 4;
/// How often a daemon without requests looks at what is due.
const LOOK_MS: u64 = 48;
/// How long a request waits for a token.
const PATIENCE_MS: u64 = 150;
/// Bytes that a message takes beside its payload: frame, stream and packet.
const MESSAGE_OVERHEAD: u64 = 70;

pub const SETTING: Setting = Setting {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20,
};

/// A workspace and where and how often its requests come.
pub struct Load {
    pub name: Workspace,
    pub limit: u32,
    pub quota: Quota,
    /// Requests a second at a time in milliseconds.
    pub rate: Box<dyn Fn(u64) -> f64>,
    /// Requests come at random daemons below this number.
    pub daemons: usize,
}

/// What became of the requests of a workspace.
#[derive(Debug, Default)]
pub struct Served {
    /// When requests were admitted, in milliseconds.
    pub admitted: VecDeque<u64>,
    pub refused: u64,
    /// Refused while fewer requests than the limit had been admitted in the window.
    pub lost: u64,
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub most_by_allocator: u64,
}

enum Packet {
    Ask(usize, Ask),
    Answer(Member, u64, Answer),
}

struct Waiting {
    workspace: usize,
    daemon: usize,
    until: u64,
}

pub struct Fleet {
    pub loads: Vec<Load>,
    pub served: Vec<Served>,
    pub traffic: Traffic,
    now: u64,
    rng: Pcg64Mcg,
    names: Vec<Member>,
    borrowers: Vec<Borrower>,
    lenders: Vec<Lender>,
    network: VecDeque<(u64, usize, Packet)>,
    waiting: Vec<Waiting>,
    touched: Vec<bool>,
    by_allocator: BTreeMap<usize, u64>,
}

/// The quota of the workspace of a rank from 1 on.
pub fn quota(rank: usize) -> Quota {
    let rate = 174.0 * (rank as f64).powf(-1.2);
    Quota {
        rate: Rate::of(rate),
        burst: rate.round().max(1.0) as u32,
    }
}

/// The usual load: 0.62 of the rate, at all daemons.
pub fn usual(rank: usize) -> Load {
    let quota = quota(rank);
    let rate = quota.rate.per_second() * 0.62;
    Load {
        name: format!("w{rank}").parse().expect("a workspace"),
        limit: SETTING.limit(&quota),
        quota,
        rate: Box::new(move |_| rate),
        daemons: DAEMONS,
    }
}

fn daemons(names: &[Member]) -> Vec<Instance> {
    let mut daemons: Vec<Instance> = names.iter().map(|name| name.instance.clone()).collect();
    daemons.sort();
    daemons
}

impl Fleet {
    pub fn new(seed: u64, loads: Vec<Load>) -> Fleet {
        let names: Vec<Member> = (0..DAEMONS)
            .map(|daemon| Member {
                instance: format!("sidecar-{daemon}").parse().expect("an instance"),
                incarnation: Incarnation(1_700_000_000_000 + daemon as u64),
            })
            .collect();
        let list = List {
            number: 1,
            era: Era(0),
            settled: true,
            follows_settled: false,
            complete: true,
            fleet: 120,
            allocators: names[..ALLOCATORS].to_vec(),
            daemons: daemons(&names),
            leaving: Vec::new(),
        };
        let new_borrower = |member: &Member| {
            let mut borrower = Borrower::new(member.incarnation, SETTING);
            borrower.set_list(Version::of(1), &list);
            borrower
        };
        Fleet {
            served: loads.iter().map(|_| Served::default()).collect(),
            traffic: Traffic::default(),
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            borrowers: names.iter().map(new_borrower).collect(),
            lenders: names[..ALLOCATORS]
                .iter()
                .map(|member| {
                    let mut lender = Lender::new(member.clone(), SETTING);
                    lender.confirm(Moment::START, Moment::START, Version::of(1), Some(&list));
                    lender
                })
                .collect(),
            names,
            network: VecDeque::new(),
            waiting: Vec::new(),
            touched: vec![false; DAEMONS],
            by_allocator: BTreeMap::new(),
            loads,
        }
    }

    fn moment(&self) -> Moment {
        Moment(Duration::from_millis(self.now))
    }

    pub fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += STEP_MS;
            let now = self.moment();
            for lender in &mut self.lenders {
                let list = lender.list().map(|(_, list)| list.clone());
                lender.confirm(now, now, Version::of(1), list.as_ref());
            }
            self.deliver();
            self.arrivals();
            self.retry_waiting();
            for daemon in 0..DAEMONS {
                let is_idle = !std::mem::take(&mut self.touched[daemon]);
                if is_idle && !(self.now + daemon as u64 * STEP_MS).is_multiple_of(LOOK_MS) {
                    continue;
                }
                for (to, ask) in self.borrowers[daemon].asks(now) {
                    let to = self
                        .names
                        .iter()
                        .position(|name| *name == to)
                        .expect("known");
                    self.count(to, &ask);
                    self.network
                        .push_back((self.now + STEP_MS, to, Packet::Ask(daemon, ask)));
                }
            }
        }
    }

    fn count<T: Serialize>(&mut self, allocator: usize, message: &T) {
        let bytes = postcard::to_stdvec(message).expect("a message").len() as u64;
        let bytes = bytes + MESSAGE_OVERHEAD;
        self.traffic.messages += 1;
        self.traffic.bytes += bytes;
        let total = self.by_allocator.entry(allocator).or_default();
        *total += bytes;
        self.traffic.most_by_allocator = self.traffic.most_by_allocator.max(*total);
    }

    pub fn reset_traffic(&mut self) {
        self.traffic = Traffic::default();
        self.by_allocator.clear();
    }

    fn deliver(&mut self) {
        let now = self.moment();
        while self.network.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, to, packet)) = self.network.pop_front() else {
                return;
            };
            match packet {
                Packet::Ask(from, ask) => {
                    let quotas: BTreeMap<&Workspace, Quota> = self
                        .loads
                        .iter()
                        .map(|load| (&load.name, load.quota))
                        .collect();
                    let quota = |name: &Workspace| quotas.get(name).copied();
                    let instance: &Instance = &self.names[from].instance;
                    let answer = self.lenders[to].ask(now, instance, &ask, quota);
                    let bytes = postcard::to_stdvec(&ask).expect("an ask").len() as u64;
                    self.lenders[to].count_traffic(now, 2 * (bytes + MESSAGE_OVERHEAD));
                    self.count(to, &answer);
                    let packet = Packet::Answer(self.names[to].clone(), ask.number, answer);
                    self.network.push_back((self.now + STEP_MS, from, packet));
                }
                Packet::Answer(from, number, answer) => {
                    self.borrowers[to].answered(now, &from, number, &answer);
                }
            }
        }
    }

    fn arrivals(&mut self) {
        for workspace in 0..self.loads.len() {
            let load = &self.loads[workspace];
            let mean = (load.rate)(self.now) * STEP_MS as f64 / 1_000.0;
            let daemons = load.daemons;
            let mut left = (-mean).exp();
            let mut draw: f64 = self.rng.random();
            let mut count = 0;
            while draw > left && count < 50 {
                count += 1;
                draw -= left;
                left *= mean / f64::from(count);
            }
            for _ in 0..count {
                let daemon = self.rng.random_range(0..daemons);
                if self.take(workspace, daemon) == Take::Wait {
                    let name = self.loads[workspace].name.clone();
                    self.borrowers[daemon].set_waiting(&name, true);
                    let until = self.now + PATIENCE_MS;
                    self.waiting.push(Waiting {
                        workspace,
                        daemon,
                        until,
                    });
                }
            }
        }
    }

    /// Tries to admit a request; counts it unless it has to wait.
    fn take(&mut self, workspace: usize, daemon: usize) -> Take {
        let now = self.moment();
        self.touched[daemon] = true;
        let load = &self.loads[workspace];
        let borrower = &mut self.borrowers[daemon];
        borrower.set_limit(now, &load.name, load.limit);
        let taken = borrower.take(now, &load.name);
        match taken {
            Take::Spent(_) => self.served[workspace].admitted.push_back(self.now),
            Take::Wait => (),
            Take::Exceeded(_) => self.refuse(workspace, daemon),
        }
        taken
    }

    fn refuse(&mut self, workspace: usize, daemon: usize) {
        let now = self.moment();
        let name = &self.loads[workspace].name;
        self.borrowers[daemon].refuse(now, name);
        let served = &mut self.served[workspace];
        let start = self.now.saturating_sub(5_000);
        let recent = served
            .admitted
            .iter()
            .rev()
            .take_while(|at| **at > start)
            .count();
        served.refused += 1;
        served.lost += u64::from((recent as u32) < self.loads[workspace].limit);
    }

    fn retry_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let Waiting {
                workspace,
                daemon,
                until,
            } = waiting;
            let name = self.loads[workspace].name.clone();
            if self.now >= until {
                self.borrowers[daemon].set_waiting(&name, false);
                self.refuse(workspace, daemon);
            } else if self.take(workspace, daemon) == Take::Wait {
                self.waiting.push(waiting);
            } else {
                self.borrowers[daemon].set_waiting(&name, false);
            }
        }
    }
}

impl Served {
    /// The part of requests that were refused below the limit.
    pub fn lost_part(&self) -> f64 {
        self.lost as f64 / (self.admitted.len() as f64 + self.refused as f64).max(1.0)
    }

    /// The largest number admitted in a window.
    pub fn most(&self) -> usize {
        let times = &self.admitted;
        let windows = times.iter().enumerate().map(|(first, start)| {
            times
                .iter()
                .skip(first)
                .take_while(|at| **at < start + 5_000)
                .count()
        });
        windows.max().unwrap_or(0)
    }

    /// The number admitted from one time to another.
    pub fn between(&self, from: u64, to: u64) -> usize {
        self.admitted
            .iter()
            .filter(|at| (from..to).contains(*at))
            .count()
    }
}
