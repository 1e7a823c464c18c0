//! `appleshore drain`: begins a planned stop.

use std::net::SocketAddr;

use http::Method;
use unit::Span;

use crate::daemon::{Call, block_on};
use crate::error::Error;
use crate::output;

/// What `drain` takes.
#[derive(Debug, clap::Args)]
pub(crate) struct Arguments {
    /// The daemon's operator address, such as 127.0.0.1:7401.
    address: SocketAddr,
    /// How long the daemon may take to answer.
    #[arg(long, default_value = "5s")]
    timeout: Span,
}

/// Asks the daemon to stop; it ends by itself once what runs has finished.
///
/// # Errors
///
/// [`Error::Daemon`] when the daemon does not confirm.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let call = Call {
        step: "drain",
        peer: arguments.address,
        method: Method::POST,
        path: "/drain",
        limit: arguments.timeout.0,
    };
    let answer = block_on(call.send())?;
    if !answer.status().is_success() {
        return Err(call.status(&answer));
    }
    output::print(&format!(
        "{}: drain begins; the daemon ends when what runs has finished\n",
        arguments.address
    ))
}
