//! An upstream becomes cold while it gets requests.
//!
//! While it is cold it must not get more of them in one second than the bound allows.

use std::thread;
use std::time::Duration;

use crate::Breaks;
use crate::fleet::{COLD_OVER, COLD_PER_S, COLD_SLACK, Fault, Fleet, WARMUP_S, config};
use crate::http::exchange;
use crate::record::Record;

const MACHINES: usize = 2;
const SLOTS: u64 = 15;
const TIMEOUT_MS: u64 = 1_000;

const REQUESTS: usize = 800;
const PAUSE: Duration = Duration::from_millis(12);
/// The request at which the first upstream becomes cold.
const CHILL_AT: usize = 400;

pub fn play(record: &Record, trouble: bool) -> Result<Breaks, Fault> {
    let config = config(7, TIMEOUT_MS, true);
    let fleet = Fleet::start_as(&["desk"; MACHINES], SLOTS, config, record, true)?;
    record.say(format!("{MACHINES} machines are ready; trouble: {trouble}"));
    let upstream = &fleet.upstreams[0];
    let cold = Duration::from_secs(WARMUP_S);
    let mut clients = Vec::new();
    let mut since = Duration::MAX;
    for number in 0..REQUESTS {
        if trouble && number == CHILL_AT {
            upstream.chill(cold);
            since = record.now();
            record.say(format!("{} becomes cold", upstream.life()));
        }
        let to = fleet.outbound(number % MACHINES);
        clients.push(thread::spawn(move || {
            let request = format!(
                "GET /read/20 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {number:016x}\r\n\
                 X-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n"
            );
            let answered = exchange(to, request.as_bytes(), Duration::from_millis(TIMEOUT_MS));
            answered.map_or(0, |(head, _)| head.status())
        }));
        thread::sleep(PAUSE);
    }
    let answers = clients.into_iter().filter_map(|client| client.join().ok());
    let served = answers.filter(|status| *status == 200).count();
    record.say(format!("{served} of {REQUESTS} requests were answered 200"));
    let runs: Vec<Duration> = upstream.runs().iter().map(|run| run.at).collect();
    let runs: Vec<Duration> = runs
        .into_iter()
        .filter(|at| *at >= since && *at < since.saturating_add(cold))
        .collect();
    let within = |from: Duration| {
        runs.iter()
            .filter(|at| **at >= from && **at < from + Duration::from_secs(1))
            .count()
    };
    let most = runs.iter().map(|from| within(*from)).max().unwrap_or(0);
    let allowed = COLD_PER_S as f64 * COLD_OVER + COLD_SLACK;
    let line = format!("while cold, {most} requests came in one second, {allowed} are allowed");
    record.say(&line);
    Ok(if most as f64 > allowed {
        vec![line]
    } else {
        Vec::new()
    })
}
