//! The operator's command line: checks, explains and changes the rules, and looks at daemons.
//!
//! Exit codes: 0 when all is done, 1 when what was asked for failed, 2 for a faulty document or
//! command line, 3 when another operator's change to the rules won.

mod check;
mod claim;
mod daemon;
mod drain;
mod dump;
mod error;
mod evacuate;
mod explain;
mod file;
mod output;
mod place;
mod rules;
mod shell;
mod top;
mod trace;

use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

use crate::error::Error;

const EXIT_CODES: &str = "Exit codes: 0 done, 1 what was asked for failed, 2 faulty document or \
                          command line, 3 another operator's change won.";

/// Checks, explains and changes the rules, and looks at daemons.
#[derive(Debug, Parser)]
#[command(name = "appleshore", version, after_help = EXIT_CODES)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Lists the faults of a rules document, and warns of rules that can never match.
    Check(check::Arguments),
    /// Tells which rule a request meets, and why not the earlier ones.
    Explain(explain::Arguments),
    /// Reads and writes the rules in the platform's store.
    #[command(subcommand)]
    Rules(rules::Command),
    /// Prints the state of a daemon as JSON.
    Dump(dump::Arguments),
    /// Shows gates and targets, live.
    Top(top::Arguments),
    /// Evacuates availability zones, and ends evacuations.
    #[command(subcommand)]
    Evacuate(evacuate::Command),
    /// Begins a planned stop of a daemon.
    Drain(drain::Arguments),
    /// Prints the record of a request that runs at most once.
    Claim(claim::Arguments),
    /// Prints the completions of this command line for a shell.
    Completions(shell::Completions),
    /// Prints the manual page of this command line, or of one of its commands.
    Manual(shell::Manual),
    /// Prints what the logs of all daemons say of one request and of the calls below it.
    Trace(trace::Arguments),
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output::note(&error.to_string());
            ExitCode::from(error.code())
        }
    }
}

fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Check(arguments) => check::run(&arguments),
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Rules(command) => rules::run(&command),
        Command::Dump(arguments) => dump::run(&arguments),
        Command::Top(arguments) => top::run(&arguments),
        Command::Evacuate(command) => evacuate::run(&command),
        Command::Drain(arguments) => drain::run(&arguments),
        Command::Claim(arguments) => claim::run(&arguments),
        Command::Completions(arguments) => shell::completions(&arguments, Arguments::command()),
        Command::Manual(arguments) => shell::manual(&arguments, Arguments::command()),
        Command::Trace(arguments) => trace::run(&arguments),
    }
}
