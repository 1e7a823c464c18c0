//! One run: start all, call, inject, heal, check.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use mesh::{Address, Block, Client};
use parking_lot::Mutex;
use quick_error::quick_error;
use standin::{Platform, serve};
use store::Condition;
use tokio::net::TcpListener;
use tokio::sync::{Mutex as Turn, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use unit::{Era, Version};

use crate::caller::{Callers, Stop};
use crate::check::{Broken, check};
use crate::customers::{Customers, STEADY_KEY};
use crate::fleet::Fleet;
use crate::node::{Node, Place};
use crate::notice::{Life, check_notices};
use crate::plan::Plan;
use crate::report::Report;
use crate::sent::Sent;
use crate::workspaces::check_workspaces;
use crate::{Safeguard, rules};

/// Callers of a run.
const CALLERS: usize = 12;
/// The time after the last fault within which everything works again.
const RECOVER: Duration = Duration::from_secs(8);
/// A change of the rules is in force everywhere after this.
const SPREAD: Duration = Duration::from_secs(5);
/// The pause between two versions of the rules.
const EDIT: Duration = Duration::from_millis(1_300);
/// How often each daemon's version is looked at.
const LOOK: Duration = Duration::from_millis(250);

quick_error! {
    /// Why a run could not be made.
    #[derive(Debug)]
    pub enum Error {
        /// A process, socket or file.
        Io(error: io::Error) {
            display("{error}")
            source(error)
        }
        /// The daemon of this index did not take connections.
        Start(index: usize) {
            display("desk-{index} does not start")
        }
        /// The fleet did not serve before any fault.
        Begin {
            display("the fleet does not serve before any fault")
        }
    }
}

/// What a run is made with.
#[derive(Debug, Clone)]
pub struct Program {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// Where the daemons' logs are kept.
    pub logs: Option<PathBuf>,
    /// A safeguard that is taken out.
    pub without: Option<Safeguard>,
}

/// Makes one run.
///
/// # Errors
///
/// [`Error`] if the run could not be made; broken promises are in the report.
pub async fn run(plan: &Plan, program: &Program) -> Result<Report, Error> {
    let block = Block::next();
    let platform = Platform::builder().open();
    let listener = TcpListener::bind(block.of(0, Address::Store)).await;
    let listener = listener.map_err(Error::Io)?;
    let _served = serve(platform.clone(), listener).map_err(Error::Io)?;
    let customers = plan.workspaces.then(|| Arc::new(Customers::new()));
    let operator = Operator {
        platform: platform.clone(),
        customers: customers.clone(),
        without: program.without,
    };
    operator.put(1).await;
    let directory = tempfile::tempdir().map_err(Error::Io)?;
    let mut nodes = Vec::new();
    for index in 0..plan.instances {
        let place = Place {
            index,
            block,
            program: &program.daemon,
            log: program.log(plan.seed, index).map_err(Error::Io)?,
            directory: directory.path(),
            tcp: plan.tcp(),
            without: program.without,
            workspaces: plan.workspaces,
        };
        let mut node = Node::open(place).await?;
        node.start().await?;
        nodes.push(node);
    }
    let entries: Vec<_> = nodes.iter().map(Node::callers).collect();
    let operators: Vec<_> = nodes.iter().map(Node::operator).collect();
    let links = nodes.iter().map(|node| node.links.clone()).collect();
    let fleet = Fleet {
        links: Arc::new(links),
        customers: customers.clone(),
        nodes: Arc::new(nodes.into_iter().map(Turn::new).collect()),
        platform: platform.clone(),
        windows: Arc::default(),
        broken: Arc::default(),
        without_drain: program.without == Some(Safeguard::Drain),
        seed: plan.seed,
    };
    let client = Client::default();
    if !recovers(&client, &entries).await.is_empty() {
        return Err(Error::Begin);
    }
    let (over, stop) = watch::channel(false);
    let callers = Callers {
        entries: Arc::new(entries.clone()),
        customers: customers.clone(),
        sent: Arc::new(Mutex::default()),
        stop: stop.clone(),
    };
    let mut tasks = JoinSet::new();
    for name in 0..CALLERS {
        tasks.spawn(callers.clone().call(name, plan.seed));
    }
    let editor = tokio::spawn(edit(operator.clone(), stop.clone()));
    for (index, operator) in operators.iter().enumerate() {
        tasks.spawn(look(fleet.clone(), index, *operator, stop.clone()));
    }
    let (injected, left_out) = inject(&fleet, plan).await?;
    let mut broken = recovers(&client, &entries).await;
    over.send_replace(true);
    let versions = editor.await.expect("no panic");
    while tasks.join_next().await.is_some() {}
    let last = versions + 1;
    operator.put(last).await;
    sleep(SPREAD).await;
    broken.extend(newest(&platform, &client, &operators).await);
    let sent = callers.sent.lock().clone();
    broken.extend(fleet.broken.lock().drain(..));
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let (mut lives, mut all) = (Vec::new(), Vec::new());
    for node in fleet.nodes.iter() {
        let node = node.lock().await;
        lives.extend(node.logs().iter().map(|log| Life {
            index: node.index,
            runs: log.runs(),
            limits: log.limits(),
        }));
        for run in node.logs().iter().flat_map(mesh::Log::runs) {
            *runs.entry(run.path.clone()).or_default() += 1;
            all.push(run);
        }
    }
    let windows = fleet.windows.lock().clone();
    if let Some(customers) = customers {
        let history = customers.history.lock().clone();
        broken.extend(check_workspaces(&sent, &all, &history, rules::bounds()));
    }
    broken.extend(check(&sent, &runs, &windows));
    broken.extend(check_notices(&sent, &lives, &windows));
    for node in fleet.nodes.iter() {
        node.lock().await.kill().await?;
    }
    Ok(Report {
        seed: plan.seed,
        injected,
        left_out,
        seen: seen(&sent),
        versions: last,
        broken,
    })
}

impl Program {
    /// The file for the log of one daemon.
    fn log(&self, seed: u64, index: usize) -> io::Result<Option<File>> {
        let Some(directory) = &self.logs else {
            return Ok(None);
        };
        std::fs::create_dir_all(directory)?;
        File::create(directory.join(format!("{seed}-desk-{index}.log"))).map(Some)
    }
}

async fn inject(
    fleet: &Fleet,
    plan: &Plan,
) -> Result<(BTreeMap<&'static str, usize>, usize), Error> {
    let began = Instant::now();
    let mut tasks = JoinSet::new();
    for step in plan.steps.clone() {
        let fleet = fleet.clone();
        tasks.spawn(async move {
            tokio::time::sleep_until(began + step.at).await;
            let done = fleet.inject(step.fault).await;
            done.map(|done| (step.fault.name(), done))
        });
    }
    let (mut injected, mut left_out) = (BTreeMap::new(), 0);
    while let Some(ended) = tasks.join_next().await {
        match ended.expect("no panic")? {
            (name, true) => *injected.entry(name).or_default() += 1,
            (_, false) => left_out += 1,
        }
    }
    Ok((injected, left_out))
}

/// Waits until each daemon serves ten requests in a row, and names those that don't in time.
async fn recovers(client: &Client, entries: &[std::net::SocketAddr]) -> Vec<Broken> {
    let until = Instant::now() + RECOVER;
    let mut broken = Vec::new();
    // Without workspaces nobody looks at it.
    let key = format!("Bearer {STEADY_KEY}");
    let key = [("authorization", key.as_str())];
    for (index, entry) in entries.iter().enumerate() {
        let (mut good, mut last) = (0, String::new());
        while good < 10 && (good > 0 || Instant::now() < until) {
            let answer = client
                .send(*entry, Method::GET, "/echo/well", &key, "")
                .await;
            good = if answer.status == 200 { good + 1 } else { 0 };
            if answer.status != 200 {
                last = format!("{} {}", answer.status, answer.reason);
                sleep(Duration::from_millis(20)).await;
            }
        }
        if good < 10 {
            broken.push(Broken::Recover(index, last));
        }
    }
    broken
}

/// Who writes the rules.
#[derive(Clone)]
struct Operator {
    platform: Platform,
    customers: Option<Arc<Customers>>,
    without: Option<Safeguard>,
}

impl Operator {
    /// Writes version `number` of the rules. With the store in trouble it does not come, and the next
    /// one does.
    async fn put(&self, number: u64) {
        let members = self.customers.as_ref().map(|customers| customers.members());
        let place = self.customers.as_ref().zip(members.clone());
        let place = place.map(|(customers, members)| {
            let mut history = customers.history.lock();
            (customers, history.begin(members, Instant::now()))
        });
        let members = members.filter(|_| self.without != Some(Safeguard::Workspaces));
        let rules = Bytes::from(rules::text(number, members.as_ref()));
        let store = self.platform.store_named("operator");
        let written = store.put("rules", rules, Condition::Any).await;
        if let (Some((customers, place)), Ok(_)) = (place, written) {
            customers.history.lock().acknowledge(place, Instant::now());
        }
    }
}

/// Writes versions of the rules until the run is over, and says the number of the last.
async fn edit(operator: Operator, stop: Stop) -> u64 {
    let mut number = 1;
    while !*stop.borrow() {
        number += 1;
        operator.put(number).await;
        sleep(EDIT).await;
    }
    number
}

/// Watches that a daemon's rules never go back within one life.
async fn look(fleet: Fleet, index: usize, operator: std::net::SocketAddr, stop: Stop) {
    let client = Client::default();
    let mut last = Version::NONE;
    while !*stop.borrow() {
        // Whoever restarts the daemon has the turn; what it had is of no account then.
        match fleet.nodes[index].try_lock() {
            Ok(node) if node.is_up() => {
                if let Some(version) = version(&client, operator).await {
                    if version < last {
                        fleet.broken.lock().push(Broken::Back(index, last, version));
                    }
                    last = version;
                }
            }
            _ => last = Version::NONE,
        }
        sleep(LOOK).await;
    }
}

async fn version(client: &Client, operator: std::net::SocketAddr) -> Option<Version> {
    let answer = client
        .send(operator, Method::GET, "/metrics", &[], "")
        .await;
    let text = answer.text();
    let number = |name: &str| -> Option<u64> {
        let mut lines = text.lines();
        let line = lines.find_map(|line| line.strip_prefix(name))?;
        line.trim().parse().ok()
    };
    let era = number("appleshore_rules_era ")?;
    let revision = number("appleshore_rules_version ")?;
    Some(Version::in_era(Era(era), revision))
}

/// Names the daemons whose rules are older than those in the store, or that say nothing.
async fn newest(
    platform: &Platform,
    client: &Client,
    operators: &[std::net::SocketAddr],
) -> Vec<Broken> {
    let stored = platform.store_named("operator").get("rules").await;
    let stored = stored.expect("the store is well").expect("rules are there");
    let mut broken = Vec::new();
    for (index, operator) in operators.iter().enumerate() {
        let version = version(client, *operator).await.unwrap_or_default();
        if version < stored.version {
            broken.push(Broken::Spread(index, version));
        }
    }
    broken
}

fn seen(sent: &[Sent]) -> BTreeMap<String, usize> {
    let mut seen = BTreeMap::new();
    for one in sent {
        let name = format!("{} {} {}", one.status, one.outcome, one.reason);
        *seen.entry(name.trim().to_string()).or_default() += 1;
    }
    seen
}
