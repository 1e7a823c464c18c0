//! Measures a roster at 100, 450 and 1,800 instances: bytes, memory and time.
//!
//! `cargo run --release -p roster --example size`

use std::hint::black_box;
use std::time::Duration;

use roster::{Policy, Record, Roster, Shared, State, heartbeat};
use tokio::time::Instant;
use unit::{Fingerprint, Incarnation, Version};

const SIZES: [usize; 3] = [100, 450, 1_800];
const ZONES: usize = 8;
const SERVICES: usize = 48;
/// Rosters held at once, so that rounding to whole memory pages doesn't distort the size of one.
const COPIES: usize = 40;
const ROUNDS: usize = 20;

fn record(number: usize) -> Record {
    let name = format!("reservations-{number:04}.qc-east");
    let mut fingerprint = [0; 32];
    fingerprint[..16].copy_from_slice(&unit::Digest::of(name.as_bytes()).0.to_le_bytes());
    Record {
        instance: name.parse().expect("valid name"),
        incarnation: Incarnation(1_790_000_000_000 + number as u64),
        state: State::Live,
        zone: format!("zone-{}", number % ZONES)
            .parse()
            .expect("valid zone"),
        region: format!("region-{}", number % ZONES / 3),
        service: format!("service-{}", number % SERVICES)
            .parse()
            .expect("valid service"),
        link: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000).into(),
        fingerprint: Fingerprint(fingerprint),
    }
}

fn roster(now: Instant, records: &[Record]) -> Roster {
    let mut roster = Roster::new(now, records[0].clone(), Policy::default(), 1);
    for record in records {
        roster.merge(now, record.clone());
    }
    roster.review(now);
    roster
}

/// Resident bytes of this process, from Linux's count of pages of 4,096 bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4_096
}

/// The shortest of several runs of `job`.
fn time<T>(mut job: impl FnMut() -> T) -> Duration {
    let run = |_| {
        let start = std::time::Instant::now();
        black_box(job());
        start.elapsed()
    };
    (0..ROUNDS).map(run).min().unwrap_or_default()
}

fn encoded<T: serde::Serialize>(value: &T) -> usize {
    postcard::to_allocvec(value).map_or(0, |bytes| bytes.len())
}

fn memory(size: usize) -> usize {
    let records: Vec<Record> = (0..size).map(record).collect();
    let now = Instant::now();
    let before = resident();
    let rosters: Vec<Shared> = (0..COPIES)
        .map(|_| Shared::new(roster(now, &records)))
        .collect();
    let after = resident();
    // Leaked on purpose: freed pages would be reused for the next size and hide its memory.
    std::mem::forget(rosters);
    after.saturating_sub(before) / COPIES
}

fn times(size: usize) {
    let records: Vec<Record> = (0..size).map(record).collect();
    let now = Instant::now();
    let fresh = time(|| {
        let mut roster = Roster::new(now, records[0].clone(), Policy::default(), 1);
        for record in &records {
            roster.merge(now, record.clone());
        }
    });
    let mut held = roster(now, &records);
    let old = time(|| {
        for record in &records {
            held.merge(now, record.clone());
        }
    });
    let unchanged = time(|| held.review(now));
    let mut incarnation = 1_800_000_000_000;
    let member = time(|| {
        incarnation += 1;
        let mut next = records[size - 1].clone();
        next.incarnation = Incarnation(incarnation);
        next.state = if incarnation % 2 == 0 {
            State::Live
        } else {
            State::Gone
        };
        held.merge(now, next);
        held.review(now)
    });
    let relay = time(|| held.relay_children(7, &records[0].instance));
    let listing = time(|| held.apply_listing(now, &records, Version::of(incarnation)));
    let scan = time(|| held.live(&records[0].service));
    let shared = Shared::new(held);
    let view = time(|| {
        for _ in 0..1_000 {
            black_box(shared.live(&records[0].service));
        }
    });
    let heard = time(|| {
        for _ in 0..1_000 {
            shared.mark_seen(now, &records[1].instance);
        }
    });
    println!(
        "{size:5} instances: merge new {:?}, old {:?}; review {unchanged:?}, after a change {member:?}",
        fresh / size as u32,
        old / size as u32,
    );
    println!(
        "      relay {relay:?}; listing {listing:?}; live by scan {scan:?}, by snapshot {:?}; heard {:?}",
        view / 1_000,
        heard / 1_000,
    );
}

fn bytes(size: usize) {
    let records: Vec<Record> = (0..size).map(record).collect();
    let now = Instant::now();
    let mut ours = roster(now, &records);
    let theirs = roster(now, &records[..size - 1]);
    let json = serde_json::to_string(&records[0]).map_or(0, |text| text.len());
    let summary = encoded(ours.summary());
    let missing = theirs.differing_buckets(ours.summary());
    let sent: Vec<Record> = missing
        .iter()
        .flat_map(|bucket| theirs.bucket(*bucket))
        .collect();
    let back: Vec<Record> = missing
        .iter()
        .flat_map(|bucket| ours.exchange(now, *bucket, theirs.bucket(*bucket)).reply)
        .collect();
    println!(
        "{size:5} instances: record {} bytes ({json} as JSON); all {}; one differs: summary {summary}, \
         buckets {} with {} bytes, reply {} bytes",
        encoded(&records[0]),
        encoded(&records),
        missing.len(),
        encoded(&sent),
        encoded(&back),
    );
    let beat = encoded(&ours.heartbeat(Version::of(2_500), None, 0));
    let dump = ours.dump(now);
    let cost = heartbeat::cost(
        Policy::default().heartbeat_interval(),
        dump.beats.len(),
        dump.subjects.len(),
    );
    println!(
        "      heartbeat payload {beat} bytes; {} out, {} in a period: {:.0} bytes/s",
        dump.beats.len(),
        dump.subjects.len(),
        cost.bytes.per_second(),
    );
}

/// The largest number of instances that any daemon observes.
fn max_observed(size: usize) {
    let records: Vec<Record> = (0..size).map(record).collect();
    let roster = roster(Instant::now(), &records);
    let mut counts = std::collections::BTreeMap::new();
    for record in &records {
        for observer in roster.observers(&record.instance) {
            *counts.entry(observer).or_insert(0) += 1;
        }
    }
    let most = counts.values().max().copied().unwrap_or(0);
    let cost = heartbeat::cost(Policy::default().heartbeat_interval(), 11, most);
    println!(
        "{size:5} instances: the busiest daemon observes {most}: {:.0} bytes/s of heartbeats",
        cost.bytes.per_second()
    );
}

/// Prints how many instances of a zone a message misses if half of the daemons don't know that one
/// has gone.
fn differing() {
    let records: Vec<Record> = (0..1_800).step_by(ZONES).map(record).collect();
    let now = Instant::now();
    let full = roster(now, &records);
    let mut missed = 0;
    for round in 0..50 {
        let mut less = roster(now, &records);
        let mut gone = records[round * 4 + 1].clone();
        gone.state = State::Gone;
        less.merge(now, gone);
        let mut queue = full.watchers(&records[0].zone, full.policy().watchers());
        let mut seen = std::collections::BTreeSet::new();
        while let Some(name) = queue.pop() {
            if seen.insert(name.clone()) {
                let half = unit::Digest::of(name.as_str().as_bytes())
                    .0
                    .is_multiple_of(2);
                let view = if half { &full } else { &less };
                queue.extend(view.relay_children(round as u64, &name));
            }
        }
        missed += records.len() - seen.len();
    }
    println!(
        "differing rosters: {missed} of 50 x {} missed",
        records.len()
    );
}

fn main() {
    // Memory is measured first, before other work leaves freed pages behind.
    for size in SIZES {
        let bytes = memory(size);
        println!(
            "{size:5} instances: {bytes} bytes resident, {} each",
            bytes / size
        );
    }
    SIZES.into_iter().for_each(bytes);
    SIZES.into_iter().for_each(times);
    SIZES.into_iter().for_each(max_observed);
    differing();
}
