//! `appleshore completions` and `appleshore manual`: what a shell and a reader of manual pages need.

use clap::Command;
use clap_complete::Shell;
use clap_mangen::Man;

use crate::error::Error;
use crate::output;

/// What `completions` takes.
#[derive(Debug, clap::Args)]
pub(crate) struct Completions {
    /// The shell.
    shell: Shell,
}

/// What `manual` takes.
#[derive(Debug, clap::Args)]
pub(crate) struct Manual {
    /// The command that the page is about, such as `rules put`; the whole without one.
    command: Vec<String>,
}

/// Prints the completions.
///
/// # Errors
///
/// [`Error::Output`].
pub(crate) fn completions(arguments: &Completions, mut command: Command) -> Result<(), Error> {
    let mut text = Vec::new();
    let name = command.get_name().to_string();
    clap_complete::generate(arguments.shell, &mut command, name, &mut text);
    output::print(&String::from_utf8_lossy(&text))
}

/// Prints the manual page, in the form that `man` reads.
///
/// # Errors
///
/// [`Error::Usage`] if there is no such command, or [`Error::Output`].
pub(crate) fn manual(arguments: &Manual, mut command: Command) -> Result<(), Error> {
    // Only a command line that was built gives its commands their full names.
    command.build();
    let mut page = command;
    for name in &arguments.command {
        let inner = page.find_subcommand(name);
        let unknown = || Error::Usage(format!("manual: there is no command {name:?}"));
        page = inner.ok_or_else(unknown)?.clone();
    }
    let mut text = Vec::new();
    Man::new(page).render(&mut text).map_err(Error::Output)?;
    output::print(&String::from_utf8_lossy(&text))
}
