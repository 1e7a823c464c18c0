//! `appleshore rules`: the rules in the platform's store.

mod difference;
mod get;
mod put;
mod race;

use store::Store;
use unit::Version;

use crate::error::Error;
use crate::place::Place;

pub(crate) use race::Race;

/// How the store's counts and logs name this command.
const AGENT: &str = "appleshore-rules";

/// What can be done with the rules.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum Command {
    /// Prints the rules to standard output, and their version to standard error.
    Get(get::Arguments),
    /// Checks a document and puts it in force, if the rules are still those it was made from.
    Put(put::Arguments),
}

/// Where the rules are.
#[derive(Debug, clap::Args)]
struct Location {
    #[command(flatten)]
    place: Place,
    /// The key of the rules, as the daemons' settings name it.
    #[arg(long, default_value = "rules")]
    key: String,
}

impl Location {
    fn open(&self) -> Store {
        self.place.open(AGENT)
    }
}

/// Runs one of the commands.
///
/// # Errors
///
/// The command's error.
pub(crate) fn run(command: &Command) -> Result<(), Error> {
    match command {
        Command::Get(arguments) => get::run(arguments),
        Command::Put(arguments) => put::run(arguments),
    }
}

/// Says what version a key is at.
pub(crate) fn key_at(key: &str, version: Option<Version>) -> String {
    match version {
        Some(version) => format!("the key {key:?} is at version {version}"),
        None => format!("there are no rules under the key {key:?}"),
    }
}
