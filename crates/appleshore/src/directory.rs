//! Who listens where, as the call path reads it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use entry::Entry;
use evacuation::Zones;
use feed::peer;
use parking_lot::{Mutex, RwLock};
use roster::{Record, Shared, State};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};
use unit::{Fingerprint, Instance, Service};
use wire::Peer;

/// The least pause between two readings of the roster, and how many times longer than a reading it
/// is: readings take at most a twentieth of a core.
///
/// Each reading lists the targets of the services that have changed. One for each change would take
/// long when thousands start at once and each greets this daemon.
const PAUSE: Duration = Duration::from_millis(5);
const PAUSE_RATIO: u32 = 20;

/// Longest time after the start for which no targets are told. While the store is unreachable, those
/// that have greeted this daemon are all that it will know.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Addresses and certificates of all instances, in a form that is cheap to read on each call.
pub(crate) struct Directory {
    me: Instance,
    roster: Arc<Shared>,
    evacuations: Arc<evacuation::Shared>,
    snapshot: RwLock<Snapshot>,
    /// Those that may be asked for keys, by name: live, and heard lately. `None` since a change.
    live: Mutex<Option<Arc<Vec<Instance>>>>,
}

#[derive(Default)]
struct Snapshot {
    members: HashMap<Instance, Member>,
    names: HashMap<Fingerprint, Instance>,
    /// All services that were ever seen.
    services: BTreeSet<Service>,
    /// The zones that were evacuated when the targets were last told.
    evacuated: Zones,
}

struct Member {
    peer: Peer,
    service: Service,
}

/// An instance that has changed, and its record unless it has been forgotten.
type Change = (Instance, Option<Record>);

impl Directory {
    pub(crate) fn new(roster: Arc<Shared>, evacuations: Arc<evacuation::Shared>) -> Directory {
        Directory {
            me: roster.with(|roster| roster.me().clone()),
            roster,
            evacuations,
            snapshot: RwLock::default(),
            live: Mutex::default(),
        }
    }

    pub(crate) fn peer(&self, instance: &Instance) -> Option<Peer> {
        let found = {
            let snapshot = self.snapshot.read();
            let member = snapshot.members.get(instance);
            member.map(|member| member.peer.clone())
        };
        // One that has greeted a moment ago may not be in the snapshot yet, and calls already.
        found.or_else(|| {
            self.roster.with(|roster| {
                let record = roster.get(instance)?;
                (record.state != State::Gone).then(|| peer(record))
            })
        })
    }

    /// Who shows `fingerprint`, also if it is held for gone: a live instance that was removed by
    /// mistake must be able to say so. Work is taken only from those that [`Directory::peer`] names.
    pub(crate) fn name(&self, fingerprint: &Fingerprint) -> Option<Instance> {
        let found = self.snapshot.read().names.get(fingerprint).cloned();
        found.or_else(|| {
            self.roster
                .with(|roster| Some(roster.by_fingerprint(fingerprint)?.instance.clone()))
        })
    }

    /// The live instances of `service`.
    pub(crate) fn of(&self, service: &Service) -> Vec<Instance> {
        self.roster
            .live(service)
            .iter()
            .map(|target| target.instance.clone())
            .collect()
    }

    /// The instances that are live and not suspect, this one included.
    pub(crate) fn live(&self) -> Arc<Vec<Instance>> {
        let mut live = self.live.lock();
        let live = live.get_or_insert_with(|| {
            let services = self.snapshot.read().services.clone();
            Arc::new(heard(&self.roster, &services))
        });
        live.clone()
    }

    /// Reads what has changed whenever `stale` is told that the roster or the evacuations have, and
    /// tells `entry` and `changed`, for ever. The first change of a row is read at once.
    ///
    /// The first targets are told once `joined` is ready, or after [`MAX_HOLD`].
    pub(crate) async fn keep(
        self: Arc<Directory>,
        entry: Arc<Entry>,
        stale: Arc<Notify>,
        changed: Arc<Notify>,
        joined: impl Future<Output = ()>,
    ) {
        drop(timeout(MAX_HOLD, joined).await);
        loop {
            stale.notified().await;
            let began = Instant::now();
            self.refresh(&entry);
            changed.notify_one();
            sleep(PAUSE.max(began.elapsed() * PAUSE_RATIO)).await;
        }
    }

    /// Reads what has changed in the roster and the evacuations, and tells `entry` of the targets of
    /// the services that it concerns.
    pub(crate) fn refresh(&self, entry: &Entry) {
        let (count, changes) = self.roster.with(|roster| {
            let changed = roster.take_changed_instances().into_iter();
            let record = |name: Instance| {
                let record = roster.get(&name).cloned();
                (name, record)
            };
            let changes: Vec<Change> = changed.map(record).collect();
            (roster.peers().count() + 1, changes)
        });
        let evacuated = self.evacuations.zones();
        let mut services = BTreeSet::new();
        {
            let mut snapshot = self.snapshot.write();
            for change in changes {
                snapshot.apply(&self.me, change, &mut services);
            }
            if snapshot.evacuated != evacuated {
                snapshot.evacuated = evacuated.clone();
                services.extend(snapshot.services.iter().cloned());
            }
        }
        *self.live.lock() = None;
        entry.set_members(count);
        for service in services {
            entry.set_targets(&service, &targets(&self.roster, &service, &evacuated));
        }
    }
}

impl Snapshot {
    /// Applies a change at the daemon `me`, and adds the services that it concerns to `services`.
    fn apply(&mut self, me: &Instance, (name, record): Change, services: &mut BTreeSet<Service>) {
        if let Some(member) = self.members.remove(&name) {
            if self.names.get(&member.peer.fingerprint) == Some(&name) {
                self.names.remove(&member.peer.fingerprint);
            }
            services.insert(member.service);
        }
        let is_there = |record: &Record| record.state != State::Gone || name == *me;
        let Some(record) = record.filter(is_there) else {
            return;
        };
        let (peer, service) = (peer(&record), record.service);
        self.names.insert(peer.fingerprint, name.clone());
        self.services.insert(service.clone());
        services.insert(service.clone());
        self.members.insert(name, Member { peer, service });
    }
}

fn heard(roster: &Shared, services: &BTreeSet<Service>) -> Vec<Instance> {
    let mut live = Vec::new();
    for service in services {
        let heard = roster.live(service);
        let heard = heard.iter().filter(|target| !target.suspect);
        live.extend(heard.map(|target| target.instance.clone()));
    }
    live.sort();
    live
}

fn targets(roster: &Shared, service: &Service, evacuated: &Zones) -> Vec<pick::Target> {
    let live = roster.live(service);
    let some_heard = live.iter().any(|target| !target.suspect);
    let targets = live.iter().map(|target| pick::Target {
        instance: target.instance.clone(),
        zone: target.zone.clone(),
        region: target.region.clone(),
        incarnation: target.incarnation,
        // A suspect is passed over while others are left.
        leaving: target.suspect && some_heard,
        evacuated: evacuated.contains(&target.zone),
    });
    targets.collect()
}
