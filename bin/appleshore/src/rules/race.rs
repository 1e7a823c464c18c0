//! What the loser of a race is told.

use std::fmt;

use rule::Document;
use store::Object;
use unit::Version;

use super::difference::Difference;
use super::key_at;

/// A write that lost against another operator's.
#[derive(Debug)]
pub(crate) struct Race {
    key: String,
    /// What the winner made of the rules.
    won: Won,
    /// An answer was lost before, so that the write may have been in force until the winner's.
    doubt: bool,
}

/// What the store holds in place of the loser's document.
#[derive(Debug)]
enum Won {
    /// The rules were deleted.
    Deleted,
    /// The very same text.
    Same(Version),
    /// Other rules.
    Other(Version, Difference),
    /// Something that is no valid document.
    Invalid(Version, String),
}

impl Race {
    /// A lost race over `key`, where `winner` is what the store holds now.
    pub(crate) fn new(
        key: &str,
        mine: &Document,
        winner: Option<&Object>,
        doubt: bool,
    ) -> Box<Race> {
        let key = key.to_string();
        let won = winner.map_or(Won::Deleted, |object| won(mine, object));
        Box::new(Race { key, won, doubt })
    }
}

fn won(mine: &Document, winner: &Object) -> Won {
    let version = winner.version;
    let Ok(text) = std::str::from_utf8(&winner.value) else {
        return Won::Invalid(version, "it is no text".to_string());
    };
    if text == mine.text() {
        return Won::Same(version);
    }
    match Document::parse(text) {
        Ok(theirs) => Won::Other(version, Difference::of(mine, &theirs)),
        Err(error) => Won::Invalid(version, error.to_string()),
    }
}

impl fmt::Display for Race {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Race { key, won, doubt } = self;
        let written = match doubt {
            false => "nothing was written",
            true => {
                "the store's answer was lost, so this change may have been in force until the \
                 other one; it is not now"
            }
        };
        let at = key_at(key, won.version());
        writeln!(f, "rules put: another change won: {at}; {written}.")?;
        match won {
            Won::Deleted => f.write_str("To write the rules all the same, put with --if-absent."),
            Won::Same(version) => write!(f, "Version {version} has the same text as the file."),
            Won::Other(version, difference) => {
                writeln!(f, "Version {version} against the file:")?;
                write!(f, "{difference}{}", go_on(*version))
            }
            Won::Invalid(version, cause) => {
                writeln!(f, "Version {version} is no valid document: {cause}")?;
                write!(f, "{}", go_on(*version))
            }
        }
    }
}

impl Won {
    fn version(&self) -> Option<Version> {
        match self {
            Won::Deleted => None,
            Won::Same(version) | Won::Other(version, _) | Won::Invalid(version, _) => {
                Some(*version)
            }
        }
    }
}

fn go_on(version: Version) -> String {
    format!("Take its changes into the file, then put again with --if-version {version}.")
}
