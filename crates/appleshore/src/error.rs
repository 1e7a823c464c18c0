//! Why a daemon could not start.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// A failure at the start of a daemon, with the step.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be bound.
        Bind(what: &'static str, address: SocketAddr, cause: io::Error) {
            display("bind {what} at {address}: {cause}")
            source(cause)
        }
        /// The links could not be set up.
        Wire(cause: wire::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The log could not be set up.
        Log(cause: log::SetLoggerError) {
            display("set up the log: {cause}")
            source(cause)
            from()
        }
    }
}
