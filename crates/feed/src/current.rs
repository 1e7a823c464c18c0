//! The rules in force at one daemon.

use std::sync::{Arc, OnceLock};

use parking_lot::RwLock;
use rule::Document;
use unit::Version;

use crate::{Error, Packed};

/// Rules with their version.
#[derive(Debug, Clone)]
pub struct Rules {
    /// The version of the object that holds them.
    pub version: Version,
    /// The rules.
    pub document: Arc<Document>,
    /// What daemons pass on to each other.
    packed: Arc<OnceLock<Option<Packed>>>,
}

impl Rules {
    /// The packed text, which is made when it is first asked for; `None` if it can't be packed.
    pub(crate) fn packed(&self) -> Option<Packed> {
        let pack = || {
            let packed = Packed::of(self.document.text());
            packed
                .inspect_err(|error| log::error!("feed: rules {}: {error}.", self.version))
                .ok()
        };
        self.packed.get_or_init(pack).clone()
    }
}

/// The rules in force; they are read on every request and written a few times a minute.
#[derive(Debug, Default)]
pub struct Current {
    rules: RwLock<Option<Rules>>,
    /// The newest version that did not parse, so that it is reported and fetched once.
    bad: RwLock<Version>,
}

/// What became of rules that were offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// They are in force now.
    Taken,
    /// Newer ones are in force already, or the same.
    Old,
}

impl Current {
    /// The rules in force; `None` before the first have come.
    pub fn get(&self) -> Option<Rules> {
        self.rules.read().clone()
    }

    /// The version in force; 0 before the first.
    pub fn version(&self) -> Version {
        let rules = self.rules.read();
        rules.as_ref().map_or(Version::NONE, |rules| rules.version)
    }

    /// Whether `version` is worth fetching: newer than what is in force, and not yet refused.
    pub fn wants(&self, version: Version) -> bool {
        version > self.version() && version != *self.bad.read()
    }

    /// Puts `text` in force if `version` is newer than what is.
    ///
    /// A relay or a slow store may offer an old version at any time: it is passed over, or an
    /// accepted change would revert.
    ///
    /// # Errors
    ///
    /// [`Error::Rules`] if the text does not parse; what is in force stays.
    pub fn offer(&self, version: Version, text: &str) -> Result<Offer, Error> {
        self.offer_packed(version, text, None)
    }

    /// The same, with the packed form in which the text has come.
    pub(crate) fn offer_packed(
        &self,
        version: Version,
        text: &str,
        packed: Option<Packed>,
    ) -> Result<Offer, Error> {
        if version <= self.version() {
            return Ok(Offer::Old);
        }
        let document = Document::parse(text).map_err(|cause| self.refuse(version, cause))?;
        let rules = Rules {
            version,
            document: Arc::new(document),
            packed: Arc::new(packed.map_or_else(OnceLock::new, |packed| Some(packed).into())),
        };
        let mut current = self.rules.write();
        // Another thread may have offered a newer one while this one was parsed.
        if current
            .as_ref()
            .is_some_and(|known| known.version >= version)
        {
            return Ok(Offer::Old);
        }
        *current = Some(rules);
        Ok(Offer::Taken)
    }

    fn refuse(&self, version: Version, cause: rule::Error) -> Error {
        let mut bad = self.bad.write();
        if *bad < version {
            *bad = version;
            log::error!("feed: rules {version} are refused: {cause}.");
        }
        Error::Rules(version, cause)
    }
}
