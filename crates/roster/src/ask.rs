//! The fallback of a daemon that receives no updates: it asks neighbours first, and then the
//! platform.

use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;
use unit::Instance;

use crate::roster::Roster;

/// How many neighbours are asked before the platform.
const NEIGHBOUR_ATTEMPTS: u32 = 3;
/// How many times the average wait between calls to the platform doubles without an answer.
const MAX_DOUBLINGS: u32 = 3;

/// Where to request updates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// From another daemon, with its summary and versions.
    Peer(Instance),
    /// From the platform.
    Platform,
}

/// The state of the fallback since the last update.
#[derive(Debug)]
pub(crate) struct Fallback {
    last_update: Instant,
    next: Option<Instant>,
    attempts: u32,
}

impl Fallback {
    pub(crate) fn new(now: Instant) -> Fallback {
        Fallback {
            last_update: now,
            next: None,
            attempts: 0,
        }
    }
}

impl Roster {
    /// Records that an update, or a message that there is none, was received: by relay, heartbeat
    /// or answer.
    pub fn update_received(&mut self, now: Instant) {
        self.fallback = Fallback::new(now);
    }

    /// Returns where to request updates now, if none has been received for too long.
    ///
    /// Three neighbours are asked first, each after a jittered wait. Then follow calls to the
    /// platform, each after a wait drawn uniformly between zero and two rounds. A round is the
    /// number of instances in the zone times
    /// [`fallback_interval`](crate::Builder::fallback_interval), and at least
    /// [`update_timeout`](crate::Builder::update_timeout). So however many daemons have lost their
    /// watchers, a zone makes about one call in each interval (5 a second). The round doubles up to
    /// three times while no answer arrives.
    pub fn fallback(&mut self, now: Instant) -> Option<Ask> {
        let timeout = self.policy.update_timeout;
        let due = match self.fallback.next {
            Some(next) => next,
            None => self.fallback.last_update + timeout + self.jitter(timeout),
        };
        self.fallback.next = Some(due);
        if now < due {
            return None;
        }
        self.fallback.attempts += 1;
        if self.fallback.attempts > NEIGHBOUR_ATTEMPTS {
            let wait = self.platform_wait();
            self.fallback.next = Some(now + wait);
            let first = self.fallback.attempts == NEIGHBOUR_ATTEMPTS + 1;
            return (!first).then_some(Ask::Platform);
        }
        self.fallback.next = Some(now + timeout / 2 + self.jitter(timeout / 2));
        self.random_neighbour().map(Ask::Peer)
    }

    /// A random wait with which the daemons of a zone together make at most one call in each
    /// interval, on average.
    fn platform_wait(&mut self) -> Duration {
        let zone = self.zone().clone();
        let size = self.peers().filter(|record| record.zone == zone).count() + 1;
        let round = self.policy.fallback_interval * u32::try_from(size).unwrap_or(u32::MAX);
        let unanswered = self
            .fallback
            .attempts
            .saturating_sub(NEIGHBOUR_ATTEMPTS + 1);
        let backed_off =
            round.max(self.policy.update_timeout) * 2u32.pow(unanswered.min(MAX_DOUBLINGS));
        // The mean wait must be one round, so it is drawn between zero and two rounds.
        self.jitter(backed_off * 2)
    }

    fn random_neighbour(&mut self) -> Option<Instance> {
        let zone = self.zone();
        let others = self.entries.values().filter(|entry| {
            let in_zone = entry.record.zone == *zone && entry.record.instance != self.me;
            in_zone && !entry.is_gone() && !entry.observation.suspect
        });
        let names: Vec<Instance> = others.map(|entry| entry.record.instance.clone()).collect();
        if names.is_empty() {
            return None;
        }
        let chosen = self.rng.random_range(0..names.len());
        names.into_iter().nth(chosen)
    }

    pub(crate) fn jitter(&mut self, max: Duration) -> Duration {
        self.rng.random_range(Duration::ZERO..=max)
    }
}
