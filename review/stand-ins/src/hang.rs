//! Clients send bodies in chunks on a route that a new configuration has just removed.
//!
//! They are refused; all others must still be answered.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Breaks;
use crate::fleet::{Fault, Fleet, config, config_without, says_ready};
use crate::http::Connection;
use crate::record::Record;

const MACHINES: usize = 3;
const SLOTS: u64 = 15;

/// `timeout_ms` of the routes, and how long their clients wait.
const TIMEOUT_MS: u64 = 1_000;
const DEADLINE: Duration = Duration::from_secs(3);

/// What the rule allows beyond the timeout, and from how many requests on it counts.
const BEYOND: Duration = Duration::from_millis(500);
const COUNTS_FROM: usize = 8;

/// Orders on a route that stays, and notes on the route that is removed, at each machine in turn.
const ORDER_PAUSE: Duration = Duration::from_millis(50);
const NOTE_PAUSE: Duration = Duration::from_millis(50);

/// The time before the new configuration, and behind it.
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(10);

const CHUNK: usize = 1_024;
const CHUNKS: usize = 4;

/// How long a client waits for a new connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// How often the platform asks whether a daemon is ready, and how many misses take its machine out.
const READY_PERIOD: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;

/// One request and how it ended.
struct Request {
    id: String,
    machine: usize,
    /// All of it was sent.
    sent: bool,
    /// The status, if an answer came before its client's deadline.
    status: Option<u16>,
    took: Duration,
}

type Requests = Arc<Mutex<Vec<Request>>>;

/// What the platform knows of the machines, by which clients are given their work.
#[derive(Clone)]
struct Readiness {
    places: Arc<Vec<(SocketAddr, &'static str)>>,
    misses: Arc<Vec<AtomicU32>>,
}

impl Readiness {
    /// Asks each daemon once a second.
    fn watch(fleet: &Fleet, stop: &Arc<AtomicBool>) -> Readiness {
        let readiness = Readiness {
            places: Arc::new(
                (0..MACHINES)
                    .map(|machine| fleet.readiness(machine))
                    .collect(),
            ),
            misses: Arc::new((0..MACHINES).map(|_| AtomicU32::new(0)).collect()),
        };
        for machine in 0..MACHINES {
            let (readiness, stop) = (readiness.clone(), stop.clone());
            let record = fleet.record.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let began = Instant::now();
                    let (address, _) = readiness.places[machine];
                    let misses = &readiness.misses[machine];
                    if says_ready(address, READY_PERIOD) {
                        misses.store(0, Ordering::SeqCst);
                    } else {
                        misses.fetch_add(1, Ordering::SeqCst);
                        record.say(format!("machine {machine} does not say that it is ready"));
                    }
                    thread::sleep(READY_PERIOD.saturating_sub(began.elapsed()));
                }
            });
        }
        readiness
    }

    fn is_in(&self, machine: usize) -> bool {
        self.misses[machine].load(Ordering::SeqCst) < MISSES
    }

    /// Whether the clients of a machine are given new work: it is in, or fewer than half of its zone are.
    fn receives(&self, machine: usize) -> bool {
        let (_, zone) = self.places[machine];
        let of_zone = (0..MACHINES).filter(|other| self.places[*other].1 == zone);
        let (inside, all) = of_zone.fold((0, 0), |(inside, all), other| {
            (inside + usize::from(self.is_in(other)), all + 1)
        });
        self.is_in(machine) || inside * 2 < all
    }
}

pub fn play(record: &Record, trouble: bool) -> Result<Breaks, Fault> {
    let config = config(7, TIMEOUT_MS, false);
    let fleet = Fleet::start(&["desk"; MACHINES], SLOTS, config, record)?;
    record.say(format!("{MACHINES} machines are ready; trouble: {trouble}"));
    let stop = Arc::new(AtomicBool::new(false));
    let requests = Requests::default();
    let readiness = Readiness::watch(&fleet, &stop);
    let clients = |what| send(&fleet, what, &readiness, &requests, &stop);
    let orders = clients(("order", "/book/20", ORDER_PAUSE));
    let notes = clients(("note", "/note/20", NOTE_PAUSE));
    thread::sleep(BEFORE);
    if trouble {
        fleet
            .store
            .put("config", "main", config_without(8, TIMEOUT_MS, "desk-note"));
        record.say("r8, which has no route /note/, is acknowledged");
    }
    thread::sleep(AFTER);
    stop.store(true, Ordering::SeqCst);
    for task in [orders, notes] {
        let _ = task.join();
    }
    let requests = requests.lock().unwrap();
    let served = requests
        .iter()
        .filter(|request| request.status == Some(200))
        .count();
    record.say(format!(
        "{served} of {} requests were answered 200",
        requests.len()
    ));
    if served * 4 < requests.len() {
        return Err("fewer than a quarter of the requests are served".into());
    }
    Ok(check(record, &requests))
}

/// Sends requests at each machine in turn, each on a connection of its own.
fn send(
    fleet: &Fleet,
    (name, path, pause): (&'static str, &'static str, Duration),
    readiness: &Readiness,
    requests: &Requests,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let places: Vec<_> = (0..MACHINES)
        .map(|machine| fleet.outbound(machine))
        .collect();
    let (requests, stop, record) = (requests.clone(), stop.clone(), fleet.record.clone());
    let readiness = readiness.clone();
    thread::spawn(move || {
        let mut clients = Vec::new();
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let machine = number % MACHINES;
            if !readiness.receives(machine) {
                thread::sleep(pause);
                continue;
            }
            let id = format!("{name}-{number:08x}");
            let (to, requests, record) = (places[machine], requests.clone(), record.clone());
            clients.push(thread::spawn(move || {
                record.say(format!("{id} begins: POST {path} at machine {machine}"));
                let began = Instant::now();
                let mut sent = false;
                let answered = exchange(to, &id, path, &mut sent);
                let took = began.elapsed();
                match &answered {
                    Ok(status) => record.say(format!("{id} is answered {status}")),
                    Err(error) => record.say(format!(
                        "{id} has no answer after {:.3} s: {error}",
                        took.as_secs_f64()
                    )),
                }
                let status = answered.ok();
                requests.lock().unwrap().push(Request {
                    id,
                    machine,
                    sent,
                    status,
                    took,
                });
            }));
            thread::sleep(pause);
        }
        for client in clients {
            let _ = client.join();
        }
    })
}

/// Sends one request with a body in chunks, and reads its answer.
///
/// The size of a chunk, the end of its line and its data are written one after the other.
fn exchange(to: SocketAddr, id: &str, path: &str, sent: &mut bool) -> io::Result<u16> {
    let mut connection = Connection::open(to, CONNECT_LIMIT)?;
    connection.stream.set_read_timeout(Some(DEADLINE))?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
        DEADLINE.as_millis()
    );
    connection.write(head.as_bytes())?;
    for _ in 0..CHUNKS {
        connection.write(format!("{CHUNK:x}").as_bytes())?;
        connection.write(b"\r\n")?;
        connection.write(&[b'n'; CHUNK])?;
        connection.write(b"\r\n")?;
    }
    connection.write(b"0\r\n\r\n")?;
    *sent = true;
    let head = connection.head()?;
    let head = head.ok_or_else(|| io::Error::other("closed without an answer"))?;
    connection.body(&head)?;
    Ok(head.status())
}

/// Of the requests that are unanswered at the timeout of their route, at most half may be unanswered
/// half a second later.
fn check(record: &Record, requests: &[Request]) -> Breaks {
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let open =
        |at: Duration| move |request: &&Request| request.status.is_none() || request.took > at;
    let sent = requests.iter().filter(|request| request.sent);
    let at_timeout: Vec<&Request> = sent.filter(open(timeout)).collect();
    let later: Vec<&&Request> = at_timeout
        .iter()
        .filter(|request| open(timeout + BEYOND)(request))
        .collect();
    record.say(format!(
        "{} requests were unanswered at their timeout, {} of them half a second later",
        at_timeout.len(),
        later.len()
    ));
    for machine in 0..MACHINES {
        let here = later
            .iter()
            .filter(|request| request.machine == machine)
            .count();
        record.say(format!("machine {machine}: {here}"));
    }
    if later.len() < COUNTS_FROM || later.len() * 2 <= at_timeout.len() {
        return Vec::new();
    }
    let line = |request: &&&Request| {
        format!(
            "{} at machine {} was unanswered {:.3} s after it began",
            request.id,
            request.machine,
            request.took.as_secs_f64()
        )
    };
    later.iter().map(line).collect()
}
