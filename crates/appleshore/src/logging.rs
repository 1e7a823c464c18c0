//! The log of a process: one line an event, on standard error.

use log::LevelFilter;

use crate::Error;

/// Starts the log at `level`. Each line has the time, the level, and a message that begins with
/// the part it comes from.
///
/// # Errors
///
/// [`Error::Log`] if the process has a log already.
pub fn start(level: LevelFilter) -> Result<(), Error> {
    fern::Dispatch::new()
        .level(level)
        .level_for("quinn", LevelFilter::Warn)
        .level_for("gotham", LevelFilter::Warn)
        .format(|out, message, record| {
            let now = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!("{now} {} {message}", record.level()));
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
