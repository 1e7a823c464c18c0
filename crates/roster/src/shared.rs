//! A roster shared by threads, with a cheap way to read targets.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::{Mutex, RwLock};
use tokio::time::Instant;
use unit::{Instance, Service, Version};

use crate::rank;
use crate::roster::Roster;
use crate::target::Target;

/// How many shards the snapshots and the last hearings are spread over.
const SHARDS: usize = 16;

type Views = RwLock<BTreeMap<Service, Arc<[Target]>>>;
type Hearings = Mutex<BTreeMap<Instance, Instant>>;

/// A roster behind locks.
///
/// Entries read targets on every call, and every answer is a sign of life. Neither takes the
/// roster's own lock, under which a listing of 1,800 records may be merged: targets are read from
/// a snapshot that is swapped when the service's targets change, and signs of life are noted in a
/// shard and taken over by the next [`Shared::with`].
#[derive(Debug)]
pub struct Shared {
    roster: Mutex<Roster>,
    views: [Views; SHARDS],
    hearings: [Hearings; SHARDS],
    version: AtomicU64,
}

fn shard(name: &str) -> usize {
    (rank::key(name) % SHARDS as u64) as usize
}

impl Shared {
    /// Shares a roster.
    pub fn new(roster: Roster) -> Shared {
        let shared = Shared {
            roster: Mutex::new(roster),
            views: Default::default(),
            hearings: Default::default(),
            version: AtomicU64::new(0),
        };
        shared.with(|_| ());
        shared
    }

    /// Runs `job` on the roster under its lock, then publishes what has changed.
    ///
    /// The job must be short: it does no I/O and holds no other lock.
    pub fn with<T>(&self, job: impl FnOnce(&mut Roster) -> T) -> T {
        let mut roster = self.roster.lock();
        self.take_hearings(&mut roster);
        let result = job(&mut roster);
        self.publish(&mut roster);
        result
    }

    /// The instances of a service that take new work, as last published.
    pub fn live(&self, service: &Service) -> Arc<[Target]> {
        let views = self.views[shard(service.as_str())].read();
        views.get(service).cloned().unwrap_or_default()
    }

    /// Notes that something came from `instance`.
    ///
    /// A suspect is cleared by the next [`Shared::with`], at the latest by the next review.
    pub fn mark_seen(&self, now: Instant, instance: &Instance) {
        let mut hearings = self.hearings[shard(instance.as_str())].lock();
        match hearings.get_mut(instance) {
            Some(at) => *at = now.max(*at),
            None => {
                hearings.insert(instance.clone(), now);
            }
        }
    }

    /// The roster's version as last published.
    pub fn version(&self) -> Version {
        Version::of(self.version.load(Ordering::Acquire))
    }

    fn take_hearings(&self, roster: &mut Roster) {
        for hearings in &self.hearings {
            let taken = std::mem::take(&mut *hearings.lock());
            for (instance, at) in taken {
                roster.mark_seen(at, &instance);
            }
        }
    }

    fn publish(&self, roster: &mut Roster) {
        for service in roster.take_changed_services() {
            let targets: Arc<[Target]> = roster.live(&service).into();
            let mut views = self.views[shard(service.as_str())].write();
            views.insert(service, targets);
        }
        self.version
            .store(roster.version().revision, Ordering::Release);
    }
}
