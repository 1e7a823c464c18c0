//! What two daemons add to a call: caller, daemon, daemon, target against caller, target.
//!
//! Both ways are measured side by side in one run, call by call in turn, in open loop: a call is
//! sent when its time has come, whether earlier ones were answered or not. The daemons run in
//! threads of their own, whose processor time is read from the system.

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Args;
use hdrhistogram::Histogram;
use http::Method;
use mesh::{Client, Mesh};
use parking_lot::Mutex;
use serde::Serialize;
use tokio::runtime::Handle;

/// Calls in the first second warm links and connections, and are not counted.
const WARM: Duration = Duration::from_secs(1);

/// Ticks of the system's processor-time counters in a second.
const TICKS: f64 = 100.0;

/// What `bench path` takes.
#[derive(Debug, Args)]
pub struct Options {
    /// Calls per second through the daemons; as many go straight to the target.
    #[arg(long, default_value_t = 150)]
    rate: u32,
    /// Seconds that are counted.
    #[arg(long, default_value_t = 10)]
    seconds: u32,
    /// Bytes of each answer's body.
    #[arg(long, default_value_t = 200)]
    bytes: u32,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

/// Latencies of one way, in microseconds.
#[derive(Debug, Serialize)]
pub struct Latency {
    calls: u64,
    failed: u64,
    p50: u64,
    p99: u64,
    p999: u64,
}

/// What one run has shown.
#[derive(Debug, Serialize)]
pub struct Figures {
    rate: u32,
    direct: Latency,
    daemons: Latency,
    /// What the daemons add, in microseconds, quantile by quantile.
    added_p50: i64,
    added_p99: i64,
    /// Processor time of both daemons together, in microseconds a call.
    cpu_us_per_call: f64,
    /// Resident memory of the whole process in kilobytes: two daemons, target, caller.
    resident_kb: u64,
}

struct Way {
    to: SocketAddr,
    latency: Mutex<Histogram<u64>>,
    failed: Mutex<u64>,
}

/// Runs the benchmark and prints its figures.
///
/// # Errors
///
/// When the mesh does not start or the system's counters can't be read.
pub fn main(options: &Options) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .thread_name("caller")
        .enable_all()
        .build()?;
    let mesh = runtime.block_on(
        Mesh::builder()
            .instances(2)
            .slots(1_000)
            .services(&["front", "desk"])
            .start(),
    );
    let figures = measure(options, &mesh, runtime.handle())?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
    } else {
        print(&figures);
    }
    Ok(())
}

fn measure(options: &Options, mesh: &Mesh, handle: &Handle) -> Result<Figures, Box<dyn Error>> {
    let direct = Arc::new(Way::to(mesh.target_address(1))?);
    let daemons = Arc::new(Way::to(mesh.callers(0))?);
    let path: Arc<str> = format!("/big/{}", options.bytes).into();
    let client = Client::default();
    let pause = Duration::from_secs(1) / (2 * options.rate);
    let start = Instant::now();
    let end = WARM + Duration::from_secs(options.seconds.into());
    let mut cpu = 0.0;
    let mut counted = false;
    for count in 0.. {
        let due = pause * count;
        if due >= end {
            break;
        }
        if !counted && due >= WARM {
            counted = true;
            cpu = daemon_cpu()?;
        }
        std::thread::sleep(due.saturating_sub(start.elapsed()));
        let way = if count % 2 == 0 { &direct } else { &daemons };
        handle.spawn(call(client.clone(), way.clone(), path.clone(), counted));
    }
    let spent = daemon_cpu()? - cpu;
    // The last calls may still be under way.
    std::thread::sleep(Duration::from_millis(500));
    let (direct, daemons) = (direct.latency(), daemons.latency());
    Ok(Figures {
        rate: options.rate,
        added_p50: daemons.p50 as i64 - direct.p50 as i64,
        added_p99: daemons.p99 as i64 - direct.p99 as i64,
        cpu_us_per_call: spent * 1e6 / daemons.calls as f64,
        resident_kb: resident()?,
        direct,
        daemons,
    })
}

async fn call(client: Client, way: Arc<Way>, path: Arc<str>, counted: bool) {
    let began = Instant::now();
    let answer = client.send(way.to, Method::GET, &path, &[], "").await;
    if !counted {
        return;
    }
    if answer.status != 200 || !answer.whole {
        *way.failed.lock() += 1;
        return;
    }
    let micros = began.elapsed().as_micros() as u64;
    way.latency.lock().saturating_record(micros);
}

impl Way {
    fn to(to: SocketAddr) -> Result<Way, Box<dyn Error>> {
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        Ok(Way {
            to,
            latency: Mutex::new(latency),
            failed: Mutex::new(0),
        })
    }

    fn latency(&self) -> Latency {
        let latency = self.latency.lock();
        Latency {
            calls: latency.len(),
            failed: *self.failed.lock(),
            p50: latency.value_at_quantile(0.5),
            p99: latency.value_at_quantile(0.99),
            p999: latency.value_at_quantile(0.999),
        }
    }
}

/// Processor seconds of all threads that belong to daemons so far.
pub(crate) fn daemon_cpu() -> Result<f64, Box<dyn Error>> {
    let mut ticks = 0;
    for thread in fs::read_dir("/proc/self/task")? {
        let stat = fs::read_to_string(thread?.path().join("stat")).unwrap_or_default();
        if !stat.contains(mesh::THREAD_NAME) {
            continue;
        }
        // Behind the name in brackets, user and system time are the 12th and 13th fields.
        let fields = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace();
        ticks += fields
            .skip(11)
            .take(2)
            .filter_map(|f| f.parse::<u64>().ok())
            .sum::<u64>();
    }
    Ok(ticks as f64 / TICKS)
}

/// Resident memory of this process in kilobytes.
pub(crate) fn resident() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.ok_or("no VmRSS")?.parse()?)
}

fn print(figures: &Figures) {
    println!("rate {}/s, microseconds", figures.rate);
    println!(
        "{:<10} {:>8} {:>7} {:>8} {:>8} {:>8}",
        "way", "calls", "failed", "p50", "p99", "p99.9"
    );
    for (name, l) in [("direct", &figures.direct), ("daemons", &figures.daemons)] {
        let Latency {
            calls,
            failed,
            p50,
            p99,
            p999,
        } = l;
        println!("{name:<10} {calls:>8} {failed:>7} {p50:>8} {p99:>8} {p999:>8}");
    }
    println!(
        "added: p50 {} us, p99 {} us",
        figures.added_p50, figures.added_p99
    );
    println!(
        "processor time of both daemons: {:.0} us a call",
        figures.cpu_us_per_call
    );
    println!("resident: {} KB", figures.resident_kb);
}
