//! Documents read from files, with their faults as `FILE:line:column: cause`.

use std::fmt;
use std::path::{Path, PathBuf};

use jsonc::Fault;
use rule::{Document, Warning};
use setting::Setting;

use crate::error::Error;

/// The faults of one file, in the order of its text.
#[derive(Debug)]
pub(crate) struct Faults {
    path: PathBuf,
    faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        for Fault {
            line,
            column,
            cause,
        } in &self.faults
        {
            writeln!(f, "{path}:{line}:{column}: {cause}")?;
        }
        match self.faults.len() {
            1 => write!(f, "{path}: 1 fault"),
            count => write!(f, "{path}: {count} faults"),
        }
    }
}

/// Reads a rules document.
///
/// # Errors
///
/// [`Error::File`], or [`Error::Faults`] with all of them.
pub(crate) fn rules(path: &Path) -> Result<Document, Error> {
    let text = read(path)?;
    Document::parse(&text).map_err(|error| faults(path, &error))
}

/// Reads the settings of a daemon.
///
/// # Errors
///
/// As [`rules`].
pub(crate) fn settings(path: &Path) -> Result<Setting, Error> {
    let text = read(path)?;
    Setting::parse(&text).map_err(|error| faults(path, &error))
}

/// A warning as one line.
pub(crate) fn warning(path: &Path, warning: &Warning) -> String {
    let Warning {
        position,
        rule,
        shadowed_by,
    } = warning;
    let (line, column) = (position.line, position.column);
    format!(
        "{}:{line}:{column}: warning: rule {rule:?} can never match: rule {shadowed_by:?} matches first",
        path.display()
    )
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|cause| Error::File(path.to_path_buf(), cause))
}

fn faults(path: &Path, error: &jsonc::Error) -> Error {
    Error::Faults(Faults {
        path: path.to_path_buf(),
        faults: error.faults().to_vec(),
    })
}
