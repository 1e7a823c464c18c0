//! A confirmation as one daemon tells it to another.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use unit::Version;

use crate::{Confirmation, Moment};

/// A confirmation on its way to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The age at the sender, when it answered.
    pub age: Duration,
    /// The versions of the keys, that of the rules first.
    pub versions: Vec<Version>,
    /// The contents that the receiver lacks.
    pub contents: Vec<Content>,
}

/// The content of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// The place of the key in the list of versions.
    pub place: u32,
    /// The content; `None` if there is no object.
    pub value: Option<Bytes>,
}

impl Report {
    /// Reports `confirmation` at `now` to a daemon that holds the contents of the versions `held`.
    pub fn of(confirmation: &Confirmation, now: Moment, held: &[Version]) -> Report {
        let keys = confirmation.versions.iter().zip(&confirmation.values);
        let keys = keys.enumerate().skip(1);
        let lacking = keys.filter(|(place, (version, _))| held.get(*place) != Some(*version));
        let contents = lacking.filter_map(|(place, (_, value))| {
            Some(Content {
                place: u32::try_from(place).ok()?,
                value: value.clone(),
            })
        });
        Report {
            age: confirmation.age(now),
            versions: confirmation.versions.clone(),
            contents: contents.collect(),
        }
    }

    /// The confirmation that this report gives to a daemon that sent its question at `asked` and
    /// holds `held`; `None` if a content is missing or the age is beyond the clock's range.
    ///
    /// The sender stated the age after it had received the question, so the read began no earlier
    /// than that age before the question was sent, however long question and answer took.
    pub fn received(self, asked: Moment, held: Option<&Confirmation>) -> Option<Confirmation> {
        let began = asked.before(self.age)?;
        let value = |(place, version): (usize, &Version)| {
            if place == 0 {
                return Some(None);
            }
            let mut contents = self.contents.iter();
            let sent = contents.find(|content| usize::try_from(content.place) == Ok(place));
            if let Some(content) = sent {
                return Some(content.value.clone());
            }
            let held = held.filter(|held| held.versions.get(place) == Some(version))?;
            held.values.get(place).cloned()
        };
        let values = self.versions.iter().enumerate().map(value);
        Some(Confirmation {
            began,
            values: values.collect::<Option<_>>()?,
            versions: self.versions,
        })
    }
}
