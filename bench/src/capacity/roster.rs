//! What the roster costs as instances grow: memory, bytes, and the time of its periodic work.

use std::collections::BTreeMap;

use roster::{Policy, Record, Roster, Shared, State};
use serde::Serialize;
use tokio::time::Instant;
use unit::{Digest, Fingerprint, Incarnation, Version};

use super::slope::Slope;
use super::system::{Outcome, grown, shortest};

const SIZES: [usize; 3] = [100, 450, 1_800];
const ZONES: usize = 8;
const SERVICES: usize = 48;
/// Rosters held at once, so that the kernel's pages don't blur the memory of one.
const COPIES: usize = 20;
const ROUNDS: usize = 30;

/// What was measured of the roster. Times are in microseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Rosters {
    /// Bytes of memory, with snapshots.
    pub memory: Slope,
    /// Bytes of the platform's listing.
    pub listing_bytes: Slope,
    /// One review without a change.
    pub review: Slope,
    /// A review after an instance came or went.
    pub change: Slope,
    /// Whether this daemon is a watcher.
    pub watcher: Slope,
    /// Whom to beat to.
    pub observers: Slope,
    /// Whom to pass news on to.
    pub relay: Slope,
    /// Merging a listing.
    pub listing: Slope,
    /// Reading a service's targets from the snapshot.
    pub read_us: f64,
    /// The most instances that one daemon observes.
    pub observed: usize,
    /// Bytes exchanged by two daemons that differ in one record.
    pub repair_bytes: usize,
}

/// The announcement of the instance of a number.
pub(crate) fn record(number: usize) -> Outcome<Record> {
    let name = format!("reservations-{number:04}.qc-east");
    let mut fingerprint = [0; 32];
    fingerprint[..16].copy_from_slice(&Digest::of(name.as_bytes()).0.to_le_bytes());
    Ok(Record {
        instance: name.parse()?,
        incarnation: Incarnation(1_790_000_000_000 + number as u64),
        state: State::Live,
        zone: format!("zone-{}", number % ZONES).parse()?,
        region: format!("region-{}", number % ZONES / 3),
        service: format!("service-{}", number % SERVICES).parse()?,
        link: ([127, 77, (number / 250) as u8, (number % 250) as u8], 9).into(),
        fingerprint: Fingerprint(fingerprint),
    })
}

fn records(size: usize) -> Outcome<Vec<Record>> {
    (0..size).map(record).collect()
}

fn filled(now: Instant, records: &[Record]) -> Roster {
    let mut roster = Roster::new(now, records[0].clone(), Policy::default(), 1);
    for record in records {
        roster.merge(now, record.clone());
    }
    roster.review(now);
    roster
}

/// Measures rosters of three sizes.
pub(crate) fn measure() -> Outcome<Rosters> {
    let memory = SIZES.map(|size| Ok((size, memory(size)?)));
    let memory = memory.into_iter().collect::<Outcome<Vec<_>>>()?;
    let mut times: [Vec<(usize, f64)>; 6] = Default::default();
    let mut bytes = Vec::new();
    let mut read_us = 0.0;
    for size in SIZES {
        let records = records(size)?;
        bytes.push((size, listing_bytes(&records)));
        let held = filled(Instant::now(), &records);
        let shared = Shared::new(held);
        for (series, us) in times.iter_mut().zip(work(&shared, &records)) {
            series.push((size, us));
        }
        let reads = || (0..1_000).for_each(|_| drop(shared.live(&records[0].service)));
        read_us = shortest(ROUNDS, reads) / 1_000.0;
    }
    let line = |what: &str, series: &Vec<(usize, f64)>| Slope::of(what, "instances", series);
    let largest = records(SIZES[2])?;
    Ok(Rosters {
        memory: line("roster, bytes of memory", &memory),
        listing_bytes: line("platform's listing, bytes", &bytes),
        review: line("review, us", &times[0]),
        change: line("review after a change, us", &times[1]),
        watcher: line("watcher or not, us", &times[2]),
        observers: line("whom to beat to, us", &times[3]),
        relay: line("whom to relay to, us", &times[4]),
        listing: line("merge of a listing, us", &times[5]),
        read_us,
        observed: observed(&largest),
        repair_bytes: repair(&largest)?,
    })
}

fn memory(size: usize) -> Outcome<f64> {
    let records = records(size)?;
    let now = Instant::now();
    let make = || {
        (0..COPIES)
            .map(|_| Shared::new(filled(now, &records)))
            .collect::<Vec<_>>()
    };
    let (made, bytes) = grown(make)?;
    // Kept for good: pages that were freed would serve the next size, and hide its memory.
    std::mem::forget(made);
    Ok(bytes / COPIES as f64)
}

fn listing_bytes(records: &[Record]) -> f64 {
    let json = records.iter().filter_map(|r| serde_json::to_vec(r).ok());
    json.map(|json| json.len() as f64).sum()
}

/// Times of the work that recurs: review, review after a change, watcher, observers, relay, listing.
fn work(shared: &Shared, records: &[Record]) -> [f64; 6] {
    let now = Instant::now();
    let mut life = 1_800_000_000_000;
    let last = records[records.len() - 1].clone();
    let mut change = || {
        life += 1;
        let mut next = last.clone();
        next.incarnation = Incarnation(life);
        next.state = [State::Live, State::Gone][(life % 2) as usize];
        shared.with(|roster| {
            roster.merge(now, next);
            roster.review(now)
        })
    };
    let changed = shortest(ROUNDS, &mut change);
    let version = Version::of(u64::MAX / 2);
    let me = &records[0].instance;
    [
        shortest(ROUNDS, || shared.with(|roster| roster.review(now))),
        changed,
        shortest(ROUNDS, || shared.with(|roster| roster.is_watcher())),
        shortest(ROUNDS, || {
            shared.with(|roster| roster.heartbeat_receivers())
        }),
        shortest(ROUNDS, || {
            shared.with(|roster| roster.relay_children(7, me))
        }),
        shortest(ROUNDS, || {
            shared.with(|roster| roster.apply_listing(now, records, version))
        }),
    ]
}

/// The most instances that one daemon of the fleet observes.
fn observed(records: &[Record]) -> usize {
    let roster = filled(Instant::now(), records);
    let mut counts = BTreeMap::new();
    for record in records {
        for observer in roster.observers(&record.instance) {
            *counts.entry(observer).or_insert(0) += 1;
        }
    }
    counts.values().max().copied().unwrap_or(0)
}

/// Summary, bucket and reply of two rosters that differ in one record.
fn repair(records: &[Record]) -> Outcome<usize> {
    let now = Instant::now();
    let mut ours = filled(now, records);
    let theirs = filled(now, &records[..records.len() - 1]);
    let mut bytes = wire::codec::pack(ours.summary())?.len();
    for bucket in theirs.differing_buckets(ours.summary()) {
        let page = theirs.bucket(bucket);
        bytes += wire::codec::pack(&page)?.len();
        bytes += wire::codec::pack(&ours.exchange(now, bucket, page).reply)?.len();
    }
    Ok(bytes)
}
