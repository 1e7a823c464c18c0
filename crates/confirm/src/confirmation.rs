//! What one linearizable read of the store has shown.

use std::time::Duration;

use bytes::Bytes;
use unit::Version;

use crate::Moment;

/// States that at a moment the listed versions were the newest in the store.
///
/// More exactly: they include every write that the store had acknowledged before that moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirmation {
    /// The moment, which is no later than the beginning of the read.
    pub began: Moment,
    /// The versions of the keys, that of the rules first. [`Version::NONE`] if there is no object.
    pub versions: Vec<Version>,
    /// The contents of the keys; `None` for the rules and if there is no object.
    pub values: Vec<Option<Bytes>>,
}

impl Confirmation {
    /// The age at `now`.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.began)
    }

    /// The version of the rules.
    pub fn rules(&self) -> Version {
        self.versions.first().copied().unwrap_or_default()
    }

    /// Whether one of the versions is lower than in `other`.
    pub(crate) fn is_below(&self, other: &Confirmation) -> bool {
        let mut versions = self.versions.iter().zip(&other.versions);
        versions.any(|(own, other)| own < other)
    }
}
