//! `appleshore rules get`: the rules as they are.

use store::Object;

use super::Location;
use crate::daemon::block_on;
use crate::error::Error;
use crate::output;

/// What `rules get` takes.
#[derive(Debug, clap::Args)]
pub(crate) struct Arguments {
    #[command(flatten)]
    location: Location,
    /// Prints only the version, to standard output.
    #[arg(long)]
    version_only: bool,
}

/// Prints the rules.
///
/// # Errors
///
/// [`Error::NoRules`] when there are none, [`Error::Store`] when that can't be told.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let Location { key, .. } = &arguments.location;
    let store = arguments.location.open();
    let object = block_on(async { store.get(key).await.map_err(Error::Store) })?;
    let Object { value, version, .. } = object.ok_or_else(|| Error::NoRules(key.clone()))?;
    if arguments.version_only {
        return output::print(&format!("{version}\n"));
    }
    let text = std::str::from_utf8(&value);
    let text = text.map_err(|_| Error::NoText(key.clone(), version))?;
    output::print(text)?;
    output::note(&format!("version {version}"));
    Ok(())
}
