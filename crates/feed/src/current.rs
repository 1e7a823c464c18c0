//! The rules in force at one daemon.

use std::sync::{Arc, OnceLock};

use parking_lot::RwLock;
use rule::Document;
use tokio::time::Instant;
use unit::Version;

use crate::{Error, Packed};

/// Rules and their version.
#[derive(Debug, Clone)]
pub struct Rules {
    /// The version of the store object that holds them.
    pub version: Version,
    /// The parsed rules.
    pub document: Arc<Document>,
    /// The packed text that daemons send to each other.
    packed: Arc<OnceLock<Option<Packed>>>,
}

impl Rules {
    /// Returns the packed text, packing it on first use; `None` if it can't be packed.
    pub(crate) fn packed(&self) -> Option<Packed> {
        let pack = || {
            let packed = Packed::of(self.document.text());
            packed
                .inspect_err(|error| {
                    log::error!("feed: rules {} can't be packed: {error}.", self.version)
                })
                .ok()
        };
        self.packed.get_or_init(pack).clone()
    }
}

/// The rules in force. They are read on every request and written a few times a minute.
#[derive(Debug, Default)]
pub struct Current {
    rules: RwLock<Option<Rules>>,
    /// The newest version that did not parse, so that it is logged and fetched only once.
    rejected: RwLock<Option<Rejected>>,
}

/// Rules that did not parse, so that older ones are in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejected {
    /// Their version.
    pub version: Version,
    /// Their faults.
    pub cause: String,
    /// When they were rejected first.
    pub since: Instant,
}

/// The version of rules whose real one can't be read. It is above all others, so that rules in force are
/// not confirmed as the newest while the store holds such rules.
pub const UNREADABLE: Version = Version::of(u64::MAX);

/// The result of offering rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The offered rules are now in force.
    Accepted,
    /// The same or newer rules were already in force.
    Old,
}

impl Current {
    /// The rules in force; `None` before the first have arrived.
    pub fn get(&self) -> Option<Rules> {
        self.rules.read().clone()
    }

    /// The version of the rules in force; 0 before the first.
    pub fn version(&self) -> Version {
        let rules = self.rules.read();
        rules.as_ref().map_or(Version::NONE, |rules| rules.version)
    }

    /// Whether `version` should be fetched: it is newer than the rules in force and was not
    /// refused.
    pub fn wants(&self, version: Version) -> bool {
        let rejected = self.rejected.read();
        let is_rejected = rejected.as_ref().is_some_and(|one| one.version == version);
        version > self.version() && !is_rejected
    }

    /// The newest rules that were rejected, unless newer ones are in force by now.
    pub fn rejected(&self) -> Option<Rejected> {
        let in_force = self.version();
        let rejected = self.rejected.read().clone();
        rejected.filter(|rejected| rejected.version > in_force)
    }

    /// Puts `text` in force if `version` is newer than that of the rules in force.
    ///
    /// A relay or a slow store may offer an old version at any time. It is ignored, as it would
    /// revert an accepted change.
    ///
    /// # Errors
    ///
    /// [`Error::Rules`] if the text does not parse; the rules in force stay.
    pub fn offer(&self, version: Version, text: &str) -> Result<Offer, Error> {
        self.offer_packed(version, text, None)
    }

    /// Like [`Current::offer`], with the packed form in which the text was received.
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
        // Another thread may have offered newer rules while these were parsed.
        if current
            .as_ref()
            .is_some_and(|known| known.version >= version)
        {
            return Ok(Offer::Old);
        }
        let is_first = current.is_none();
        *current = Some(rules);
        drop(current);
        if !is_first {
            self.end_unreadable();
        }
        Ok(Offer::Accepted)
    }

    /// Ends the rejection of rules of an unreadable version, because they can't be compared with those
    /// that have come into force. The first rules of a daemon do not end it: they mostly come from other
    /// daemons and are older.
    fn end_unreadable(&self) {
        let mut rejected = self.rejected.write();
        rejected.take_if(|one| one.version == UNREADABLE);
    }

    fn refuse(&self, version: Version, cause: rule::Error) -> Error {
        let mut rejected = self.rejected.write();
        let known = rejected.as_ref().map_or(Version::NONE, |one| one.version);
        if known < version || (known == UNREADABLE && version != UNREADABLE) {
            log::error!("feed: rules {version} are refused: {cause}.");
            *rejected = Some(Rejected {
                version,
                cause: cause.to_string(),
                since: Instant::now(),
            });
        }
        Error::Rules(version, cause)
    }
}
