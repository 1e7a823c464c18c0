//! How soon a request must be served.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// How soon a request must be served; the lower orders first.
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
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Somebody waits at a counter: court and audit look-ups, haul-out lists.
    #[display("urgent")]
    Urgent,
    /// Ordinary work.
    #[default]
    #[display("routine")]
    Routine,
    /// Work that nobody waits for.
    #[display("batch")]
    Batch,
}

impl Urgency {
    /// All urgencies, the most urgent first.
    pub const ALL: [Urgency; 3] = [Urgency::Urgent, Urgency::Routine, Urgency::Batch];

    /// The place of this urgency in [`Urgency::ALL`].
    pub fn rank(self) -> usize {
        self as usize
    }
}

impl FromStr for Urgency {
    type Err = Error;

    fn from_str(text: &str) -> Result<Urgency, Error> {
        let found = Urgency::ALL
            .into_iter()
            .find(|urgency| urgency.to_string() == text);
        found.ok_or_else(|| Error::shape("an urgency", text, "urgent, routine or batch"))
    }
}
