//! An upstream sends some of its answers in part, and leaves their connections open.
//!
//! Their callers must have a final answer soon after the timeout of the route.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::Breaks;
use crate::fleet::{Fault, Fleet, config};
use crate::http::exchange;
use crate::record::Record;

const MACHINES: usize = 3;
const SLOTS: u64 = 15;

const TIMEOUT_MS: u64 = 1_000;
const DEADLINE: Duration = Duration::from_secs(4);

/// What the rule allows beyond the timeout, and from how many requests on it counts.
const BEYOND: Duration = Duration::from_millis(500);
const COUNTS_FROM: usize = 8;

const PAUSE: Duration = Duration::from_millis(3);
const REQUESTS: usize = 4_000;

/// The first and the last request while one upstream of three spoils one of fifty answers.
const BEGINS: usize = 500;
const ENDS: usize = 2_300;
const ONE_OF: u64 = 50;

pub fn play(record: &Record, trouble: bool) -> Result<Breaks, Fault> {
    let config = config(7, TIMEOUT_MS, false);
    let fleet = Fleet::start(&["desk"; MACHINES], SLOTS, config, record)?;
    record.say(format!("{MACHINES} machines are ready; trouble: {trouble}"));
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        if trouble && number == BEGINS {
            fleet.upstreams[0].cut(ONE_OF);
        }
        if number == ENDS {
            fleet.upstreams[0].cut(0);
        }
        let to = fleet.outbound(number % MACHINES);
        clients.push(thread::spawn(move || order(number, to)));
        thread::sleep(PAUSE);
    }
    let took = clients.into_iter().filter_map(|client| client.join().ok());
    let took: Vec<Option<Duration>> = took.collect();
    let open = |at: Duration| {
        took.iter()
            .filter(|took| took.is_none_or(|took| took > at))
            .count()
    };
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let (at_timeout, later) = (open(timeout), open(timeout + BEYOND));
    let line = format!(
        "of {REQUESTS} orders {at_timeout} had no final answer at their timeout, and {later} of these none \
         half a second later"
    );
    println!("{line}");
    record.say(&line);
    let is_broken = later >= COUNTS_FROM && later * 4 > at_timeout;
    Ok(if is_broken { vec![line] } else { Vec::new() })
}

/// Sends one order; how long it took until its answer or its connection ended, if it did.
fn order(number: usize, to: SocketAddr) -> Option<Duration> {
    let request = format!(
        "POST /book/20 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {number:016x}\r\n\
         X-Deadline-Ms: {}\r\nContent-Length: 5\r\n\r\norder",
        DEADLINE.as_millis()
    );
    let began = Instant::now();
    match exchange(to, request.as_bytes(), DEADLINE) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => None,
        _ => Some(began.elapsed()),
    }
}
