//! The schedule of one history, drawn from its seed: what, when, who.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Instances of a history.
pub(crate) const INSTANCES: usize = 3;

/// Sends and faults begin within this time; faults end at most [`LONGEST_FAULT`] later.
const LENGTH_MS: u64 = 900;
const LONGEST_FAULT: u64 = 800;

const LARGE: usize = 30_000;

/// Operators, and edits of each.
const OPERATORS: usize = 2;
const EDITS: usize = 3;

/// The schedule of one history.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) form: Form,
    pub(crate) sends: Vec<Order>,
    pub(crate) faults: Vec<Fault>,
    /// When each operator edits the rules.
    pub(crate) edits: Vec<Vec<Duration>>,
}

/// What the instances are made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Form {
    /// Whole daemons.
    Daemons,
    /// Entries, gates, targets and ledgers put together here, with relays between their links, and
    /// each with itself as the owner of all keys.
    Parts,
}

/// One send.
#[derive(Debug, Clone)]
pub(crate) struct Order {
    pub(crate) at: Duration,
    pub(crate) entry: usize,
    pub(crate) key: Option<String>,
    pub(crate) path: String,
    pub(crate) body: String,
}

/// One fault.
#[derive(Debug, Clone)]
pub(crate) struct Fault {
    pub(crate) at: Duration,
    pub(crate) span: Duration,
    pub(crate) instance: usize,
    pub(crate) what: What,
}

/// What goes wrong.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub(crate) enum What {
    #[display("store: answers of writes lost")]
    LoseAnswers(u32),
    #[display("store: writes delayed")]
    DelayWrites(u32),
    #[display("store: down")]
    Down,
    #[display("store: slow")]
    Slow,
    #[display("store: watches dropped")]
    DropWatches,
    #[display("owner's way to the store held")]
    Hold,
    #[display("process paused")]
    Pause,
    #[display("two owners")]
    Alone,
    #[display("link silent")]
    Silence(usize),
    #[display("links cut")]
    Cut(usize),
    #[display("gate killed before a run")]
    KillBefore(String),
    #[display("gate killed during a run")]
    KillDuring(String),
    #[display("gate killed after a run")]
    KillAfter(String),
    #[display("target killed")]
    KillTarget,
}

impl Plan {
    /// Draws the schedule of `seed`.
    pub(crate) fn draw(seed: u64, form: Form) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let sends = sends(&mut random);
        let count = random.random_range(2..=6);
        let faults = (0..count).map(|_| fault(&mut random, form, &sends));
        let mut faults: Vec<Fault> = faults.collect();
        faults.sort_by_key(|fault| fault.at);
        let edits = (0..OPERATORS).map(|_| {
            let times = (0..EDITS).map(|_| ms(random.random_range(0..LENGTH_MS)));
            let mut times: Vec<Duration> = times.collect();
            times.sort();
            times
        });
        Plan {
            seed,
            form,
            edits: edits.collect(),
            sends,
            faults,
        }
    }
}

impl Plan {
    /// Adds that all links go silent, again and again.
    ///
    /// Gates are asked after tokens only then. Among all the other faults that is too rare for a
    /// trial of the checker to give the same verdict each time.
    pub(crate) fn with_silence(mut self) -> Plan {
        for at in (100..LENGTH_MS).step_by(100) {
            for (instance, peer) in
                (0..INSTANCES * INSTANCES).map(|at| (at / INSTANCES, at % INSTANCES))
            {
                self.faults.push(Fault {
                    at: ms(at),
                    span: Duration::ZERO,
                    instance,
                    what: What::Silence(peer),
                });
            }
        }
        self
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn sends(random: &mut Pcg64Mcg) -> Vec<Order> {
    let mut sends = Vec::new();
    let keys = random.random_range(5..=9);
    for key in 0..keys {
        let begin = random.random_range(0..LENGTH_MS * 2 / 3);
        let size = if random.random_bool(0.1) { LARGE } else { 8 };
        for number in 0..random.random_range(1..=5) {
            let other = number > 0 && random.random_bool(0.1);
            let body = if other { "other" } else { "slip" };
            let place = format!("k{key}-s{number}");
            sends.push(Order {
                // Resends come at any time: while the first one runs, and long after.
                at: ms(begin + number * random.random_range(0..150)),
                entry: random.random_range(0..INSTANCES),
                key: Some(format!("k{key}")),
                path: path(random, &place),
                body: format!("{body} of k{key} {}", "x".repeat(size)),
            });
        }
    }
    for number in 0..random.random_range(1..=4) {
        let place = format!("free-s{number}");
        sends.push(Order {
            at: ms(random.random_range(0..LENGTH_MS)),
            entry: random.random_range(0..INSTANCES),
            key: None,
            path: path(random, &place),
            body: String::new(),
        });
    }
    sends.sort_by_key(|send| send.at);
    sends
}

/// What the target does with the request stands in its path.
fn path(random: &mut Pcg64Mcg, place: &str) -> String {
    match random.random_range(0..20) {
        0 => format!("/cut/{place}"),
        1 => format!("/die/{place}"),
        2 => format!("/status/503/{place}"),
        3..=11 => format!("/sleep/{}/{place}", random.random_range(10..400)),
        _ => format!("/order/{place}"),
    }
}

fn fault(random: &mut Pcg64Mcg, form: Form, sends: &[Order]) -> Fault {
    let at = ms(random.random_range(0..LENGTH_MS));
    let span = ms(random.random_range(50..LONGEST_FAULT));
    let instance = random.random_range(0..INSTANCES);
    let peer = random.random_range(0..INSTANCES);
    let order = &sends[random.random_range(0..sends.len())];
    let (before, during, after) = (
        order.at.saturating_sub(ms(2)),
        order.at + ms(random.random_range(5..60)),
        order.at + ms(random.random_range(20..450)),
    );
    let path = order.path.clone();
    let count = random.random_range(1..=4);
    let (at, what) = match random.random_range(0..16) {
        0 | 1 => (at, What::LoseAnswers(count)),
        2 | 3 => (at, What::DelayWrites(count)),
        4 => (at, What::Down),
        5 => (at, What::Slow),
        6 => (at, What::DropWatches),
        7 => (at, What::Hold),
        8 => (at, What::Pause),
        9 => (at, What::KillTarget),
        10 => (before, What::KillBefore(path)),
        11 => (during, What::KillDuring(path)),
        12 => (after, What::KillAfter(path)),
        // Links of whole daemons go straight to each other: pausing an end makes them silent.
        _ if form == Form::Daemons => (at, What::Pause),
        13 => (at, What::Alone),
        14 => (at, What::Silence(peer)),
        _ => (at, What::Cut(peer)),
    };
    Fault {
        at,
        span,
        instance,
        what,
    }
}
