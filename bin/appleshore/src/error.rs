//! Why a command failed, and the exit code that says so.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use quick_error::quick_error;
use unit::Version;

use crate::file::Faults;
use crate::rules::{Race, key_at};

/// What was asked for failed.
const FAILED: u8 = 1;
/// The document or the command line is faulty.
const FAULTY: u8 = 2;
/// Another operator's change won.
const RACE: u8 = 3;

quick_error! {
    /// A failed command, with the step and the peer at which it failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file could not be read.
        File(path: PathBuf, cause: io::Error) {
            display("read {}: {cause}", path.display())
            source(cause)
        }
        /// A document has faults; they are listed.
        Faults(faults: Faults) {
            display("{faults}")
        }
        /// The command line asks for what can't be done.
        Usage(cause: String) {
            display("{cause}")
        }
        /// The output could not be written.
        Output(cause: io::Error) {
            display("write the output: {cause}")
            source(cause)
        }
        /// The threads or the clock of this process could not be started.
        Start(cause: io::Error) {
            display("start: {cause}")
            source(cause)
        }
        /// No rule takes the request.
        NoRule(cause: String) {
            display("{cause}")
        }
        /// A call on the store failed without effect.
        Store(cause: store::Error) {
            display("{cause}")
            source(cause)
        }
        /// The store has no rules under the key.
        NoRules(key: String) {
            display("rules get: there are no rules under the key {key:?}")
        }
        /// The rules in the store are no text.
        NoText(key: String, version: Version) {
            display("rules get: version {version} under the key {key:?} is no text")
        }
        /// The command names no version that the write may replace.
        NoCondition(key: String, current: Option<Version>) {
            display(
                "rules put: nothing was written: {}. {}",
                key_at(key, *current),
                go_on(*current)
            )
        }
        /// Another operator's change won.
        Race(race: Box<Race>) {
            display("{race}")
        }
        /// Another operator's change won, and could not be read.
        Beaten(key: String, cause: store::Error) {
            display(
                "rules put: another change won and nothing was written ({cause}), but the rules \
                 could not be read. Try `appleshore rules get --key {key}`."
            )
            source(cause)
        }
        /// The store's answer was lost, and whether the rules were written could not be told.
        Doubt(key: String, cause: store::Error) {
            display(
                "rules put: the rules may or may not have been written, now or later ({cause}). \
                 Compare `appleshore rules get --key {key}` with the file before going on."
            )
            source(cause)
        }
        /// A daemon did not answer as it should.
        Daemon(step: &'static str, peer: SocketAddr, cause: String) {
            display("{step} at {peer}: {cause}")
        }
        /// No log has a line about the request.
        NoTrace(id: String) {
            display("trace: no line is about the request {id:?}")
        }
        /// A daemon has no claim of the key.
        NoClaim(peer: SocketAddr) {
            display("claim at {peer}: no claim of this key is on record for this caller and service")
        }
    }
}

impl Error {
    /// The exit code of the process.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Error::File(..) | Error::Faults(_) | Error::Usage(_) | Error::NoCondition(..) => FAULTY,
            Error::Race(_) | Error::Beaten(..) => RACE,
            _ => FAILED,
        }
    }
}

fn go_on(current: Option<Version>) -> String {
    match current {
        Some(version) => format!(
            "Read them with `appleshore rules get`, take in what differs, and put again with \
             --if-version {version}; --force replaces whatever is there."
        ),
        None => "Put again with --if-absent.".to_string(),
    }
}
