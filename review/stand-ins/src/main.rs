//! Runs one case of the review: `stand-ins CASE FOLDER`.
//!
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod again;
mod cold;
mod fleet;
mod hang;
mod http;
mod json;
mod poison;
mod record;
mod reuse;
mod stall;
mod store;
mod upload;
mod upstream;

use std::path::Path;
use std::process::ExitCode;

use fleet::Fault;
use record::Record;

/// What a case has found: the breaks of its rule.
pub type Breaks = Vec<String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-ins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match play(case, Path::new(folder), trouble) {
        Ok(breaks) if breaks.is_empty() => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaks) => {
            println!(
                "{case}: the rule was broken {} times, first: {}",
                breaks.len(),
                breaks[0]
            );
            ExitCode::from(1)
        }
        Err(fault) => {
            eprintln!("{case}: couldn't run: {fault}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, folder: &Path, trouble: bool) -> Result<Breaks, Fault> {
    let record = Record::create(&folder.join("record.txt"))?;
    let breaks = match case {
        "hang" => hang::play(&record, trouble)?,
        "upload" => upload::play(&record, trouble)?,
        "reuse" => reuse::play(&record, trouble)?,
        // Trials that are no cases; see REPORT.md.
        "again" => again::play(&record, trouble)?,
        "cold" => cold::play(&record, trouble)?,
        "poison" => poison::play(&record, trouble)?,
        "stall" => stall::play(&record, trouble)?,
        other => return Err(format!("no such case: {other}").into()),
    };
    for line in &breaks {
        record.say(format!("BROKEN: {line}"));
    }
    record.say(if breaks.is_empty() {
        "the rule held"
    } else {
        "the rule was broken"
    });
    Ok(breaks)
}
