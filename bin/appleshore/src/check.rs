//! `appleshore check`: the faults and warnings of a document.

use std::path::{Path, PathBuf};

use crate::error::Error;
use crate::{file, output};

/// What `check` takes.
#[derive(Debug, clap::Args)]
pub(crate) struct Arguments {
    /// The document: JSON with comments.
    file: PathBuf,
    /// The file holds the settings of a daemon in place of rules.
    #[arg(long)]
    settings: bool,
}

/// Prints what is wrong with the file, or that nothing is.
///
/// # Errors
///
/// All faults of the file at once.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let path = &arguments.file;
    if arguments.settings {
        file::settings(path)?;
    } else {
        let document = file::rules(path)?;
        warn(path, &document);
    }
    output::print(&format!("{}: no faults\n", path.display()))
}

/// Prints a line for each rule that can never match.
pub(crate) fn warn(path: &Path, document: &rule::Document) {
    for warning in document.check() {
        output::note(&file::warning(path, &warning));
    }
}
