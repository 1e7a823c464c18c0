//! Versions of stored objects, and the eras in which they were given out.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::Error;

/// Counts how often a store has come back from an older copy of itself.
///
/// Revisions go back then and are given out again.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct Era(pub u64);

/// The version of a stored object or of the rules, which only rises: a later era's are above all of
/// an earlier one's.
///
/// As text it is the revision alone in era 0, and `ERA.REVISION` in others.
///
/// ```
/// use unit::{Era, Version};
///
/// let before = Version::of(42);
/// let after = Version { era: Era(1), revision: 30 };
/// assert!(before < after);
/// assert_eq!(after.to_string(), "1.30");
/// assert_eq!("1.30".parse::<Version>()?, after);
/// # Ok::<(), unit::Error>(())
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The era in which the revision was given out.
    pub era: Era,
    /// The place in the order of all changes of that era.
    pub revision: u64,
}

impl Version {
    /// Below all versions that are given out.
    pub const NONE: Version = Version::of(0);

    /// A revision of a store that has never come back from a copy, or a number of another kind.
    pub const fn of(revision: u64) -> Version {
        Version {
            era: Era(0),
            revision,
        }
    }

    /// A revision of an era.
    pub const fn in_era(era: Era, revision: u64) -> Version {
        Version { era, revision }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Era(0) => write!(f, "{}", self.revision),
            era => write!(f, "{era}.{}", self.revision),
        }
    }
}

impl FromStr for Version {
    type Err = Error;

    fn from_str(text: &str) -> Result<Version, Error> {
        let error = || Error::shape("a version", text, "REVISION or ERA.REVISION");
        let number = |text: &str| text.parse::<u64>().map_err(|_| error());
        match text.split_once('.') {
            Some((era, revision)) => Ok(Version::in_era(Era(number(era)?), number(revision)?)),
            None => Ok(Version::of(number(text)?)),
        }
    }
}

/// A number or a text in formats for people, two numbers in others.
impl Serialize for Version {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match (serializer.is_human_readable(), self.era) {
            (true, Era(0)) => serializer.serialize_u64(self.revision),
            (true, _) => serializer.collect_str(self),
            (false, era) => (era, self.revision).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Version {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Version, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Readable {
            Number(u64),
            Text(String),
        }
        if !deserializer.is_human_readable() {
            let (era, revision) = <(Era, u64)>::deserialize(deserializer)?;
            return Ok(Version { era, revision });
        }
        match Readable::deserialize(deserializer)? {
            Readable::Number(revision) => Ok(Version::of(revision)),
            Readable::Text(text) => text.parse().map_err(de::Error::custom),
        }
    }
}
