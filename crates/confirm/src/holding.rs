//! The confirmations that one daemon holds.

use std::collections::BTreeMap;
use std::time::Duration;

use unit::Version;

use crate::{Confirmation, Moment};

/// Number of versions of rules that are confirmed but not yet in force here. With more, those of
/// the oldest version are dropped, which only makes an age come out too old.
const MAX_PENDING: usize = 16;

/// How much later a confirmation with lower versions must have begun to replace the newest.
///
/// Moments that reached this daemon by different ways are each too early by the delay of their way.
/// A read from before a change may thus seem to be later than one from after it. Lower versions are
/// real after a deletion or if the store was restored from an older copy.
const MIN_REGRESSION: Duration = Duration::from_secs(1);

/// The newest confirmation of a daemon, and since when the rules in force are confirmed.
#[derive(Debug, Default)]
pub struct Holding {
    newest: Option<Confirmation>,
    /// For each version of the rules that may not be in force here yet, the latest moment at which
    /// it was the newest.
    pending: BTreeMap<Version, Moment>,
    counted: Option<Moment>,
}

/// The result of offering a confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is the newest now, and its versions differ from those of the one before.
    Changed,
    /// It is the newest now.
    Newer,
    /// A newer one is held.
    Old,
}

impl Holding {
    /// The newest confirmation, whether or not its rules are in force here.
    pub fn newest(&self) -> Option<&Confirmation> {
        self.newest.as_ref()
    }

    /// Takes a confirmation in. One of no rules confirms no rules.
    pub fn offer(&mut self, confirmation: Confirmation) -> Offer {
        self.count(&confirmation);
        let Some(newest) = &self.newest else {
            self.newest = Some(confirmation);
            return Offer::Changed;
        };
        let ahead = confirmation.began.since(newest.began);
        let is_behind =
            ahead.is_zero() || (confirmation.is_below(newest) && ahead < MIN_REGRESSION);
        if is_behind {
            return Offer::Old;
        }
        let is_change = confirmation.versions != newest.versions;
        self.newest = Some(confirmation);
        match is_change {
            true => Offer::Changed,
            false => Offer::Newer,
        }
    }

    fn count(&mut self, confirmation: &Confirmation) {
        let rules = confirmation.rules();
        if rules == Version::NONE {
            return;
        }
        let began = self.pending.entry(rules).or_insert(confirmation.began);
        *began = confirmation.began.max(*began);
        while self.pending.len() > MAX_PENDING {
            self.pending.pop_first();
        }
    }

    /// The latest moment at which the store is known to have held no rules newer than `in_force`;
    /// `None` if there was none. Rules in force never go back to a lower version.
    pub fn confirmed_at(&mut self, in_force: Version) -> Option<Moment> {
        while let Some(first) = self.pending.first_entry()
            && *first.key() <= in_force
        {
            self.counted = self.counted.max(Some(first.remove()));
        }
        self.counted
    }
}
