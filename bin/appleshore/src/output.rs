//! What the commands print.

use std::io::{self, Write};

use crate::error::Error;

/// Prints to standard output.
///
/// # Errors
///
/// [`Error::Output`], such as when the reader of a pipe has gone.
pub(crate) fn print(text: &str) -> Result<(), Error> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes());
    written.and_then(|()| out.flush()).map_err(Error::Output)
}

/// Prints a line to standard error.
pub(crate) fn note(line: &str) {
    // There is nobody to tell when standard error is closed; the exit code still says it.
    drop(writeln!(io::stderr(), "{line}"));
}
