//! What is injected when, drawn from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use standin::Away;

use crate::Mode;
use crate::customers::{FIRST_QUOTA, WORKSPACES};

/// The mean pause between two faults; several overlap, as each lasts up to some seconds.
const MEAN_PAUSE: f64 = 0.9;
/// Tells the draw of trouble on links from that of all else, so that neither changes the other.
const LINKS: u64 = 0x11_4b5;
/// The same for returns of the store.
const ROLLBACKS: u64 = 0x5e_70e4;
/// The same for watches that are lost.
const WATCHES: u64 = 0x51_1e47;
/// The same for what targets say of themselves.
const NOTICES: u64 = 0x11_3a17;
/// The same for workspaces and what is cut off from them.
const TENANTS: u64 = 0x3a_9c0d;
/// Beside those of workspaces one in so many of the other faults is kept: daemons that end every other
/// second never outlive the time for removed keys, and allocators never lend.
const KEPT: usize = 3;
/// How long daemons are cut off or frozen, in seconds: a removed key is refused after 5.
const CUT: std::ops::Range<f64> = 4.0..12.0;
/// How long after the begin of a cut a key is replaced, in seconds.
const REPLACED: std::ops::Range<f64> = 0.1..2.0;
const FROZEN: std::ops::Range<f64> = 2.0..8.0;
/// How long a workspace sends most requests, in seconds.
const HOT: std::ops::Range<f64> = 2.0..6.0;
/// Quotas: requests a second, and what a window may hold beyond that.
const RATE: std::ops::Range<f64> = 1.0..60.0;
const BURST: std::ops::Range<u32> = 0..40;
/// A target's limit, in requests per second.
const MAX_RATE: std::ops::Range<f64> = 1.0..40.0;
/// How long a target limits its requests, and how long it says that it leaves, in seconds.
const LIMITED: std::ops::Range<f64> = 4.0..9.0;
const LEAVING: std::ops::Range<f64> = 2.5..5.0;
/// How old the copy is that the store comes back from, in seconds.
const AGE: std::ops::Range<f64> = 0.5..4.0;
/// How long the store is away before it comes back, in seconds.
const AWAY: std::ops::Range<f64> = 0.0..1.0;
/// How many times the mean pause lies between two returns.
const SELDOM: u32 = 4;
/// Time after which the faults that began last are over, and daemons that they have ended are back.
const OVER: Duration = Duration::from_secs(5);
/// How long a fault lasts, in seconds.
const LASTS: std::ops::Range<f64> = 0.2..3.0;

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The daemon is killed and started again after the time.
    Kill(usize, Duration),
    /// The daemon is stopped as planned, and started again after the time.
    Retire(usize, Duration),
    /// The daemon gets no processor for the time.
    Pause(usize, Duration),
    /// The target dies, and lives again after the time.
    Target(usize, Duration),
    /// The way from the daemon to its target has trouble for the time.
    Way(usize, Mode, Duration),
    /// The way from the daemon to the store has trouble for the time.
    Store(usize, Mode, Duration),
    /// The store refuses everything for the time.
    Down(Duration),
    /// Of the store's writes, some take effect without an answer for the time.
    Lost(Duration),
    /// All daemons are killed at once, and started again after the time.
    KillAll(Duration),
    /// The way from the other daemons to this one has trouble for the time.
    Links(usize, Mode, Duration),
    /// The store comes back from a copy of this age, after it was away for the time.
    Rollback(Duration, Duration),
    /// Watches that wait at the store are never answered, and their connections stay open.
    LoseWatches,
    /// The target limits its requests to so many a second for the time, and to half of it in the second
    /// half of the time.
    Limit(usize, f64, Duration),
    /// The target says for the time that it leaves, ends, and lives again.
    Leave(usize, Duration),
    /// The rules have a new key of this workspace in place of an old one.
    ReplaceKey(usize),
    /// The rules have another quota of this workspace.
    Quota(usize, f64, u32),
    /// Most requests are those of this workspace for the time.
    Hot(usize, Duration),
    /// The store turns daemons away for the time, and perhaps the ways between all daemons are cut.
    Cut(Cut, Duration),
}

/// Which daemons are cut off from the store, and how.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cut {
    /// A bit for each daemon that is turned away.
    pub daemons: u32,
    /// How it is turned away.
    pub away: Away,
    /// No daemon reaches another either.
    pub links: bool,
}

impl Fault {
    /// What it is called in reports.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Kill(..) => "kill",
            Fault::Retire(..) => "planned stop",
            Fault::Pause(..) => "pause",
            Fault::Target(..) => "target dies",
            Fault::Way(..) => "way to a target",
            Fault::Store(..) => "way to the store",
            Fault::Down(..) => "store down",
            Fault::Lost(..) => "store loses answers",
            Fault::KillAll(..) => "all killed",
            Fault::Links(..) => "links to a daemon",
            Fault::Rollback(..) => "store rolls back",
            Fault::LoseWatches => "watches lost",
            Fault::Limit(..) => "target limits its requests",
            Fault::Leave(..) => "target leaves",
            Fault::ReplaceKey(..) => "key replaced",
            Fault::Quota(..) => "quota changed",
            Fault::Hot(..) => "hot workspace",
            Fault::Cut(cut, _) if cut.links => "cut off from store and peers",
            Fault::Cut(..) => "turned away by the store",
        }
    }
}

/// A fault and its time, from the start of the run.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

/// The whole schedule of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// How long faults begin.
    pub length: Duration,
    /// How many daemons there are.
    pub instances: usize,
    /// Requests show the keys of workspaces.
    pub workspaces: bool,
    /// The faults, in the order of their times.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws a schedule; the same arguments give the same one.
    pub fn draw(seed: u64, length: Duration, instances: usize) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let steps = steps(&mut random, length, |random| fault(random, instances));
        Plan {
            seed,
            length,
            instances,
            workspaces: false,
            steps,
        }
    }

    /// Adds trouble on the ways between daemons; the rest of the schedule stays as it is.
    pub fn with_links(mut self) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ LINKS);
        let instances = self.instances;
        let links = steps(&mut random, self.length, |random| links(random, instances));
        self.steps.extend(links);
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Adds returns of the store from older copies; the rest of the schedule stays as it is.
    pub fn with_rollbacks(mut self) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ ROLLBACKS);
        let length = self.length / SELDOM;
        let mut rollbacks = steps(&mut random, length, |random| {
            let age = Duration::from_secs_f64(random.random_range(AGE));
            let away = Duration::from_secs_f64(random.random_range(AWAY));
            Fault::Rollback(age, away)
        });
        rollbacks.iter_mut().for_each(|step| step.at *= SELDOM);
        self.steps.extend(rollbacks);
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Adds losses of the answers of all waiting watches, the last one behind all other faults and just before
    /// the last change of the rules; the rest of the schedule stays as it is.
    pub fn with_silent_watches(mut self) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ WATCHES);
        let mut losses = steps(&mut random, self.length / SELDOM, |_| Fault::LoseWatches);
        losses.iter_mut().for_each(|step| step.at *= SELDOM);
        losses.push(Step {
            at: self.length + OVER,
            fault: Fault::LoseWatches,
        });
        self.steps.extend(losses);
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Adds targets that limit their requests or leave; the rest of the schedule stays as it is.
    pub fn with_notices(mut self) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ NOTICES);
        let (length, instances) = (self.length, self.instances);
        let notices = steps(&mut random, length, |random| notice(random, instances));
        self.steps.extend(notices);
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Has requests show keys of workspaces, adds changes of these and daemons that are cut off or frozen,
    /// and keeps one in three of the faults so far. While daemons are cut off a key is replaced.
    pub fn with_workspaces(mut self) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ TENANTS);
        let (length, instances) = (self.length, self.instances);
        let mut tenants = steps(&mut random, length, |random| tenants(random, instances));
        let cuts = tenants
            .iter()
            .filter(|step| matches!(step.fault, Fault::Cut(..)));
        let replaced = cuts.map(|cut| Step {
            at: cut.at + Duration::from_secs_f64(random.random_range(REPLACED)),
            fault: Fault::ReplaceKey(random.random_range(1..WORKSPACES)),
        });
        let replaced: Vec<Step> = replaced.collect();
        tenants.extend(replaced);
        self.steps = self.steps.into_iter().step_by(KEPT).collect();
        self.steps.extend(tenants);
        self.steps.sort_by_key(|step| step.at);
        self.workspaces = true;
        self
    }

    /// Whether links are carried by TCP: every other seed.
    pub fn tcp(&self) -> bool {
        self.seed % 2 == 1
    }
}

/// Draws one fault after the other, with pauses that are distributed as those of independent events.
fn steps(
    random: &mut Pcg64Mcg,
    length: Duration,
    fault: impl Fn(&mut Pcg64Mcg) -> Fault,
) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(300);
    while at < length {
        let fault = fault(random);
        steps.push(Step { at, fault });
        let pause: f64 = -MEAN_PAUSE * (1.0 - random.random::<f64>()).ln();
        at += Duration::from_secs_f64(pause.min(4.0));
    }
    steps
}

fn mode(random: &mut Pcg64Mcg) -> Mode {
    match random.random_range(0..4) {
        0 => Mode::Delay(Duration::from_millis(random.random_range(5..400))),
        1 => Mode::Reset,
        2 => Mode::Silent,
        _ => Mode::Mute,
    }
}

fn links(random: &mut Pcg64Mcg, instances: usize) -> Fault {
    let which = random.random_range(0..instances);
    let lasts = Duration::from_secs_f64(random.random_range(LASTS));
    Fault::Links(which, mode(random), lasts)
}

fn notice(random: &mut Pcg64Mcg, instances: usize) -> Fault {
    let which = random.random_range(0..instances);
    let rate = random.random_range(MAX_RATE).round();
    let limited = Duration::from_secs_f64(random.random_range(LIMITED));
    let leaving = Duration::from_secs_f64(random.random_range(LEAVING));
    match random.random_range(0..3) {
        0 => Fault::Leave(which, leaving),
        _ => Fault::Limit(which, rate, limited),
    }
}

fn tenants(random: &mut Pcg64Mcg, instances: usize) -> Fault {
    let workspace = random.random_range(1..WORKSPACES);
    let limited = random.random_range(FIRST_QUOTA..WORKSPACES);
    let (rate, burst) = (random.random_range(RATE), random.random_range(BURST));
    let [cut, frozen, hot] =
        [CUT, FROZEN, HOT].map(|range| Duration::from_secs_f64(random.random_range(range)));
    let which = random.random_range(0..instances);
    let away = match random.random_range(0..3) {
        0 => Away::Refuse,
        1 => Away::Reset,
        _ => Away::Silence,
    };
    let daemons = 1 << which | random.random_range(0..1 << instances);
    match random.random_range(0..16) {
        0..5 => Fault::ReplaceKey(workspace),
        5..9 => Fault::Quota(limited, rate.round(), burst),
        9..11 => Fault::Hot(workspace, hot),
        11..13 => Fault::Pause(which, frozen),
        kind => {
            let links = kind > 13;
            let cut_off = Cut {
                daemons,
                away,
                links,
            };
            Fault::Cut(cut_off, cut)
        }
    }
}

fn fault(random: &mut Pcg64Mcg, instances: usize) -> Fault {
    let which = random.random_range(0..instances);
    let lasts = Duration::from_secs_f64(random.random_range(LASTS));
    let mode = mode(random);
    match random.random_range(0..20) {
        0..3 => Fault::Kill(which, lasts),
        3..7 => Fault::Retire(which, lasts),
        7..9 => Fault::Pause(which, lasts),
        9..11 => Fault::Target(which, lasts),
        11..14 => Fault::Way(which, mode, lasts),
        14..16 => Fault::Store(which, mode, lasts),
        16 => Fault::Down(lasts),
        17..19 => Fault::Lost(lasts),
        _ => Fault::KillAll(lasts),
    }
}
