//! Measures the ledger on an in-memory platform: claims per second, the latency of a claim, and how
//! long a new owner takes to read a shard.
//!
//! ```text
//! cargo run --release -p ledger --example claims -- rate --real
//! cargo run --release -p ledger --example claims -- delay
//! cargo run --release -p ledger --example claims -- takeover
//! ```
//!
//! Without `--real`, the runtime's clock is paused and advances only when all tasks wait. The results
//! then show the effect of the batching policy alone, and do not depend on the load of the machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use clap::{Parser, Subcommand};
use hdrhistogram::Histogram;
use ledger::{Builder, Claim, Claimed, Ledger};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use standin::Platform;
use store::{Calls, Store};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use unit::{Digest, Rate, Size, Span, Token};

/// Measures the ledger on an in-memory platform.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    mode: Mode,
    /// Latency of each call to the store.
    #[arg(long, default_value = "5ms", global = true)]
    latency: Span,
    /// Rate of writes above which the platform refuses them.
    #[arg(long, default_value = "300/s", global = true)]
    writes: Rate,
    /// Number of shards of the ledger.
    #[arg(long, default_value_t = 2, global = true)]
    shards: u16,
    /// Size at which the claims of a head are sealed into a segment.
    #[arg(long, default_value = "32KB", global = true)]
    roll: Size,
    /// Duration of each measurement in seconds; each prints one line.
    #[arg(long, default_value_t = 5, global = true)]
    seconds: u64,
    /// Runs on the real clock, with several threads.
    #[arg(long, global = true)]
    real: bool,
    /// Seed of the random arrivals.
    #[arg(long, default_value_t = 1, global = true)]
    seed: u64,
}

#[derive(Debug, Clone, Copy, Subcommand)]
enum Mode {
    /// Claims per second of a closed loop of callers, with and without batching.
    Rate,
    /// Latency of claims that arrive at random, at several rates.
    Delay,
    /// Latency of the first claim at a new owner, which must read the shard first.
    Takeover,
}

/// The part of the platform's write limit that the ledger uses.
const WRITE_SHARE: f64 = 0.95;

/// Number of writes that the platform accepts in a burst.
const WRITE_BURST: u32 = 30;

/// Number of concurrent callers in the closed loop.
const CALLERS: u64 = 600;

struct Setup {
    platform: Platform,
    /// Bytes written to the store.
    bytes: Arc<AtomicU64>,
    /// Number of writes before the measurement.
    writes_before: AtomicU64,
}

impl Setup {
    fn new(arguments: &Arguments) -> Setup {
        let platform = Platform::builder().latency(arguments.latency.0).open();
        platform.fault().limit_writes(arguments.writes, WRITE_BURST);
        Setup {
            platform,
            bytes: Arc::default(),
            writes_before: AtomicU64::new(0),
        }
    }

    /// Starts the measurement: writes up to now are not counted.
    fn begin(&self) {
        let writes = self.platform.count().writes();
        self.writes_before.store(writes, Ordering::Relaxed);
        self.bytes.store(0, Ordering::Relaxed);
    }

    fn ledger(&self, arguments: &Arguments) -> Builder {
        let share = Rate::of(arguments.writes.per_second() * WRITE_SHARE);
        let store = count_bytes(self.platform.store(), self.bytes.clone());
        Ledger::builder(store)
            .shards(arguments.shards)
            .segment_size(arguments.roll)
            .writes(share)
    }
}

/// A store that adds the size of each write to `bytes`.
fn count_bytes(store: Store, bytes: Arc<AtomicU64>) -> Store {
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

fn claim(number: u64) -> Claim {
    let caller = format!("desk-{}@clinic-{}", number % 7, number % 40);
    let entry = format!("vault-desk-{}", number % 5);
    Claim {
        key: Digest::of(&number.to_le_bytes()),
        body: Digest::of(b"body"),
        caller: caller.parse().expect("a valid caller"),
        token: Token(u128::from(number)),
        entry: entry.parse().expect("a valid instance"),
        deadline: Instant::now() + Duration::from_secs(10),
        rule: "destroy".to_string(),
    }
}

/// The results of one measurement.
struct Results {
    granted: u64,
    failed: u64,
    /// Latencies of the granted claims in microseconds.
    latencies: Histogram<u64>,
}

impl Results {
    fn new() -> Results {
        let latencies = Histogram::new(3).expect("three is a valid precision");
        Results {
            granted: 0,
            failed: 0,
            latencies,
        }
    }

    fn add(&mut self, granted: bool, latency: Duration) {
        if granted {
            self.granted += 1;
            self.latencies
                .record(latency.as_micros() as u64)
                .expect("the histogram resizes itself");
        } else {
            self.failed += 1;
        }
    }

    /// The latency in milliseconds at the quantile `q`, from 0 to 1.
    fn quantile(&self, q: f64) -> f64 {
        self.latencies.value_at_quantile(q) as f64 / 1_000.0
    }
}

/// Claims a key; returns whether the claim was granted, and its latency.
async fn claim_once(ledger: &Ledger, number: u64) -> (bool, Duration) {
    let start = Instant::now();
    let claimed = ledger.claim(claim(number)).await;
    (claimed == Ok(Claimed::Granted), start.elapsed())
}

/// Runs callers that each send the next claim as soon as the previous one is granted,
/// and 50 ms after one that is not.
async fn closed_loop(ledger: &Ledger, span: Duration) -> Results {
    let until = Instant::now() + span;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let ledger = ledger.clone();
        callers.spawn(async move {
            let mut results = Results::new();
            let mut number = caller << 40;
            while Instant::now() < until {
                number += 1;
                let (granted, latency) = claim_once(&ledger, number).await;
                results.add(granted, latency);
                if !granted {
                    sleep(Duration::from_millis(50)).await;
                }
            }
            results
        });
    }
    let mut all = Results::new();
    while let Some(results) = callers.join_next().await {
        let results = results.expect("the caller completes");
        all.granted += results.granted;
        all.failed += results.failed;
        all.latencies
            .add(&results.latencies)
            .expect("the precisions are equal");
    }
    all
}

/// Sends claims with random arrivals at `rate` per second, independent of the answers.
async fn open_loop(ledger: &Ledger, rate: f64, span: Duration, seed: u64) -> Results {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut at = Instant::now();
    let until = at + span;
    let mut calls = JoinSet::new();
    let mut number = 1 << 50;
    while at < until {
        let gap = -(1.0 - random.random::<f64>()).ln() / rate;
        at += Duration::from_secs_f64(gap);
        sleep_until(at).await;
        number += 1;
        let ledger = ledger.clone();
        calls.spawn(async move { claim_once(&ledger, number).await });
    }
    let mut results = Results::new();
    while let Some(call) = calls.join_next().await {
        let (granted, latency) = call.expect("the call completes");
        results.add(granted, latency);
    }
    results
}

fn print(name: &str, setup: &Setup, results: &Results, span: Duration, latency: Duration) {
    let seconds = span.as_secs_f64();
    let count = setup.platform.count();
    let writes = count.writes() - setup.writes_before.load(Ordering::Relaxed);
    let round_trip_ms = latency.as_secs_f64() * 1_000.0;
    let (p50, p99) = (results.quantile(0.5), results.quantile(0.99));
    println!(
        "{name:<22} {:>8.0} claims/s  {:>4.0} writes/s  {:>3} refused  {:>6} failed  {:>6.0} KB/s  \
         p50 {p50:>6.1} ms ({:.1} trips)  p99 {p99:>6.1} ms ({:.1} trips)",
        results.granted as f64 / seconds,
        writes as f64 / seconds,
        count.refused,
        results.failed,
        setup.bytes.load(Ordering::Relaxed) as f64 / seconds / 1_000.0,
        p50 / round_trip_ms,
        p99 / round_trip_ms,
    );
}

async fn rate(arguments: &Arguments) {
    let span = Duration::from_secs(arguments.seconds);
    for (name, batch) in [("grouped", 1_000), ("one claim a write", 1)] {
        let setup = Setup::new(arguments);
        let ledger = setup.ledger(arguments).batch(batch).open();
        let results = closed_loop(&ledger, span).await;
        print(name, &setup, &results, span, arguments.latency.0);
    }
}

async fn delay(arguments: &Arguments) {
    let span = Duration::from_secs(arguments.seconds);
    for rate in [20.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0] {
        let setup = Setup::new(arguments);
        let ledger = setup.ledger(arguments).open();
        // The first claims read the layout and the heads, which `takeover` measures.
        for number in 0..64 {
            claim_once(&ledger, number).await;
        }
        setup.begin();
        let results = open_loop(&ledger, rate, span, arguments.seed).await;
        let name = format!("{rate:.0} arrivals/s");
        print(&name, &setup, &results, span, arguments.latency.0);
    }
}

async fn takeover(arguments: &Arguments) {
    for keys in [1_000, 10_000, 100_000, 400_000] {
        let setup = Setup::new(arguments);
        setup.platform.fault().no_limits();
        let builder = setup.ledger(arguments).shards(1);
        fill(builder.clone(), keys).await;
        let before = setup.platform.count();
        let ledger = builder.open();
        let (granted, latency) = claim_once(&ledger, u64::MAX).await;
        assert!(granted, "the first claim is granted");
        let after = setup.platform.count();
        let next_latency = claim_once(&ledger, u64::MAX - 1).await.1;
        let sealed = setup.platform.store().list("ledger/seg/").await;
        let sealed = sealed.expect("the segments are listed").objects;
        let bytes: usize = sealed.iter().map(|segment| segment.value.len()).sum();
        println!(
            "{keys:>7} keys, {:>4} segments of {:>3} KB: first claim after {:>6.1} ms with {:>3} reads, the next after {:.1} ms",
            sealed.len(),
            bytes / sealed.len().max(1) / 1_000,
            latency.as_secs_f64() * 1_000.0,
            after.get - before.get,
            next_latency.as_secs_f64() * 1_000.0,
        );
    }
}

/// Claims `keys` keys through a ledger that is then dropped.
async fn fill(builder: Builder, keys: u64) {
    let ledger = builder.writes(Rate::of(1e6)).open();
    let mut number = 0;
    while number < keys {
        let mut calls = JoinSet::new();
        for _ in 0..1_000 {
            let ledger = ledger.clone();
            calls.spawn(async move { claim_once(&ledger, number).await });
            number += 1;
        }
        let answers = calls.join_all().await;
        assert!(
            answers.iter().all(|(granted, _)| *granted),
            "all claims are granted"
        );
    }
}

fn main() {
    let arguments = Arguments::parse();
    let mut runtime = if arguments.real {
        tokio::runtime::Builder::new_multi_thread()
    } else {
        tokio::runtime::Builder::new_current_thread()
    };
    let runtime = runtime
        .enable_all()
        .start_paused(!arguments.real)
        .build()
        .expect("the runtime starts");
    runtime.block_on(async {
        match arguments.mode {
            Mode::Rate => rate(&arguments).await,
            Mode::Delay => delay(&arguments).await,
            Mode::Takeover => takeover(&arguments).await,
        }
    });
}
