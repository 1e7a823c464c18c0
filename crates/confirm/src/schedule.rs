//! Who reads the store, and when.

use std::time::Duration;

/// Age of the own confirmation at which the first daemon in rank reads.
const READ_AGE: Duration = Duration::from_millis(800);
/// By how much later each following rank reads. A read takes some milliseconds, and the next rank
/// asks for its outcome before it reads itself.
const RANK_STEP: Duration = Duration::from_millis(300);
/// Share of the revocation time up to which reads of late ranks are put off: a daemon without a
/// path to the store for that long need not serve any more.
const LATEST_READ: f64 = 0.6;
/// Share of the revocation time for which a confirmation lasts. The rest is for a request that was
/// checked just before and is on its way to its target.
const LASTS: f64 = 0.9;
/// The revocation time that read ages are derived from if none is set.
const DEFAULT_REVOKE: Duration = Duration::from_secs(5);

/// The part of a daemon in confirming.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// One of the watchers.
    Watcher {
        /// Its place among the watchers of all zones; the first is 0.
        rank: u32,
        /// The number of watchers.
        of: u32,
    },
    /// It asks the watchers.
    Member,
    /// No other daemon answers it.
    Isolated,
}

/// The ages at which confirmations are renewed and end.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    revoke: Option<Duration>,
}

impl Schedule {
    /// The schedule for a revocation time; `None` if confirmations never end.
    pub fn new(revoke: Option<Duration>) -> Schedule {
        Schedule { revoke }
    }

    /// For how long after a confirmation the configuration counts as confirmed; `None` if it always
    /// does.
    pub fn lasts(&self) -> Option<Duration> {
        Some(self.revoke?.mul_f64(LASTS))
    }

    /// The age of the own confirmation at which a daemon reads; `None` if it leaves that to others.
    ///
    /// A daemon whose last read `failed` comes after all other ranks.
    pub fn read_age(&self, place: Place, failed: bool) -> Option<Duration> {
        let latest = self.latest_read();
        let steps = match place {
            Place::Watcher { of, .. } if failed => of,
            Place::Watcher { rank, .. } => rank,
            Place::Member => return None,
            Place::Isolated => return Some(latest),
        };
        Some(READ_AGE.saturating_add(RANK_STEP * steps).min(latest))
    }

    /// The least time between the starts of two reads, of which the first failed.
    pub fn retry_interval(&self, place: Place) -> Duration {
        let rank = match place {
            Place::Watcher { rank, .. } => rank,
            Place::Member | Place::Isolated => 0,
        };
        (READ_AGE + RANK_STEP * rank).min(self.latest_read())
    }

    fn latest_read(&self) -> Duration {
        self.revoke.unwrap_or(DEFAULT_REVOKE).mul_f64(LATEST_READ)
    }

    /// The age that a daemon without a confirmation is taken to have at its start: the first in rank
    /// reads at once.
    pub fn initial_age(&self) -> Duration {
        READ_AGE
    }
}
