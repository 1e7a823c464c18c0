//! What a daemon does that hears no news: it asks a neighbour, and only then the platform.

use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;
use unit::Instance;

use crate::roster::Roster;

/// How many neighbours are asked before the platform.
const NEIGHBOURS: u32 = 3;
/// How often the round of calls to the platform doubles while nothing comes of them.
const DOUBLINGS: u32 = 3;

/// Whom to ask for news.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// Another daemon, by its summary and versions.
    Peer(Instance),
    /// The platform itself.
    Platform,
}

/// How far a daemon is with asking.
#[derive(Debug)]
pub(crate) struct Asking {
    last_update: Instant,
    next: Option<Instant>,
    tries: u32,
}

impl Asking {
    pub(crate) fn new(now: Instant) -> Asking {
        Asking {
            last_update: now,
            next: None,
            tries: 0,
        }
    }
}

impl Roster {
    /// Notes that news, or word that there is none, has come: by relay, heartbeat or answer.
    pub fn update_received(&mut self, now: Instant) {
        self.asking = Asking::new(now);
    }

    /// Whom to ask now, if no news has come for too long.
    ///
    /// Three neighbours are asked first, each after a jittered wait. Then comes the platform, at
    /// a time drawn evenly from twice a round, where a round is the zone's size times
    /// [`fallback_interval`](crate::Builder::fallback_interval) and at least [`update_timeout`](crate::Builder::update_timeout). However many
    /// daemons have lost their watchers, a zone makes about one call each gap (5 a second); the
    /// round doubles three times while no answer comes.
    pub fn fallback(&mut self, now: Instant) -> Option<Ask> {
        let quiet = self.policy.update_timeout;
        let due = match self.asking.next {
            Some(next) => next,
            None => self.asking.last_update + quiet + self.jitter(quiet),
        };
        self.asking.next = Some(due);
        if now < due {
            return None;
        }
        self.asking.tries += 1;
        if self.asking.tries > NEIGHBOURS {
            let wait = self.turn();
            self.asking.next = Some(now + wait);
            let first = self.asking.tries == NEIGHBOURS + 1;
            return (!first).then_some(Ask::Platform);
        }
        self.asking.next = Some(now + quiet / 2 + self.jitter(quiet / 2));
        self.neighbour().map(Ask::Peer)
    }

    /// A wait after which the zone's daemons together make at most one call each gap, on average.
    fn turn(&mut self) -> Duration {
        let zone = self.zone().clone();
        let size = self.peers().filter(|record| record.zone == zone).count() + 1;
        let round = self.policy.fallback_interval * u32::try_from(size).unwrap_or(u32::MAX);
        let fruitless = self.asking.tries.saturating_sub(NEIGHBOURS + 1);
        let backed_off = round.max(self.policy.update_timeout) * 2u32.pow(fruitless.min(DOUBLINGS));
        // The mean wait must be a round, so we draw from none to two.
        self.jitter(backed_off * 2)
    }

    fn neighbour(&mut self) -> Option<Instance> {
        let zone = self.zone();
        let others = self.entries.values().filter(|entry| {
            let near = entry.record.zone == *zone && entry.record.instance != self.me;
            near && !entry.is_gone() && !entry.sight.suspect
        });
        let names: Vec<Instance> = others.map(|entry| entry.record.instance.clone()).collect();
        if names.is_empty() {
            return None;
        }
        let chosen = self.rng.random_range(0..names.len());
        names.into_iter().nth(chosen)
    }

    pub(crate) fn jitter(&mut self, most: Duration) -> Duration {
        self.rng.random_range(Duration::ZERO..=most)
    }
}
