//! Upstreams leave as planned, one after the other, and start again under their ids.
//!
//! No rule says how much must be served then; the trial prints what is served.

use std::thread;
use std::time::Duration;

use crate::Breaks;
use crate::fleet::{Fault, Fleet, config};
use crate::http::exchange;
use crate::record::Record;
use crate::upstream::Upstream;

const MACHINES: usize = 2;
const SLOTS: u64 = 15;
const TIMEOUT_MS: u64 = 1_000;

const REQUESTS: usize = 1_200;
const PAUSE: Duration = Duration::from_millis(25);

/// The requests before the first leave, and between two.
const BEFORE: usize = 100;
const BETWEEN: usize = 120;

/// The requests from the leave of an upstream to its deregistration, its end and its new start.
const DEREGISTERS: usize = 40;
const ENDS: usize = 80;
const STARTS: usize = 100;

const PART: usize = 100;

pub fn play(record: &Record, trouble: bool) -> Result<Breaks, Fault> {
    let mut fleet = Fleet::start(
        &["desk"; MACHINES],
        SLOTS,
        config(7, TIMEOUT_MS, false),
        record,
    )?;
    record.say(format!(
        "{MACHINES} machines are ready; the ids stay: {trouble}"
    ));
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        for machine in 0..MACHINES {
            let step = number.checked_sub(BEFORE + machine * BETWEEN);
            advance(&mut fleet, machine, step, trouble)?;
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
    let answers: Vec<u16> = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .collect();
    for (part, answers) in answers.chunks(PART).enumerate() {
        let served = answers.iter().filter(|status| **status == 200).count();
        let line = format!(
            "of requests {} to {}, {served} are served",
            part * PART,
            part * PART + PART
        );
        println!("{line}");
        record.say(line);
    }
    Ok(Vec::new())
}

fn advance(
    fleet: &mut Fleet,
    machine: usize,
    step: Option<usize>,
    trouble: bool,
) -> Result<(), Fault> {
    let upstream = fleet.upstreams[machine].clone();
    let life = upstream.life();
    match step {
        Some(0) => {
            upstream.leave();
            fleet.record.say(format!("{life} leaves"));
        }
        Some(DEREGISTERS) => {
            let acknowledged = upstream.deregister();
            fleet
                .record
                .say(format!("{life} deregisters, acknowledged: {acknowledged}"));
        }
        Some(ENDS) => {
            upstream.crash();
            fleet.record.say(format!("{life} ends"));
        }
        Some(STARTS) => {
            let life = if trouble {
                life.to_string()
            } else {
                format!("{life}-new")
            };
            let place = fleet.place(machine, "desk", SLOTS);
            fleet.upstreams[machine] = Upstream::start(&life, place, fleet.record.clone())?;
            fleet.record.say(format!("{life} starts"));
        }
        _ => {}
    }
    Ok(())
}
