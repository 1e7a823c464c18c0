//! Benchmarks.

use bench::{capacity, experiment, history, path, policy};
use clap::{Parser, Subcommand};

/// Benchmarks of appleshore.
#[derive(Debug, Parser)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Slopes of memory, bytes and processor time, and what they make of the design size.
    Capacity(capacity::Options),
    /// The decisions against fake targets on a simulated clock.
    Policy(policy::Options),
    /// Ways to choose and to queue, compared under a workload of one's own.
    Experiment(experiment::Options),
    /// Concurrent runs under faults, and what must hold of each.
    History(history::Options),
    /// Real daemons under faults from outside, and what callers see of them.
    Soak(soak::Options),
    /// What two daemons add to a call on real sockets.
    Path(path::Options),
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    match Line::parse().command {
        Command::Capacity(options) => capacity::main(&options),
        Command::Policy(options) => policy::main(&options),
        Command::Experiment(options) => experiment::main(&options),
        Command::History(options) => history::main(&options),
        Command::Soak(options) => soak::main(&options),
        Command::Path(options) => path::main(&options),
    }
}
