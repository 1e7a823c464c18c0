//! The size to design for, and its limits.

/// Instances, each with its daemon.
pub(crate) const INSTANCES: f64 = 1_800.0;
/// Services.
pub(crate) const SERVICES: f64 = 48.0;
/// Availability zones.
pub(crate) const ZONES: f64 = 8.0;
/// Calls a second over all daemons. We take it that nested calls are counted.
pub(crate) const CALLS: f64 = 270_000.0;
/// Calls of one chain, if 270,000 counts callers' requests alone and each goes to the full depth.
pub(crate) const DEPTH: f64 = 9.0;
/// Changes of the configuration a second.
pub(crate) const CHANGES: f64 = 2_500.0 / 86_400.0;
/// Share of a core that control may take.
pub(crate) const CORE: f64 = 0.036;
/// Bytes of memory of a daemon.
pub(crate) const MEMORY: f64 = 64e6;
/// Resident bytes of a daemon's process without links: 14.4 to 15.8 MB by `VmRSS` of the three daemons
/// of `docs/operators/first-mesh.md`, less four ends of links each. A daemon inside this process would
/// take too little, since pages are there already.
pub(crate) const PROCESS: f64 = 12e6;
/// Bytes of control a second.
pub(crate) const BYTES: f64 = 9_000.0;
/// Seconds until a change is in force everywhere.
pub(crate) const FORCE: f64 = 5.0;
/// Reads a second that the platform serves.
pub(crate) const READS: f64 = 2_000.0;
/// Writes a second that we take the platform to serve ("several hundred").
pub(crate) const WRITES: f64 = 300.0;
/// Seconds in a day, the retention of claims.
pub(crate) const DAY: f64 = 86_400.0;

/// Calls a second at each daemon, as entry and as gate.
pub(crate) const RATE: f64 = CALLS / INSTANCES;
/// Instances of one service.
pub(crate) const TARGETS: f64 = INSTANCES / SERVICES;

/// Watchers in each zone.
pub(crate) const WATCHERS: f64 = 3.0;
/// Observers of an instance: four of its zone and one of each other zone.
pub(crate) const OBSERVERS: f64 = 4.0 + ZONES - 1.0;
/// Seconds between two beats to one observer.
pub(crate) const BEAT: f64 = 5.0;
/// Seconds after which an idle link closes.
pub(crate) const IDLE: f64 = 30.0;
/// Targets of other zones that an entry uses of each service.
pub(crate) const FAR: f64 = 12.0;
/// Calls begun on the store each second by one watcher: a watch on the rules each 3 s, and one on
/// the announcements each 10 s.
pub(crate) const WATCHES: f64 = 1.0 / 3.0 + 1.0 / 10.0;
