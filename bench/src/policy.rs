//! The decisions of `pick` and `gate` against small fake targets on a simulated clock.
//!
//! A benchmark of decisions, not of a cluster: one service, a target is a number of slots and a
//! drawn service time, a zone is a constant delay. Times are whole nanoseconds and the arithmetic
//! is plain, so one seed gives the same figures on every machine.

mod draw;
mod scenario;
mod world;

pub(crate) use scenario::{Abroad, Choice, Fault, LEAD, PERIOD, Part, Spell, steady};
use scenario::{BASE, modes, scenarios};
pub use scenario::{Mode, Scenario};
pub use world::Figure;
pub(crate) use world::{CLASSES, Outcome, Second, Tally};

/// What to run.
#[derive(Debug, clap::Args)]
pub struct Options {
    /// The scenario, or `all`.
    #[arg(long)]
    scenario: String,
    /// Seeds arrivals, service times and choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints JSON, a line for each scenario and mode.
    #[arg(long)]
    json: bool,
    /// Also runs the ways that were weighed and not taken.
    #[arg(long)]
    weigh: bool,
}

/// Runs what the command line asks for and prints it.
///
/// # Errors
///
/// When the scenario is not known, or a figure can't be written as JSON.
pub fn main(options: &Options) -> Result<(), Box<dyn std::error::Error>> {
    let (scenarios, mut modes) = (scenarios(), modes());
    if !options.weigh {
        modes.truncate(BASE);
    }
    let wanted = |name: &str| options.scenario == "all" || options.scenario == name;
    if !scenarios.iter().any(|scenario| wanted(&scenario.name)) {
        let names: Vec<&str> = scenarios.iter().map(|known| known.name.as_str()).collect();
        let names = names.join(", ");
        return Err(format!("policy: no such scenario; known are all, {names}").into());
    }
    for scenario in scenarios.iter().filter(|known| wanted(&known.name)) {
        for mode in &modes {
            let figure = run(scenario.clone(), mode.clone(), options.seed);
            match options.json {
                true => println!("{}", serde_json::to_string(&figure)?),
                false => print!("{figure}"),
            }
        }
    }
    Ok(())
}

/// Runs one scenario in one mode, and counts by class what its callers get.
pub(crate) fn outcome(scenario: Scenario, mode: Mode, seed: u64) -> Outcome {
    world::World::new(scenario, mode, seed).outcome(seed)
}

/// Runs one scenario in one mode.
pub fn run(scenario: Scenario, mode: Mode, seed: u64) -> Figure {
    world::World::new(scenario, mode, seed).run()
}
