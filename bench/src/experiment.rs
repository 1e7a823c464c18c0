//! Ways to choose and to queue, compared under a workload of one's own.
//!
//! A workload is a file that says what targets there are, what callers ask of them and what goes
//! wrong ([`Workload`]). Each mode runs it with each seed on the model of [`policy`](crate::policy),
//! which makes the decisions of `pick` and `gate` themselves on a simulated clock. The same seed draws
//! the same arrivals and slow spells in each mode, so differences are taken seed by seed.

mod compare;
mod page;
mod read;
mod table;
mod workload;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use indicatif::{ProgressBar, ProgressStyle};
use parking_lot::Mutex;

pub use compare::{Broken, Comparison};
pub use workload::Workload;

use crate::policy::{Outcome, outcome};

/// What to run.
#[derive(Debug, clap::Args)]
pub struct Options {
    /// The workload, JSON with comments; see docs/operators/experiments.md.
    file: PathBuf,
    /// Seeds to run, in place of the workload's number.
    #[arg(long, value_parser = clap::value_parser!(u32).range(2..=1_000))]
    seeds: Option<u32>,
    /// The first seed; the others follow it.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Runs at the same time; as many as there are cores unless set.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1_024))]
    jobs: Option<u16>,
    /// Writes all figures as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes a page with plots.
    #[arg(long)]
    html: Option<PathBuf>,
}

/// Runs what the command line asks for, prints a table and writes what was asked for.
///
/// # Errors
///
/// When the workload can't be read, a file can't be written, or a bound of the workload is broken.
pub fn main(options: &Options) -> Result<(), Box<dyn std::error::Error>> {
    let mut workload = load(&options.file)?;
    if let Some(seeds) = options.seeds {
        workload.set_seeds(seeds);
    }
    let cores = || thread::available_parallelism().map_or(1, usize::from);
    let jobs = options.jobs.map_or_else(cores, usize::from);
    let comparison = run(&workload, options.first_seed, jobs);
    print!("{comparison}");
    if let Some(path) = &options.json {
        write(path, &serde_json::to_string_pretty(&comparison)?)?;
    }
    if let Some(path) = &options.html {
        write(path, &page::render(&comparison)?)?;
    }
    let mut broken: Vec<String> = comparison.broken().iter().map(Broken::to_string).collect();
    if comparison.has_false_not_run() {
        broken.push("requests were refused as not run that a target saw".to_string());
    }
    if broken.is_empty() {
        return Ok(());
    }
    Err(format!("experiment: {}", broken.join("; ")).into())
}

/// Reads a workload.
///
/// # Errors
///
/// The path with the cause, or with each fault of the file and its place.
pub fn load(path: &Path) -> Result<Workload, String> {
    let named = |cause: String| format!("experiment: {}: {cause}", path.display());
    let text = fs::read_to_string(path).map_err(|error| named(error.to_string()))?;
    Workload::parse(&text).map_err(|error| named(error.to_string()))
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    fs::write(path, text).map_err(|error| format!("experiment: {}: {error}", path.display()))
}

/// Runs a workload with seeds from `first_seed` on, `jobs` at a time.
pub fn run(workload: &Workload, first_seed: u64, jobs: usize) -> Comparison {
    let seeds: Vec<u64> = (first_seed..).take(workload.seeds as usize).collect();
    let runs = seeds.len() * workload.modes.len();
    let progress = progress(runs as u64);
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<Option<Outcome>>> = Mutex::new(vec![None; runs]);
    thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, runs) {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= runs {
                        return;
                    }
                    let mode = &workload.modes[number / seeds.len()];
                    let seed = seeds[number % seeds.len()];
                    let ended = outcome(workload.scenario.clone(), mode.clone(), seed);
                    done.lock()[number] = Some(ended);
                    progress.inc(1);
                }
            });
        }
    });
    progress.finish_and_clear();
    let outcomes: Vec<Outcome> = done.into_inner().into_iter().flatten().collect();
    Comparison::of(workload, &seeds, &outcomes)
}

/// A bar on the terminal; where there is none it stays silent.
fn progress(runs: u64) -> ProgressBar {
    let bar = ProgressBar::new(runs);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left");
    match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
