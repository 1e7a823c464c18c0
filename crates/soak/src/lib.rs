//! Real daemons under faults from outside, and what callers and targets see of them.
//!
//! One run starts `appleshored` processes beside targets of its own, sends requests through all of
//! them, and injects faults drawn from a seed: signals, targets that die, and proxies in front of
//! targets and store that delay, silence, mute or reset. What callers were told is compared with
//! what targets ran ([`check`]). The schedule of a seed is the same each time; how processes
//! interleave is not, so that a violation is reported with all that is needed to understand it.

mod caller;
pub mod check;
mod customers;
mod fleet;
mod node;
pub mod notice;
mod plan;
mod proxy;
mod report;
mod rules;
mod run;
mod sent;
pub mod workspaces;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;

pub use plan::{Cut, Fault, Plan, Step};
pub use proxy::{Mode, Proxy};
pub use report::Report;
pub use run::{Error, Program, run};
pub use sent::{Kind, Sent, Trouble, Window};
pub use standin::Away;

/// A safeguard that the soak itself takes out, to see that its checks notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Safeguard {
    /// Planned stops kill the process.
    Drain,
    /// The proxy before a target hands each request over twice.
    Once,
    /// The settings have no time for removed keys, so that daemons that are cut off serve on.
    Revoke,
    /// The settings have no quota, so that requests are not counted.
    Quota,
    /// The rules have no workspaces, so that keys and names are passed on as callers send them.
    Workspaces,
}

/// What to run.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// The seed of the first run; the others follow.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many runs.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// How long faults are injected in each run.
    #[arg(long, default_value_t = 0.25)]
    pub minutes: f64,
    /// Daemons in each run.
    #[arg(long, default_value_t = 4)]
    pub instances: usize,
    /// Runs at once.
    #[arg(long, default_value_t = 2)]
    pub jobs: usize,
    /// The daemon's program; the one beside this program where left out.
    #[arg(long)]
    pub daemon: Option<PathBuf>,
    /// Keeps the daemons' logs in this directory, a file for each seed and daemon.
    #[arg(long)]
    pub logs: Option<PathBuf>,
    /// Takes a safeguard out, to see that the checks notice.
    #[arg(long)]
    pub without: Option<Safeguard>,
    /// Leaves the ways between daemons alone, as runs of before did.
    #[arg(long)]
    pub plain_links: bool,
    /// Has the store come back from older copies.
    #[arg(long)]
    pub rollbacks: bool,
    /// Has the answers of waiting watches lost.
    #[arg(long)]
    pub silent_watches: bool,
    /// Has targets limit their requests and leave.
    #[arg(long)]
    pub notices: bool,
    /// Has requests show keys of workspaces, whose keys and quotas change, and cuts daemons off, with
    /// fewer of the other faults.
    #[arg(long)]
    pub workspaces: bool,
}

/// Runs what the command line asks for and prints each report.
///
/// # Errors
///
/// When a promise was broken, or a run could not be made.
pub fn main(options: &Options) -> Result<(), Box<dyn std::error::Error>> {
    let daemon = match &options.daemon {
        Some(path) => path.clone(),
        None => std::env::current_exe()?.with_file_name("appleshored"),
    };
    if !daemon.exists() {
        let path = daemon.display();
        return Err(format!("{path}: not there: build it, or name it by --daemon").into());
    }
    let runtime = tokio::runtime::Runtime::new()?;
    let broken = runtime.block_on(run_all(options, daemon))?;
    match broken {
        0 => Ok(()),
        broken => Err(format!("{broken} of {} runs broke a promise", options.seeds).into()),
    }
}

/// Runs all seeds, and says how many broke a promise.
async fn run_all(options: &Options, daemon: PathBuf) -> Result<u64, Error> {
    let turns = Arc::new(Semaphore::new(options.jobs.max(1)));
    let length = Duration::from_secs_f64(options.minutes * 60.0);
    let mut runs = JoinSet::new();
    for seed in options.seed..options.seed + options.seeds {
        let turns = turns.clone();
        let program = Program {
            daemon: daemon.clone(),
            logs: options.logs.clone(),
            without: options.without,
        };
        let mut plan = Plan::draw(seed, length, options.instances);
        if !options.plain_links {
            plan = plan.with_links();
        }
        if options.rollbacks {
            plan = plan.with_rollbacks();
        }
        if options.silent_watches {
            plan = plan.with_silent_watches();
        }
        if options.notices {
            plan = plan.with_notices();
        }
        if options.workspaces {
            plan = plan.with_workspaces();
        }
        runs.spawn(async move {
            let _turn = turns.acquire().await;
            run(&plan, &program).await
        });
    }
    let mut broken = 0;
    while let Some(ended) = runs.join_next().await {
        let report = ended.expect("a run does not panic")?;
        broken += u64::from(!report.broken.is_empty());
        print!("{report}");
    }
    Ok(broken)
}
