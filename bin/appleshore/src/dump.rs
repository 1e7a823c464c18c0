//! `appleshore dump`: the state of a daemon.

use std::net::SocketAddr;

use appleshore::Part;
use http::{Method, StatusCode};
use serde_json::Value;
use unit::Span;

use crate::daemon::{Call, block_on};
use crate::error::Error;
use crate::output;

/// What `dump` takes.
#[derive(Debug, clap::Args)]
pub(crate) struct Arguments {
    /// The daemon's operator address, such as 127.0.0.1:7401.
    address: SocketAddr,
    /// One part only, such as gate; all parts where none is named.
    #[arg(long)]
    part: Option<Part>,
    /// How long the daemon may take to answer.
    #[arg(long, default_value = "5s")]
    timeout: Span,
}

/// Prints the state as JSON.
///
/// # Errors
///
/// [`Error::Daemon`] when the daemon does not answer with JSON.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let part = arguments.part.map(|part| format!("/{part}"));
    let path = format!("/dump{}", part.unwrap_or_default());
    let call = Call {
        step: "dump",
        peer: arguments.address,
        method: Method::GET,
        path: &path,
        limit: arguments.timeout.0,
    };
    let answer = block_on(call.send())?;
    if answer.status() != StatusCode::OK {
        return Err(call.status(&answer));
    }
    // Parsed, so that a cut or foreign answer is an error and not printed as a state.
    let state: Value =
        serde_json::from_slice(answer.body()).map_err(|error| call.error(&error.to_string()))?;
    output::print(&format!("{state:#}\n"))
}
