//! A fleet, its network and its store in simulated time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use proptest::test_runner::TestCaseError;
use quota::{Answer, Ask, Borrower, Lender, List, Member, Moment, Setting, Take, Transfer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use unit::{Era, Incarnation, Rate, Version, Workspace};
use workspace::Quota;

pub const DAEMONS: usize = 8;
pub const RUN_MS: u64 = 80_000;
const STEP_MS: u64 = 25;
const CONFIRM_MS: u64 = 400;
const KEEP_MS: u64 = 500;
/// How long each limit is in force.
const LIMIT_MS: u64 = RUN_MS / 4;
const NAMES: [&str; 2] = ["small", "large"];
const SMALL_LIMIT: u32 = 6;

pub const SETTING: Setting = Setting {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 2,
};

#[derive(Debug, Clone)]
pub struct Event {
    pub at: u64,
    pub fault: Fault,
}

#[derive(Debug, Clone)]
pub enum Fault {
    Restart {
        daemon: usize,
        down: u64,
    },
    /// All daemons at once.
    RestartAll {
        down: u64,
    },
    /// The process stands still; its clock counts the time.
    Freeze {
        daemon: usize,
        span: u64,
    },
    /// Daemons whose bits differ don't reach each other.
    Partition {
        side: u8,
        span: u64,
    },
    /// Daemons whose bit is set don't reach the store.
    StoreCut {
        cut: u8,
        span: u64,
    },
    /// All daemons that the list names as allocators.
    RestartAllocators {
        down: u64,
    },
    /// The store comes back with the list before the present one.
    Rollback,
    /// The list is replaced by one of these members.
    Rewrite {
        members: u8,
    },
    /// A planned stop, with a transfer of the records.
    Stop {
        daemon: usize,
    },
    SlowNetwork {
        span: u64,
    },
}

#[derive(Debug, Clone)]
enum Packet {
    Ask(Ask),
    Answer(Member, u64, Answer),
    Transfer(Transfer),
    Confirm(u64, Version, Option<List>),
}

struct Daemon {
    member: Member,
    started: u64,
    down_until: u64,
    frozen_until: u64,
    /// Time that its clock does not count.
    uncounted: u64,
    borrower: Borrower,
    lender: Lender,
    limit: u32,
    inbox: VecDeque<(usize, Packet)>,
}

struct Sent {
    at: u64,
    from: usize,
    to: usize,
    /// The life that it is for; a new one doesn't get it.
    life: Incarnation,
    packet: Packet,
}

/// Whether allocators learn of the demand, and so of workspaces over their quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pacing {
    /// Requests come at several times the quota, so workspaces are held to their rate.
    On,
    /// Only tokens and the window limit what is admitted, which a pace would hide.
    Off,
}

/// What the clocks of processes count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Clock {
    /// All time.
    CountsFreezes,
    /// Not the time for which a process stood still, as tokio's clock may do.
    StopsInFreezes,
}

pub struct World {
    clock: Clock,
    pacing: Pacing,
    now: u64,
    rng: Pcg64Mcg,
    daemons: Vec<Daemon>,
    network: Vec<Sent>,
    side: (u8, u64),
    cut: (u8, u64),
    slow_until: u64,
    store: (Version, Option<List>),
    former: Option<List>,
    written: u64,
    limits: Vec<u32>,
    /// The highest limit that a daemon had in each step.
    in_force: Vec<u32>,
    admitted: BTreeMap<Workspace, Vec<u64>>,
}

fn workspace(name: &str) -> Workspace {
    name.parse().expect("a workspace")
}

/// The quota that gives `limit` requests in a window.
fn quota(limit: u32) -> Quota {
    Quota {
        rate: Rate::of(f64::from(limit - limit / 6) / 5.0),
        burst: limit / 6,
    }
}

fn member(daemon: usize, life: u64) -> Member {
    Member {
        instance: format!("d{daemon}").parse().expect("an instance"),
        incarnation: Incarnation(life),
    }
}

impl Daemon {
    fn new(daemon: usize, now: u64, limit: u32) -> Daemon {
        let member = member(daemon, now);
        Daemon {
            borrower: Borrower::new(member.incarnation, SETTING),
            lender: Lender::new(member.clone(), SETTING),
            member,
            started: now,
            down_until: 0,
            frozen_until: 0,
            uncounted: 0,
            limit,
            inbox: VecDeque::new(),
        }
    }

    fn moment(&self, now: u64) -> Moment {
        Moment(Duration::from_millis(
            now.saturating_sub(self.started + self.uncounted),
        ))
    }

    fn runs(&self, now: u64) -> bool {
        now >= self.down_until && now >= self.frozen_until
    }
}

impl World {
    pub fn new(seed: u64, limits: &[u32], clock: Clock, pacing: Pacing) -> World {
        let daemons = (0..DAEMONS)
            .map(|daemon| Daemon::new(daemon, 0, limits[0]))
            .collect();
        let list = List {
            number: 1,
            era: Era(0),
            settled: true,
            follows_settled: false,
            complete: true,
            fleet: DAEMONS as u32,
            allocators: (0..3).map(|daemon| member(daemon, 0)).collect(),
            daemons: (0..DAEMONS)
                .map(|daemon| member(daemon, 0).instance)
                .collect(),
            leaving: Vec::new(),
        };
        World {
            clock,
            pacing,
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            daemons,
            network: Vec::new(),
            side: (0, 0),
            cut: (0, 0),
            slow_until: 0,
            store: (Version::of(1), Some(list)),
            former: None,
            written: 0,
            limits: limits.to_vec(),
            in_force: Vec::new(),
            admitted: NAMES
                .iter()
                .map(|name| (workspace(name), Vec::new()))
                .collect(),
        }
    }

    pub fn run(&mut self, events: &[Event]) {
        let mut events = events.to_vec();
        events.sort_by_key(|event| event.at);
        let mut events = events.into_iter().peekable();
        while self.now < RUN_MS {
            while let Some(event) = events.next_if(|event| event.at <= self.now) {
                self.fault(event.fault);
            }
            self.configure();
            self.keep_list();
            self.confirm();
            self.deliver();
            for daemon in 0..DAEMONS {
                self.turn(daemon);
            }
            self.now += STEP_MS;
        }
    }

    fn fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Restart { daemon, down } => self.restart(daemon, down),
            Fault::RestartAll { down } => {
                for daemon in 0..DAEMONS {
                    self.restart(daemon, down);
                }
            }
            Fault::RestartAllocators { down } => {
                let listed = self.store.1.clone();
                let is_listed = |me: &Member| {
                    let list = listed.as_ref();
                    list.is_some_and(|list| list.allocators.contains(me))
                };
                for daemon in 0..DAEMONS {
                    if is_listed(&self.daemons[daemon].member) {
                        self.restart(daemon, down);
                    }
                }
            }
            Fault::Freeze { daemon, span } => self.freeze(daemon, span),
            Fault::Partition { side, span } => self.side = (side, now + span),
            Fault::StoreCut { cut, span } => self.cut = (cut, now + span),
            Fault::SlowNetwork { span } => self.slow_until = now + span,
            Fault::Rollback => {
                let (version, list) = self.store.clone();
                let list = self.former.clone().or(list);
                let era = Era(version.era.0 + 1);
                self.store = (
                    Version::in_era(era, version.revision.saturating_sub(1)),
                    list,
                );
                self.written = now;
            }
            Fault::Rewrite { members } => {
                let members = (0..DAEMONS).filter(|daemon| members & (1 << daemon) != 0);
                let members = members
                    .map(|daemon| self.daemons[daemon].member.clone())
                    .collect();
                self.write(members);
            }
            Fault::Stop { daemon } => self.stop(daemon),
        }
    }

    fn freeze(&mut self, daemon: usize, span: u64) {
        let state = &mut self.daemons[daemon];
        state.frozen_until = self.now + span;
        if self.clock == Clock::StopsInFreezes {
            state.uncounted += span;
        }
    }

    fn restart(&mut self, daemon: usize, down: u64) {
        let mut fresh = Daemon::new(daemon, self.now, self.daemons[daemon].limit);
        fresh.started = self.now + down;
        fresh.member.incarnation = Incarnation(self.now + down);
        fresh.down_until = self.now + down;
        fresh.borrower = Borrower::new(fresh.member.incarnation, SETTING);
        fresh.lender = Lender::new(fresh.member.clone(), SETTING);
        self.daemons[daemon] = fresh;
    }

    fn write(&mut self, mut allocators: Vec<Member>) -> Option<List> {
        let (version, list) = self.store.clone();
        let list = list?;
        if allocators.is_empty() {
            allocators = vec![self.daemons[0].member.clone()];
        }
        let is_of_era = list.era == version.era;
        let next = List {
            number: list.number + 1,
            era: version.era,
            settled: false,
            follows_settled: is_of_era && list.settled,
            complete: is_of_era && (list.complete || self.has_stood()),
            allocators,
            ..list.clone()
        };
        self.former = Some(list);
        let version = Version::in_era(version.era, version.revision + 1);
        self.store = (version, Some(next.clone()));
        self.written = self.now;
        Some(next)
    }

    fn has_stood(&self) -> bool {
        self.now - self.written >= SETTING.takeover_wait().as_millis() as u64
    }

    /// The watchers: a list without those that have restarted, and one that is settled.
    fn keep_list(&mut self) {
        if !self.now.is_multiple_of(KEEP_MS) {
            return;
        }
        let (version, list) = self.store.clone();
        let Some(list) = list else {
            return;
        };
        let now = self.now;
        let find = |daemons: &[Daemon], member: &Member| {
            daemons.iter().position(|daemon| daemon.member == *member)
        };
        let listed: Vec<Option<usize>> = list
            .allocators
            .iter()
            .map(|member| find(&self.daemons, member))
            .collect();
        if listed.iter().any(Option::is_none) {
            let running = (0..DAEMONS).filter(|daemon| self.daemons[*daemon].runs(now));
            let mut members: Vec<Member> = running
                .map(|daemon| self.daemons[daemon].member.clone())
                .collect();
            let turn = now as usize / 500 % members.len().max(1);
            members.rotate_left(turn);
            members.truncate(3);
            if !members.is_empty() {
                self.write(members);
            }
            return;
        }
        let is_clear = listed.into_iter().flatten().all(|place| {
            let daemon = &self.daemons[place];
            let limit = daemon.limit;
            let quota = |name: &Workspace| match name.as_str() {
                "small" => Some(quota(SMALL_LIMIT)),
                _ => Some(quota(limit)),
            };
            daemon.runs(now) && daemon.lender.is_clear(daemon.moment(now), quota)
        });
        if !list.settled && list.era == version.era && self.has_stood() && is_clear {
            let mut next = list.clone();
            next.number += 1;
            next.settled = true;
            next.follows_settled = false;
            next.complete = true;
            self.former = Some(list);
            self.store = (
                Version::in_era(version.era, version.revision + 1),
                Some(next),
            );
            self.written = now;
        }
    }

    fn stop(&mut self, daemon: usize) {
        let now = self.now;
        if !self.daemons[daemon].runs(now) || self.is_cut(daemon) {
            return;
        }
        let me = self.daemons[daemon].member.clone();
        let Some(list) = self.store.1.clone() else {
            return;
        };
        let is_current = self.daemons[daemon]
            .lender
            .list()
            .map(|(version, _)| *version);
        self.daemons[daemon].lender.stop();
        if list.allocators.contains(&me) && is_current == Some(self.store.0) {
            let others = list
                .allocators
                .iter()
                .filter(|other| **other != me)
                .cloned()
                .collect();
            if let Some(next) = self.write(others) {
                let at = self.daemons[daemon].moment(now);
                for (to, transfer) in self.daemons[daemon].lender.transfers(at, &next) {
                    let found = self.daemons.iter().position(|other| other.member == to);
                    if let Some(to) = found {
                        self.send(daemon, to, Packet::Transfer(transfer));
                    }
                }
            }
        }
    }

    fn is_cut(&self, daemon: usize) -> bool {
        let (cut, until) = self.cut;
        self.now < until && cut & (1 << daemon) != 0
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (side, until) = self.side;
        self.now >= until || (side >> from) & 1 == (side >> to) & 1
    }

    fn delay(&mut self) -> u64 {
        let slow = self.now < self.slow_until;
        match self.rng.random_range(0..100) {
            _ if slow => self.rng.random_range(0..3_000),
            0..3 => self.rng.random_range(0..3_000),
            _ => self.rng.random_range(0..60),
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        let is_lost = from != to && self.rng.random_range(0..100) < 3;
        if is_lost || !self.reaches(from, to) {
            return;
        }
        let at = self.now + self.delay();
        let life = self.daemons[to].member.incarnation;
        self.network.push(Sent {
            at,
            from,
            to,
            life,
            packet,
        });
    }

    /// Each daemon gets the limits up to 2 s after their change.
    fn configure(&mut self) {
        let now = self.now;
        for daemon in 0..DAEMONS {
            let behind = 250 * daemon as u64;
            let place = now.saturating_sub(behind) / LIMIT_MS;
            self.daemons[daemon].limit = self.limits[place as usize];
        }
        let running = self
            .daemons
            .iter()
            .filter(|daemon| now >= daemon.down_until);
        self.in_force
            .push(running.map(|daemon| daemon.limit).max().unwrap_or(0));
    }

    /// Reads of the store; each is true at some moment between its start and its end.
    fn confirm(&mut self) {
        if !self.now.is_multiple_of(CONFIRM_MS) {
            return;
        }
        for daemon in 0..DAEMONS {
            if self.daemons[daemon].runs(self.now) && !self.is_cut(daemon) {
                let (version, list) = self.store.clone();
                let at = self.now + self.delay();
                let packet = Packet::Confirm(self.now, version, list);
                let life = self.daemons[daemon].member.incarnation;
                self.network.push(Sent {
                    at,
                    from: daemon,
                    to: daemon,
                    life,
                    packet,
                });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|s: &Sent| s.at <= now);
        self.network = later;
        for sent in due {
            let daemon = &mut self.daemons[sent.to];
            if daemon.member.incarnation == sent.life && now >= daemon.down_until {
                daemon.inbox.push_back((sent.from, sent.packet));
            }
        }
    }

    fn turn(&mut self, daemon: usize) {
        if !self.daemons[daemon].runs(self.now) {
            return;
        }
        self.configure_borrower(daemon);
        while let Some((from, packet)) = self.daemons[daemon].inbox.pop_front() {
            self.receive(daemon, from, packet);
        }
        self.requests(daemon);
        let at = self.daemons[daemon].moment(self.now);
        for (to, ask) in self.daemons[daemon].borrower.asks(at) {
            let mut ask = ask;
            if self.pacing == Pacing::Off {
                ask.items.iter_mut().for_each(|item| item.tried = 0);
            }
            if let Some(to) = self.daemons.iter().position(|other| other.member == to) {
                self.send(daemon, to, Packet::Ask(ask));
            }
        }
    }

    fn configure_borrower(&mut self, daemon: usize) {
        let at = self.daemons[daemon].moment(self.now);
        let limit = self.daemons[daemon].limit;
        let borrower = &mut self.daemons[daemon].borrower;
        borrower.set_limit(at, &workspace("small"), SMALL_LIMIT);
        borrower.set_limit(at, &workspace("large"), limit);
    }

    fn receive(&mut self, daemon: usize, from: usize, packet: Packet) {
        let now = self.now;
        let sender = self.daemons[from].member.instance.clone();
        let state = &mut self.daemons[daemon];
        let at = state.moment(now);
        match packet {
            Packet::Confirm(began, version, list) => {
                let began = state.moment(began);
                state.lender.confirm(at, began, version, list.as_ref());
                if let Some(list) = list {
                    state.borrower.set_list(version, &list);
                }
            }
            Packet::Ask(ask) => {
                let limit = state.limit;
                let quota = |name: &Workspace| match name.as_str() {
                    "small" => Some(quota(SMALL_LIMIT)),
                    _ => Some(quota(limit)),
                };
                let answer = state.lender.ask(at, &sender, &ask, quota);
                let packet = Packet::Answer(state.member.clone(), ask.number, answer);
                self.send(daemon, from, packet);
            }
            Packet::Answer(allocator, number, answer) => {
                state.borrower.answered(at, &allocator, number, &answer);
            }
            Packet::Transfer(transfer) => {
                state.lender.inherit(at, &sender, &transfer);
            }
        }
    }

    /// Requests come at several times the limit, at all daemons; some have not run.
    fn requests(&mut self, daemon: usize) {
        let at = self.daemons[daemon].moment(self.now);
        for (name, mean) in [("small", 0.1), ("large", 1.0)] {
            let name = workspace(name);
            let mut count =
                (self.rng.random::<f64>() * 2.0 * mean + self.rng.random::<f64>()) as u32;
            while count > 0 {
                count -= 1;
                match self.daemons[daemon].borrower.take(at, &name) {
                    Take::Spent(spent) if self.rng.random_range(0..20) == 0 => {
                        self.daemons[daemon].borrower.refund(at, &name, spent);
                    }
                    Take::Spent(_) => {
                        self.admitted
                            .entry(name.clone())
                            .or_default()
                            .push(self.now);
                    }
                    Take::Wait => {
                        let borrower = &mut self.daemons[daemon].borrower;
                        borrower.set_waiting(&name, true);
                        borrower.refuse(at, &name);
                        // The request gives up after the next asks have been sent.
                        if self.rng.random_range(0..4) == 0 {
                            borrower.set_waiting(&name, false);
                        }
                    }
                    Take::Exceeded(_) => {
                        self.daemons[daemon].borrower.refuse(at, &name);
                    }
                }
            }
        }
    }

    pub fn admitted(&self) -> [usize; 2] {
        NAMES.map(|name| self.admitted[&workspace(name)].len())
    }

    /// A limit binds one window after no daemon has a higher one.
    fn allowed(&self, name: &str, start: u64, window: u64) -> u32 {
        if name == "small" {
            return SETTING.hard_limit(SMALL_LIMIT);
        }
        let first = start.saturating_sub(window) / STEP_MS;
        let last = ((start + window) / STEP_MS).min(self.in_force.len() as u64 - 1);
        let limit = self.in_force[first as usize..=last as usize].iter().max();
        SETTING.hard_limit(*limit.expect("a step"))
    }

    pub fn check(&self) -> Result<(), TestCaseError> {
        let window = SETTING.window.as_millis() as u64;
        for name in NAMES {
            let times = &self.admitted[&workspace(name)];
            let mut last = 0;
            for (first, start) in times.iter().enumerate() {
                while last < times.len() && times[last] < start + window {
                    last += 1;
                }
                let count = (last - first) as u32;
                let allowed = self.allowed(name, *start, window);
                if count > allowed {
                    let cause =
                        format!("{name}: {count} from {start} ms on, allowed are {allowed}");
                    return Err(TestCaseError::fail(cause));
                }
            }
        }
        Ok(())
    }
}
