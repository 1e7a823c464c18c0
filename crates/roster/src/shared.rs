//! A roster shared between threads, with cheap reads of targets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::{Mutex, RwLock};
use tokio::time::Instant;
use unit::{Instance, Service, Version};

use crate::rank;
use crate::roster::Roster;
use crate::target::Target;

/// How many shards the snapshots and sightings are divided into.
const SHARDS: usize = 16;

type Snapshots = RwLock<BTreeMap<Service, Arc<[Target]>>>;
type Sightings = Mutex<BTreeMap<Instance, Instant>>;

/// A roster behind locks.
///
/// Call paths read targets on every call, and every answer shows that its sender is alive. Neither
/// takes the roster's own lock, under which a listing of 1,800 records may be merged: targets are
/// read from a snapshot, which the first reader after a change of the service's targets replaces, and
/// sightings are stored in a shard and applied to the roster by the next [`Shared::with`].
#[derive(Debug)]
pub struct Shared {
    roster: Mutex<Roster>,
    snapshots: [Snapshots; SHARDS],
    sightings: [Sightings; SHARDS],
    /// The services whose snapshots are older than the roster.
    outdated: Mutex<BTreeSet<Service>>,
    version: AtomicU64,
}

fn shard(name: &str) -> usize {
    (rank::key(name) % SHARDS as u64) as usize
}

impl Shared {
    /// Wraps a roster and publishes its first snapshots.
    pub fn new(roster: Roster) -> Shared {
        let shared = Shared {
            roster: Mutex::new(roster),
            snapshots: Default::default(),
            sightings: Default::default(),
            outdated: Mutex::default(),
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
        self.apply_sightings(&mut roster);
        let result = job(&mut roster);
        self.publish(&mut roster);
        result
    }

    /// The live instances of a service.
    pub fn live(&self, service: &Service) -> Arc<[Target]> {
        if self.outdated.lock().remove(service) {
            // Under the roster's lock no reader can overwrite a newer snapshot with an older one.
            let roster = self.roster.lock();
            let targets: Arc<[Target]> = roster.live(service).into();
            let mut snapshots = self.snapshots[shard(service.as_str())].write();
            snapshots.insert(service.clone(), targets);
        }
        let snapshots = self.snapshots[shard(service.as_str())].read();
        snapshots.get(service).cloned().unwrap_or_default()
    }

    /// Records that something was received from `instance`.
    ///
    /// A suspect is cleared by the next [`Shared::with`], at the latest by the next review.
    pub fn mark_seen(&self, now: Instant, instance: &Instance) {
        let mut sightings = self.sightings[shard(instance.as_str())].lock();
        match sightings.get_mut(instance) {
            Some(at) => *at = now.max(*at),
            None => {
                sightings.insert(instance.clone(), now);
            }
        }
    }

    /// The roster's version as last published.
    pub fn version(&self) -> Version {
        Version::of(self.version.load(Ordering::Acquire))
    }

    fn apply_sightings(&self, roster: &mut Roster) {
        for sightings in &self.sightings {
            let taken = std::mem::take(&mut *sightings.lock());
            for (instance, at) in taken {
                roster.mark_seen(at, &instance);
            }
        }
    }

    fn publish(&self, roster: &mut Roster) {
        let changed = roster.take_changed_services();
        if !changed.is_empty() {
            self.outdated.lock().extend(changed);
        }
        self.version
            .store(roster.version().revision, Ordering::Release);
    }
}
