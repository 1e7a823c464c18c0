//! The age of a confirmation against true time: it must never come out too young.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use confirm::{Clock, Confirmation, Holding, Moment, Report};
use proptest::prelude::*;
use tokio::time::Instant;
use unit::Version;

/// Daemons of a history; each has its own clock.
const DAEMONS: usize = 4;

/// One machine. Its monotonic clock stands still during a part of its suspensions.
struct Machine {
    clock: Clock,
    origin: Instant,
    suspended: Arc<Mutex<Duration>>,
    /// The time for which it was suspended so far.
    lost: Duration,
    holding: Holding,
}

impl Machine {
    fn new(offset: u64) -> Machine {
        let suspended = Arc::new(Mutex::new(Duration::ZERO));
        let source = suspended.clone();
        let clock = Clock::new(move || source.lock().map_or(Duration::ZERO, |time| *time));
        Machine {
            clock,
            // Clocks of two machines have nothing to do with each other.
            origin: Instant::now() + Duration::from_secs(offset),
            suspended,
            lost: Duration::ZERO,
            holding: Holding::default(),
        }
    }

    /// The moment here at the true time `at`.
    fn at(&self, at: Duration) -> Moment {
        if let Ok(mut suspended) = self.suspended.lock() {
            *suspended = self.lost;
        }
        self.clock.at(self.origin + (at - self.lost))
    }
}

/// Something that happens in a history. Times are in milliseconds.
#[derive(Debug, Clone)]
enum Step {
    /// The rules in the store change.
    Write,
    /// A daemon reads the store: the call takes effect and is answered after these delays, which
    /// include freezes.
    Read {
        daemon: usize,
        there: u64,
        back: u64,
    },
    /// A daemon asks another one, which answers and is heard after these delays.
    Ask {
        from: usize,
        to: usize,
        there: u64,
        frozen: u64,
        back: u64,
    },
    /// A machine is suspended, and its monotonic clock does not count the time.
    Suspend { daemon: usize, time: u64 },
    /// Time passes.
    Pass { time: u64 },
}

fn delay() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0..40_u64, 1 => 40..6_000_u64]
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        2 => Just(Step::Write),
        3 => (daemon.clone(), delay(), delay())
            .prop_map(|(daemon, there, back)| Step::Read { daemon, there, back }),
        6 => (daemon.clone(), daemon.clone(), delay(), delay(), delay()).prop_map(
            |(from, to, there, frozen, back)| Step::Ask { from, to, there, frozen, back }
        ),
        2 => (daemon, delay()).prop_map(|(daemon, time)| Step::Suspend { daemon, time }),
        2 => delay().prop_map(|time| Step::Pass { time }),
    ]
}

/// A history in true time. Suspensions fall between any two steps, so that delays of an exchange
/// include them.
struct History {
    now: Duration,
    machines: Vec<Machine>,
    /// The true times at which each version was written.
    writes: Vec<Duration>,
    reads: u64,
}

impl History {
    fn new() -> History {
        History {
            now: Duration::from_secs(10),
            machines: (0..DAEMONS as u64)
                .map(|n| Machine::new(n * 1_000))
                .collect(),
            writes: vec![Duration::ZERO],
            reads: 0,
        }
    }

    fn pass(&mut self, time: u64) {
        self.now += Duration::from_millis(time);
    }

    /// Time passes for which half of the machines are suspended, so that exchanges are interrupted.
    fn pass_with(&mut self, time: u64, suspended: usize) {
        self.pass(time);
        self.machines[suspended].lost += Duration::from_millis(time / 2);
    }

    fn version(&self) -> Version {
        Version::of(self.writes.len() as u64)
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Write => {
                self.pass(1);
                self.writes.push(self.now);
            }
            Step::Pass { time } => self.pass(time),
            Step::Suspend { daemon, time } => self.pass_with(time, daemon),
            Step::Read {
                daemon,
                there,
                back,
            } => {
                let began = self.machines[daemon].at(self.now);
                self.pass_with(there, daemon);
                let (version, read) = (self.version(), self.now);
                self.pass_with(back, daemon);
                self.reads += 1;
                // A second key holds the true time of the read, and each read finds it changed.
                let confirmation = Confirmation {
                    began,
                    versions: vec![version, Version::of(self.reads)],
                    values: vec![None, Some(Bytes::from(read.as_millis().to_string()))],
                };
                self.machines[daemon].holding.offer(confirmation);
            }
            Step::Ask {
                from,
                to,
                there,
                frozen,
                back,
            } => {
                let asked = self.machines[from].at(self.now);
                self.pass_with(there, from);
                let now = self.machines[to].at(self.now);
                let newest = self.machines[to].holding.newest();
                let report = newest.map(|newest| Report::of(newest, now, &[]));
                // The answer is written before the freeze and sent after it.
                self.pass_with(frozen, to);
                self.pass_with(back, from);
                let received = report.and_then(|report| report.received(asked, None));
                if let Some(received) = received {
                    self.machines[from].holding.offer(received);
                }
            }
        }
    }

    /// No daemon takes rules for confirmed at a time at which newer ones had been written.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let now = self.now;
        let in_force = Version::of(1);
        for machine in &mut self.machines {
            let moment = machine.at(now);
            if let Some(newest) = machine.holding.newest() {
                let age = newest.age(moment);
                let read = newest.values[1].as_ref().expect("is told");
                let read = std::str::from_utf8(read).expect("is a number");
                let true_age = now - Duration::from_millis(read.parse().expect("is a number"));
                prop_assert!(age >= true_age, "age {age:?}, true age {true_age:?}");
            }
            // The oldest rules are in force: they were the newest until the first write.
            if let Some(at) = machine.holding.confirmed_at(in_force) {
                let age = moment.since(at);
                let replaced = self.writes.get(1).map(|write| now - *write);
                prop_assert!(
                    replaced.is_none_or(|since| age >= since),
                    "{age:?} {replaced:?}"
                );
            }
        }
        Ok(())
    }
}

proptest! {
    /// A delayed answer, a frozen sender or a suspended machine must not make an age too young.
    #[test]
    fn an_age_is_never_too_young(steps in prop::collection::vec(step(), 1..60)) {
        let mut history = History::new();
        for step in &steps {
            history.run(step);
            history.check()?;
        }
    }
}
