//! Slopes measured on one machine, and what they make of the size to design for.
//!
//! Each role has a small experiment of its own. What grows in a line is fitted by a line; what the
//! mechanism holds constant (beats to an instance's observers, messages of one daemon in a tree,
//! watchers of a zone) is carried over by its own law. The output is the table of
//! `docs/CAPACITY.md`.

mod daemon;
mod design;
mod entry;
mod failure;
mod fan;
mod feed;
mod gate;
mod ledger;
mod link;
mod print;
mod roster;
mod row;
mod rules;
mod slope;
mod system;
mod table;
mod total;
#[path = "../../crates/feed/tests/it/world.rs"]
#[expect(dead_code, reason = "the tests of the feed use more of it")]
mod world;

use std::error::Error;

use clap::Args;
use serde::Serialize;

pub use daemon::Daemons;
pub use entry::Choices;
pub use failure::Cost;
pub use feed::Feeds;
pub use gate::Gates;
pub use ledger::{Ledgers, Steady};
pub use link::Links;
pub use roster::Rosters;
pub use row::Row;
pub use rules::Documents;
pub use slope::{Fit, Point, Slope};

/// What `bench capacity` takes.
#[derive(Debug, Args)]
pub struct Options {
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

/// All that was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Measured {
    /// The directory's records.
    pub rosters: Rosters,
    /// Documents of rules.
    pub documents: Documents,
    /// The gate.
    pub gates: Gates,
    /// The entry's choice.
    pub choices: Choices,
    /// Open links.
    pub links: Links,
    /// Claims.
    pub ledgers: Ledgers,
    /// How rules and roster are carried.
    pub feeds: Feeds,
    /// Failures.
    pub failures: Vec<Cost>,
    /// Whole daemons on real sockets.
    pub daemons: Daemons,
}

/// What is printed.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// What was measured.
    pub measured: Measured,
    /// What it makes of the design size.
    pub table: Vec<Row>,
}

/// Measures the slopes and prints them with the table.
///
/// # Errors
///
/// When the system's counters can't be read, a socket can't be bound, or an experiment fails.
pub fn main(options: &Options) -> Result<(), Box<dyn Error>> {
    // Memory comes first, before other work leaves freed pages behind.
    let rosters = step("roster", roster::measure)?;
    let documents = step("rules", rules::measure)?;
    let gates = step("gate", gate::measure)?;
    let choices = step("entry", entry::measure)?;
    let owners = step("ledger's memory", ledger::owners)?;
    let links = step("links", link::measure)?;
    let announced = step("announced instances", daemon::announced)?;
    // What is left mostly waits, and so runs side by side.
    let (feeds, failures, claims) = (feed::start(), failure::start(), ledger::start());
    let measured = Measured {
        rosters,
        documents,
        gates,
        choices,
        links,
        daemons: step("calls", || daemon::measure(announced))?,
        ledgers: step("claims", || claims.end(owners))?,
        feeds: step("feed", || feeds.end())?,
        failures: step("failures", || failures.end())?,
    };
    let table = table::rows(&measured);
    let report = Report { measured, table };
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print::report(&report);
    }
    Ok(())
}

/// Runs one experiment, and says on the error output how long it took.
fn step<T>(
    name: &str,
    measure: impl FnOnce() -> Result<T, Box<dyn Error>>,
) -> Result<T, Box<dyn Error>> {
    let start = std::time::Instant::now();
    let measured = measure().map_err(|error| format!("capacity: {name}: {error}"))?;
    eprintln!(
        "capacity: {name} took {:.1} s.",
        start.elapsed().as_secs_f64()
    );
    Ok(measured)
}
