//! Histories of concurrent runs under faults, and what must hold of each.
//!
//! A history is a second of requests by way of three instances, with faults of the platform, the
//! links, the targets and the instances themselves. The schedule is drawn from a seed. How threads
//! interleave is not, so that a violation is reported with its whole history: the same seed may not
//! show it again.
//!
//! Even seeds run whole daemons; odd ones run instances put together from the same parts, whose
//! links pass relays. Each history has a fresh platform, fresh targets and fresh instances.

use std::sync::Arc;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;

mod check;
mod parts;
mod plan;
mod record;
mod relay;
mod report;
mod rules;
mod run;
mod safeguard;
mod world;

pub use check::{Kind, Violation, check};
use plan::{Form, Plan};
pub use record::{Edit, EditEnd, Event, History, Run, Seen, Send, Told};
pub use report::{Report, Violating};
pub use safeguard::Safeguard;

/// What to run.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// How many histories.
    #[arg(long, default_value_t = 20)]
    pub seeds: u64,
    /// The seed of the first; the others follow.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Histories that run at once.
    #[arg(long, default_value_t = 6)]
    pub jobs: usize,
    /// Takes a safeguard out, to see that the checker notices.
    #[arg(long)]
    pub without: Option<Safeguard>,
    /// Prints JSON, with each violating history whole.
    #[arg(long)]
    pub json: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            seeds: 20,
            seed: 1,
            jobs: 6,
            without: None,
            json: false,
        }
    }
}

/// Runs what the command line asks for and prints it.
///
/// # Errors
///
/// When a history violates what must hold, or could not be run.
pub fn main(options: &Options) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(run_all(options));
    match options.json {
        true => println!("{}", serde_json::to_string(&report)?),
        false => print!("{report}"),
    }
    if report.violating.is_empty() && report.failed.is_empty() {
        return Ok(());
    }
    Err("history: see the violations above".into())
}

/// Runs the histories, a few at a time.
pub async fn run_all(options: &Options) -> Report {
    let mut report = Report::default();
    let room = Arc::new(Semaphore::new(options.jobs.max(1)));
    let mut tasks = JoinSet::new();
    for seed in options.seed..options.seed + options.seeds {
        let (room, without) = (room.clone(), options.without);
        tasks.spawn(async move {
            // The semaphore is never closed.
            let _place = room.acquire_owned().await;
            let plan = Plan::draw(seed, form(seed, without));
            let plan = match without {
                Some(Safeguard::Token) => plan.with_silence(),
                _ => plan,
            };
            let ran = run::run(&plan, without).await;
            (plan, ran.map_err(|error| error.to_string()))
        });
    }
    while let Some(done) = tasks.join_next().await {
        match done {
            Ok((plan, Ok(history))) => {
                let violations = check(&history);
                report.add(&plan, history, violations);
            }
            Ok((plan, Err(cause))) => report.failed.push(format!("seed {}: {cause}", plan.seed)),
            Err(error) => report.failed.push(error.to_string()),
        }
    }
    report
}

fn form(seed: u64, without: Option<Safeguard>) -> Form {
    match without {
        Some(Safeguard::Claim | Safeguard::Token) => Form::Parts,
        _ if seed.is_multiple_of(2) => Form::Daemons,
        _ => Form::Parts,
    }
}
