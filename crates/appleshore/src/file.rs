//! Settings from a file.

use std::path::Path;

use setting::Setting;

/// Reads the settings of the file at `path`.
///
/// # Errors
///
/// A text for operators: why the file can't be read, or all faults in it, behind its path.
pub fn load(path: &Path) -> Result<Setting, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    Setting::parse(&text).map_err(|error| format!("{name}:\n{error}"))
}
