//! What whole daemons cost on real sockets: memory by announced instances, processor time by calls.

use std::time::{Duration, Instant};

use appleshore::Part;
use bytes::Bytes;
use http::Method;
use mesh::{Client, Mesh};
use serde::Serialize;
use store::Condition;
use tokio::time::sleep;

use super::roster::record;
use super::slope::Slope;
use super::system::{Outcome, resident};
use crate::path;

const SIZES: [usize; 3] = [100, 450, 1_800];
/// Calls a second through two daemons, and for how many seconds.
const RATES: [u32; 3] = [50, 150, 450];
const SECONDS: u64 = 4;
/// Seconds without calls.
const QUIET: u64 = 10;

/// What was measured of whole daemons.
#[derive(Debug, Clone, Serialize)]
pub struct Daemons {
    /// Bytes of memory that announced instances add to one daemon. Nobody answers at their addresses, so
    /// the links that it dials in vain are part of it.
    pub memory: Slope,
    /// Milliseconds of processor time for each instance that comes, at a roster of this size.
    pub change: Slope,
    /// Processor time of one daemon without calls, in microseconds a second.
    pub idle: f64,
    /// Processor time of both daemons in microseconds a second.
    pub calls: Slope,
}

/// What announced instances cost one daemon.
#[derive(Debug)]
pub(crate) struct Announced {
    memory: Slope,
    change: Slope,
}

/// Measures one daemon with many announced instances, before anything else runs.
pub(crate) fn announced() -> Outcome<Announced> {
    runtime()?.block_on(instances())
}

/// Measures two daemons that carry calls.
pub(crate) fn measure(announced: Announced) -> Outcome<Daemons> {
    let (idle, calls) = runtime()?.block_on(calls())?;
    Ok(Daemons {
        memory: announced.memory,
        change: announced.change,
        idle,
        calls: Slope::of("two daemons, CPU us/s", "calls/s", &calls),
    })
}

fn runtime() -> Outcome<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    Ok(builder.worker_threads(4).enable_all().build()?)
}

/// One daemon whose store lists ever more instances. Nobody answers at their addresses.
async fn instances() -> Outcome<Announced> {
    let mesh = Mesh::builder().instances(1).start().await;
    let (mut memory, mut change) = (Vec::new(), Vec::new());
    let empty = resident()?;
    let mut known = 0;
    for size in SIZES {
        let before = path::daemon_cpu()?;
        let store = mesh.platform.store();
        for number in known..size {
            let record = record(number)?;
            let key = format!("instances/{}", record.instance);
            let json = Bytes::from(serde_json::to_vec(&record)?);
            store.put(&key, json, Condition::Any).await?;
            sleep(Duration::from_millis(2)).await;
        }
        while listed(&mesh) < size {
            sleep(Duration::from_millis(20)).await;
        }
        let spent = (path::daemon_cpu()? - before) * 1e3;
        // The middle of the sizes that the roster went through.
        change.push(((known + size) / 2, spent / (size - known) as f64));
        memory.push((size, resident()? - empty));
        known = size;
    }
    let line = |what: &str, series: &[(usize, f64)]| Slope::of(what, "instances", series);
    Ok(Announced {
        memory: line(
            "one whole daemon, bytes of memory, dialling in vain",
            &memory,
        ),
        change: line("one whole daemon, CPU ms an instance that comes", &change),
    })
}

fn listed(mesh: &Mesh) -> usize {
    let roster = mesh.daemon(0).dump(Part::Roster).state;
    // The daemon's own line is one of them.
    roster["instances"]
        .as_array()
        .map_or(0, Vec::len)
        .saturating_sub(1)
}

/// Processor time of one daemon without calls, and of an entry and a gate by calls a second.
async fn calls() -> Outcome<(f64, Vec<(usize, f64)>)> {
    let mesh = Mesh::builder()
        .instances(2)
        .slots(1_000)
        .services(&["front", "desk"])
        .start()
        .await;
    let client = Client::default();
    run(&client, &mesh, RATES[0], Duration::from_secs(1)).await;
    sleep(Duration::from_secs(1)).await;
    let before = path::daemon_cpu()?;
    sleep(Duration::from_secs(QUIET)).await;
    let idle = (path::daemon_cpu()? - before) * 1e6 / QUIET as f64 / 2.0;
    let mut points = Vec::new();
    for rate in RATES {
        let before = path::daemon_cpu()?;
        let answered = run(&client, &mesh, rate, Duration::from_secs(SECONDS)).await;
        let spent = path::daemon_cpu()? - before;
        if answered * 100 < rate as usize * SECONDS as usize * 95 {
            return Err(format!("capacity: only {answered} calls were answered").into());
        }
        points.push((rate as usize, spent * 1e6 / SECONDS as f64));
    }
    Ok((idle, points))
}

/// Sends calls at a rate, whether earlier ones were answered or not; answers how many were.
async fn run(client: &Client, mesh: &Mesh, rate: u32, span: Duration) -> usize {
    let start = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0.. {
        let due = Duration::from_secs(1) / rate * number;
        if due >= span {
            break;
        }
        sleep(due.saturating_sub(start.elapsed())).await;
        let (client, to) = (client.clone(), mesh.callers(0));
        calls.spawn(async move {
            let answer = client.send(to, Method::GET, "/big/200", &[], "").await;
            answer.status == 200 && answer.whole
        });
    }
    calls
        .join_all()
        .await
        .into_iter()
        .filter(|whole| *whole)
        .count()
}
