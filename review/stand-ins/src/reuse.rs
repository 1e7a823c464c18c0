//! The address of an upstream that has ended goes to an upstream of another service.
//!
//! Requests for the former service must not run at the latter.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use crate::Breaks;
use crate::fleet::{Fault, Fleet, config};
use crate::http::exchange;
use crate::record::Record;
use crate::upstream::Upstream;

const SERVICES: [&str; 7] = ["desk", "desk", "desk", "desk", "vault", "vault", "vault"];
const SLOTS: u64 = 15;

/// The machine whose upstream ends.
const PLACE: usize = 1;

/// When the daemon beside the upstream that has ended gets SIGTERM.
const TERM_AFTER: Duration = Duration::from_millis(1_000);

/// The time after which an address may be given to another service.
const REUSE_AFTER: Duration = Duration::from_secs(2);

const TIMEOUT_MS: u64 = 1_000;

/// Requests of the whole run, one each `PAUSE`; the upstream ends behind `BEFORE` of them.
const REQUESTS: usize = 1_000;
const BEFORE: usize = 250;
/// Clients stay at a machine for two questions of the platform behind a SIGTERM of its daemon.
const CLIENTS_STAY: usize = 200;
const PAUSE: Duration = Duration::from_millis(10);

pub fn play(record: &Record, trouble: bool) -> Result<Breaks, Fault> {
    let mut fleet = Fleet::start(&SERVICES, SLOTS, config(7, TIMEOUT_MS, false), record)?;
    record.say(format!(
        "{} machines are ready; trouble: {trouble}",
        SERVICES.len()
    ));
    let mut replacement = None;
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        if trouble && number == BEFORE {
            record.say(format!(
                "{} of desk crashes for good",
                fleet.upstreams[PLACE].life()
            ));
            fleet.upstreams[PLACE].crash();
        }
        let term = BEFORE + (TERM_AFTER.as_millis() / PAUSE.as_millis()) as usize;
        if trouble && number == term {
            record.say(format!("{} gets SIGTERM", fleet.machines[PLACE].node));
            fleet.machines[PLACE].signal("TERM");
        }
        if trouble && number > term && !fleet.machines[PLACE].is_running() {
            record.say(format!("{} has ended", fleet.machines[PLACE].node));
            fleet.replace(PLACE, "vault")?;
        }
        let reused = BEFORE + (REUSE_AFTER.as_millis() / PAUSE.as_millis()) as usize;
        if trouble && number == reused {
            let place = fleet.place(PLACE, "vault", SLOTS);
            record.say(format!("i-0000beef of vault starts at {}", place.address));
            replacement = Some(Upstream::start("i-0000beef", place, record.clone())?);
        }
        let there = !trouble || number < term + CLIENTS_STAY;
        let to = fleet.outbound(if there { number % 2 } else { 0 });
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let request = format!(
                "POST /book/20 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\n\
                 X-Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: 5\r\n\r\norder"
            );
            record.say(format!(
                "{id} begins: POST /book/20 for desk.example at {to}"
            ));
            let answered = exchange(to, request.as_bytes(), Duration::from_millis(TIMEOUT_MS));
            match answered {
                Ok((head, _)) => {
                    record.say(format!("{id} is answered {}", head.status()));
                    (id, head.status())
                }
                Err(error) => {
                    record.say(format!("{id} is not answered: {error}"));
                    (id, 0)
                }
            }
        }));
        thread::sleep(PAUSE);
    }
    let answers: HashMap<String, u16> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let served = answers.values().filter(|status| **status == 200).count();
    record.say(format!("{served} of {REQUESTS} requests were answered 200"));
    if served * 2 < REQUESTS {
        return Err("fewer than half of the requests are served".into());
    }
    let others = fleet
        .upstreams
        .iter()
        .zip(SERVICES)
        .filter(|(_, service)| *service == "vault");
    let mut others: Vec<Upstream> = others.map(|(upstream, _)| upstream.clone()).collect();
    others.extend(replacement);
    let mut breaks = Vec::new();
    for run in others.iter().flat_map(Upstream::runs) {
        let status = answers.get(&run.id).copied().unwrap_or(0);
        breaks.push(format!(
            "{} of vault runs {}, a request for desk, which was answered {status}",
            run.upstream, run.id
        ));
    }
    Ok(breaks)
}
