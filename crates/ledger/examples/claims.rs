//! Measures the ledger on the stand-in: claims a second, the time that a claim adds, and how long a
//! new owner takes to read a shard.
//!
//! ```text
//! cargo run --release -p ledger --example claims -- rate --real
//! cargo run --release -p ledger --example claims -- delay
//! cargo run --release -p ledger --example claims -- takeover
//! ```
//!
//! Without `--real` the clock is the runtime's paused one, which moves on when all wait: the figures
//! are those of the policy alone, and come out the same on a busy machine.

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

/// Measures the ledger on the stand-in.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    what: What,
    /// How long each call of the store takes.
    #[arg(long, default_value = "5ms", global = true)]
    latency: Span,
    /// The writes a second above which the platform refuses.
    #[arg(long, default_value = "300/s", global = true)]
    writes: Rate,
    /// The shards of the ledger.
    #[arg(long, default_value_t = 2, global = true)]
    shards: u16,
    /// The size at which a head is rolled.
    #[arg(long, default_value = "32KB", global = true)]
    roll: Size,
    /// Seconds for each line.
    #[arg(long, default_value_t = 5, global = true)]
    seconds: u64,
    /// Runs on the real clock and several threads.
    #[arg(long, global = true)]
    real: bool,
    /// Seeds the arrivals.
    #[arg(long, default_value_t = 1, global = true)]
    seed: u64,
}

#[derive(Debug, Clone, Copy, Subcommand)]
enum What {
    /// Claims a second with callers that ask again at once, with and without grouping.
    Rate,
    /// The time that a claim adds at several rates of arrival.
    Delay,
    /// The time of the first claim at an owner that has to read the shard.
    Takeover,
}

/// The ledger keeps below the platform's limit by this part.
const SHARE: f64 = 0.95;

/// Writes that the platform lets through together.
const BURST: u32 = 30;

/// Callers that ask again at once.
const CALLERS: u64 = 600;

struct Setup {
    platform: Platform,
    bytes: Arc<AtomicU64>,
    /// Writes before the measured time.
    writes: AtomicU64,
}

impl Setup {
    fn new(arguments: &Arguments) -> Setup {
        let platform = Platform::builder().latency(arguments.latency.0).open();
        platform.fault().limit_writes(arguments.writes, BURST);
        Setup {
            platform,
            bytes: Arc::default(),
            writes: AtomicU64::new(0),
        }
    }

    /// Counts from here on.
    fn begin(&self) {
        let writes = self.platform.count().writes();
        self.writes.store(writes, Ordering::Relaxed);
        self.bytes.store(0, Ordering::Relaxed);
    }

    fn ledger(&self, arguments: &Arguments) -> Builder {
        let share = Rate::of(arguments.writes.per_second() * SHARE);
        let store = counted(self.platform.store(), self.bytes.clone());
        Ledger::builder(store)
            .shards(arguments.shards)
            .segment_size(arguments.roll)
            .writes(share)
    }
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

fn claim(number: u64) -> Claim {
    let caller = format!("desk-{}@clinic-{}", number % 7, number % 40);
    let entry = format!("vault-desk-{}", number % 5);
    Claim {
        key: Digest::of(&number.to_le_bytes()),
        body: Digest::of(b"body"),
        caller: caller.parse().expect("a caller"),
        token: Token(u128::from(number)),
        entry: entry.parse().expect("an instance"),
        deadline: Instant::now() + Duration::from_secs(10),
        rule: "destroy".to_string(),
    }
}

/// What the callers of one line saw.
struct Seen {
    granted: u64,
    failed: u64,
    /// Microseconds.
    times: Histogram<u64>,
}

impl Seen {
    fn new() -> Seen {
        let times = Histogram::new(3).expect("three digits");
        Seen {
            granted: 0,
            failed: 0,
            times,
        }
    }

    fn add(&mut self, granted: bool, time: Duration) {
        if granted {
            self.granted += 1;
            self.times
                .record(time.as_micros() as u64)
                .expect("the histogram grows");
        } else {
            self.failed += 1;
        }
    }

    /// Milliseconds below which this share of the answers lies.
    fn quantile(&self, share: f64) -> f64 {
        self.times.value_at_quantile(share) as f64 / 1_000.0
    }
}

async fn once(ledger: &Ledger, number: u64) -> (bool, Duration) {
    let start = Instant::now();
    let claimed = ledger.claim(claim(number)).await;
    (claimed == Ok(Claimed::Granted), start.elapsed())
}

/// Callers that ask again at once.
async fn closed(ledger: &Ledger, span: Duration) -> Seen {
    let until = Instant::now() + span;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let ledger = ledger.clone();
        callers.spawn(async move {
            let mut seen = Seen::new();
            let mut number = caller << 40;
            while Instant::now() < until {
                number += 1;
                let (granted, time) = once(&ledger, number).await;
                seen.add(granted, time);
                if !granted {
                    sleep(Duration::from_millis(50)).await;
                }
            }
            seen
        });
    }
    let mut all = Seen::new();
    while let Some(seen) = callers.join_next().await {
        let seen = seen.expect("the caller ends");
        all.granted += seen.granted;
        all.failed += seen.failed;
        all.times.add(&seen.times).expect("the same digits");
    }
    all
}

/// Callers that come at random at a rate, whatever the ledger does.
async fn open(ledger: &Ledger, rate: f64, span: Duration, seed: u64) -> Seen {
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
        calls.spawn(async move { once(&ledger, number).await });
    }
    let mut seen = Seen::new();
    while let Some(call) = calls.join_next().await {
        let (granted, time) = call.expect("the call ends");
        seen.add(granted, time);
    }
    seen
}

fn print(name: &str, setup: &Setup, seen: &Seen, span: Duration, latency: Duration) {
    let seconds = span.as_secs_f64();
    let count = setup.platform.count();
    let writes = count.writes() - setup.writes.load(Ordering::Relaxed);
    let trip = latency.as_secs_f64() * 1_000.0;
    let (p50, p99) = (seen.quantile(0.5), seen.quantile(0.99));
    println!(
        "{name:<22} {:>8.0} claims/s  {:>4.0} writes/s  {:>3} refused  {:>6} failed  {:>6.0} KB/s  \
         p50 {p50:>6.1} ms ({:.1} trips)  p99 {p99:>6.1} ms ({:.1} trips)",
        seen.granted as f64 / seconds,
        writes as f64 / seconds,
        count.refused,
        seen.failed,
        setup.bytes.load(Ordering::Relaxed) as f64 / seconds / 1_000.0,
        p50 / trip,
        p99 / trip,
    );
}

async fn rate(arguments: &Arguments) {
    let span = Duration::from_secs(arguments.seconds);
    for (name, batch) in [("grouped", 1_000), ("one claim a write", 1)] {
        let setup = Setup::new(arguments);
        let ledger = setup.ledger(arguments).batch(batch).open();
        let seen = closed(&ledger, span).await;
        print(name, &setup, &seen, span, arguments.latency.0);
    }
}

async fn delay(arguments: &Arguments) {
    let span = Duration::from_secs(arguments.seconds);
    for rate in [20.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0] {
        let setup = Setup::new(arguments);
        let ledger = setup.ledger(arguments).open();
        // The first claims read the layout and the heads; they belong to the takeover.
        for number in 0..64 {
            once(&ledger, number).await;
        }
        setup.begin();
        let seen = open(&ledger, rate, span, arguments.seed).await;
        let name = format!("{rate:.0} arrivals/s");
        print(&name, &setup, &seen, span, arguments.latency.0);
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
        let (granted, time) = once(&ledger, u64::MAX).await;
        assert!(granted, "the first claim is granted");
        let after = setup.platform.count();
        let again = once(&ledger, u64::MAX - 1).await.1;
        let sealed = setup.platform.store().list("ledger/seg/").await;
        let sealed = sealed.expect("a list").objects;
        let bytes: usize = sealed.iter().map(|segment| segment.value.len()).sum();
        println!(
            "{keys:>7} keys, {:>4} segments of {:>3} KB: first claim after {:>6.1} ms with {:>3} reads, the next after {:.1} ms",
            sealed.len(),
            bytes / sealed.len().max(1) / 1_000,
            time.as_secs_f64() * 1_000.0,
            after.get - before.get,
            again.as_secs_f64() * 1_000.0,
        );
    }
}

/// Claims `keys` keys through a ledger that is gone afterwards.
async fn fill(builder: Builder, keys: u64) {
    let ledger = builder.writes(Rate::of(1e6)).open();
    let mut number = 0;
    while number < keys {
        let mut calls = JoinSet::new();
        for _ in 0..1_000 {
            let ledger = ledger.clone();
            calls.spawn(async move { once(&ledger, number).await });
            number += 1;
        }
        let answers = calls.join_all().await;
        assert!(answers.iter().all(|(granted, _)| *granted), "all granted");
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
        .expect("a runtime");
    runtime.block_on(async {
        match arguments.what {
            What::Rate => rate(&arguments).await,
            What::Delay => delay(&arguments).await,
            What::Takeover => takeover(&arguments).await,
        }
    });
}
