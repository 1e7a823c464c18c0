//! What claims cost: claims a write, bytes a claim, memory a key.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ledger::{Claim, Claimed, Ledger};
use serde::Serialize;
use standin::Platform;
use store::{Calls, Store};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use unit::{Digest, Rate, Token};

use super::design;
use super::slope::Slope;
use super::system::{Beside, Outcome, resident};

/// How long the platform takes for a call.
const LATENCY: Duration = Duration::from_millis(5);
/// The ledger keeps below the platform's limit by this part.
const SHARE: f64 = 0.95;
const BURST: u32 = 30;
/// Callers that ask again at once.
const CALLERS: u64 = 600;
const SECONDS: u64 = 3;
/// Seconds of the runs at a steady rate, long enough for heads to be sealed.
const STEADY: u64 = 60;
const SHARDS: [u16; 3] = [2, 16, 64];
const KEYS: [usize; 3] = [50_000, 100_000, 200_000];
/// Claims in the writes that fill a shard.
const LOT: u64 = 1_000;

/// What was measured of claims at one number of shards.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Steady {
    /// Shards.
    pub shards: u16,
    /// Claims a second that were asked for.
    pub rate: f64,
    /// Writes a second.
    pub writes: f64,
    /// Bytes written for each claim.
    pub bytes: f64,
    /// Milliseconds below which half of the claims lie, and 99 in 100.
    pub p50_ms: f64,
    /// The same for 99 in 100.
    pub p99_ms: f64,
}

/// What was measured of the ledger.
#[derive(Debug, Clone, Serialize)]
pub struct Ledgers {
    /// Claims a second through 2 shards at 300 writes a second, 600 callers that ask again at once.
    pub most: f64,
    /// Writes a second meanwhile.
    pub writes: f64,
    /// At the rate that the default of keys lets through in 24 hours.
    pub steady: Vec<Steady>,
    /// Bytes of memory of an owner that has read a shard.
    pub keys: Slope,
    /// Bytes in the store.
    pub stored: Slope,
}

/// Claims a second that 2 shards of 2 million keys keep for a day.
pub(crate) const KEPT: f64 = 2.0 * 2_000_000.0 / design::DAY;

/// What a new owner holds, by the keys of its shard.
#[derive(Debug)]
pub(crate) struct Takeover {
    memory: Slope,
    stored: Slope,
}

/// Measures the memory of owners, before anything else runs.
pub(crate) fn owners() -> Outcome<Takeover> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build()?.block_on(async {
        let (mut memory, mut stored) = (Vec::new(), Vec::new());
        for size in KEYS {
            let (held, bytes) = takeover(size).await?;
            memory.push((size, held));
            stored.push((size, bytes));
        }
        Ok(Takeover {
            memory: Slope::of("owner, bytes of memory", "keys", &memory),
            stored: Slope::of("claims in the store, bytes", "keys", &stored),
        })
    })
}

/// Runs that go on beside others.
pub(crate) struct Running {
    most: Beside<(f64, f64)>,
    steady: Vec<Beside<Steady>>,
}

/// Starts the runs whose time is the platform's.
pub(crate) fn start() -> Running {
    let steady =
        SHARDS.map(|shards| Beside::start(move || async move { Ok(at(shards, KEPT).await) }));
    Running {
        most: Beside::start(|| async { Ok(most().await) }),
        steady: steady.into(),
    }
}

impl Running {
    /// Waits for all, and adds what was measured before.
    pub(crate) fn end(self, takeover: Takeover) -> Outcome<Ledgers> {
        let (most, writes) = self.most.end()?;
        let steady = self.steady.into_iter().map(Beside::end);
        Ok(Ledgers {
            most,
            writes,
            steady: steady.collect::<Outcome<Vec<_>>>()?,
            keys: takeover.memory,
            stored: takeover.stored,
        })
    }
}

fn claim(number: u64) -> Option<Claim> {
    let caller = format!("desk-{}@clinic-{}", number % 7, number % 40);
    Some(Claim {
        key: Digest::of(&number.to_le_bytes()),
        body: Digest::of(b"body"),
        caller: caller.parse().ok()?,
        token: Token(u128::from(number)),
        entry: format!("vault-desk-{}", number % 5).parse().ok()?,
        deadline: Instant::now() + Duration::from_secs(10),
        rule: "destroy".to_string(),
    })
}

async fn granted(ledger: &Ledger, number: u64) -> bool {
    let Some(claim) = claim(number) else {
        return false;
    };
    ledger.claim(claim).await == Ok(Claimed::Granted)
}

fn limited() -> Platform {
    let platform = Platform::builder().latency(LATENCY).open();
    platform
        .fault()
        .limit_writes(Rate::of(design::WRITES), BURST);
    platform
}

/// Claims and writes a second of callers that ask again at once.
async fn most() -> (f64, f64) {
    let platform = limited();
    let writes = Rate::of(design::WRITES * SHARE);
    let ledger = Ledger::builder(platform.store()).writes(writes).open();
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let ledger = ledger.clone();
        callers.spawn(async move {
            let (mut number, mut count) = (caller << 40, 0);
            while Instant::now() < until {
                number += 1;
                count += u64::from(granted(&ledger, number).await);
            }
            count
        });
    }
    let count: u64 = callers.join_all().await.into_iter().sum();
    let seconds = SECONDS as f64;
    let writes = platform.count().writes() as f64;
    (count as f64 / seconds, writes / seconds)
}

/// Claims that come evenly, one after the other, whatever the ledger does.
async fn at(shards: u16, rate: f64) -> Steady {
    let platform = limited();
    let bytes = Arc::new(AtomicU64::new(0));
    let store = counted(platform.store(), bytes.clone());
    let writes = Rate::of(design::WRITES * SHARE);
    let ledger = Ledger::builder(store).writes(writes).shards(shards).open();
    for number in 0..1_000 {
        granted(&ledger, number).await;
    }
    let before = platform.count().writes();
    bytes.store(0, Ordering::Relaxed);
    let count = (rate * STEADY as f64) as u64;
    let gap = Duration::from_secs_f64(1.0 / rate);
    let mut claims = JoinSet::new();
    for number in 0..count {
        sleep(gap).await;
        let ledger = ledger.clone();
        claims.spawn(async move {
            let start = Instant::now();
            granted(&ledger, (1 << 50) + number).await;
            start.elapsed()
        });
    }
    let mut times = claims.join_all().await;
    times.sort();
    let quantile = |share: f64| times[(times.len() as f64 * share) as usize].as_secs_f64() * 1e3;
    Steady {
        shards,
        rate,
        writes: (platform.count().writes() - before) as f64 / STEADY as f64,
        bytes: bytes.load(Ordering::Relaxed) as f64 / count as f64,
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
    }
}

/// Memory of an owner that reads a shard of so many keys, and the bytes of these in the store.
async fn takeover(keys: usize) -> Outcome<(f64, f64)> {
    let platform = Platform::builder().latency(LATENCY).open();
    let builder = Ledger::builder(platform.store())
        .shards(1)
        .writes(Rate::of(1e6));
    let filler = builder.clone().open();
    for lot in 0..keys as u64 / LOT {
        let mut calls = JoinSet::new();
        for place in 0..LOT {
            let filler = filler.clone();
            calls.spawn(async move { granted(&filler, lot * LOT + place).await });
        }
        if !calls.join_all().await.into_iter().all(|granted| granted) {
            return Err("capacity: a claim was not granted".into());
        }
    }
    let listed = platform.store().list("ledger/seg/").await?;
    let bytes: usize = listed.objects.iter().map(|object| object.value.len()).sum();
    drop(listed);
    let before = resident()?;
    let owner = builder.open();
    if !granted(&owner, u64::MAX).await {
        return Err("capacity: the new owner did not grant".into());
    }
    let memory = resident()? - before;
    // Kept for good, so that the next size finds no freed pages.
    std::mem::forget((owner, filler, platform));
    Ok((memory.max(0.0), bytes as f64))
}

/// A store that adds up the bytes of its writes.
fn counted(store: Store, bytes: Arc<AtomicU64>) -> Store {
    let [get, put, delete, list] = [(); 4].map(|()| store.clone());
    Store::from(Calls {
        get: Box::new(move |key, _| {
            let store = get.clone();
            Box::pin(async move { store.get(&key).await })
        }),
        put: Box::new(move |key, value, when| {
            bytes.fetch_add(value.len() as u64, Ordering::Relaxed);
            let store = put.clone();
            Box::pin(async move { store.put(&key, value, when).await })
        }),
        delete: Box::new(move |key, when| {
            let store = delete.clone();
            Box::pin(async move { store.delete(&key, when).await })
        }),
        list: Box::new(move |prefix, _| {
            let store = list.clone();
            Box::pin(async move { store.list(&prefix).await })
        }),
        watch: Box::new(move |prefix, since, wait| {
            let store = store.clone();
            Box::pin(async move { store.watch(&prefix, since, wait).await })
        }),
    })
}
