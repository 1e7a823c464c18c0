//! Clients that leave in the middle of a body in chunks.
//!
//! An upstream must not run their requests: no client has sent such a body.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::Breaks;
use crate::fleet::{Fault, Fleet, config};
use crate::http::Connection;
use crate::record::Record;
use crate::upstream::hash;

const MACHINES: usize = 3;
const SLOTS: u64 = 15;

/// Orders of the whole run, one each `PAUSE`.
const ORDERS: usize = 50;
const PAUSE: Duration = Duration::from_millis(100);

/// One client in five leaves, as in the site file.
const LEAVES_EACH: usize = 5;

const CHUNK: usize = 16 << 10;
const CHUNKS: usize = 16;

/// How many chunks a client that leaves has sent, and how long after the first byte it leaves: half of
/// the objective of the route, or less.
const SENT_CHUNKS: usize = 8;
const LEAVES_AFTER: Duration = Duration::from_millis(120);

/// The time that the clients give, which is the timeout of the route.
const TIMEOUT_MS: u64 = 1_000;

/// What one client did.
struct Order {
    id: String,
    leaves: bool,
    status: Option<u16>,
}

pub fn play(record: &Record, trouble: bool) -> Result<Breaks, Fault> {
    let fleet = Fleet::start(
        &["desk"; MACHINES],
        SLOTS,
        config(7, TIMEOUT_MS, false),
        record,
    )?;
    record.say(format!("{MACHINES} machines are ready; trouble: {trouble}"));
    let clients: Vec<_> = (0..ORDERS)
        .map(|number| {
            let to = fleet.outbound(number % MACHINES);
            let leaves = trouble && number % LEAVES_EACH == LEAVES_EACH - 1;
            let record = record.clone();
            let client = thread::spawn(move || order(number, to, leaves, &record));
            thread::sleep(PAUSE);
            client
        })
        .collect();
    let orders: Vec<Order> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    // Whatever is still on its way may run.
    thread::sleep(Duration::from_secs(2));
    let served = orders
        .iter()
        .filter(|order| order.status == Some(200))
        .count();
    let stayed = orders.iter().filter(|order| !order.leaves).count();
    record.say(format!(
        "{served} of {stayed} orders of clients that stayed were answered 200"
    ));
    if served * 2 < stayed {
        return Err("fewer than half of the orders are served".into());
    }
    Ok(check(&fleet, &orders))
}

/// The body of an order.
fn body(number: usize) -> Vec<u8> {
    let line = format!("order {number}: one more item\n");
    line.bytes().cycle().take(CHUNK * CHUNKS).collect()
}

fn order(number: usize, to: SocketAddr, leaves: bool, record: &Record) -> Order {
    let id = format!("{number:016x}");
    let status = send(number, &id, to, leaves, record);
    match (&status, leaves) {
        (Ok(Some(status)), _) => record.say(format!("order {id} is answered {status}")),
        (Ok(None), _) => record.say(format!(
            "order {id}: its client has left after {} of {} bytes",
            SENT_CHUNKS * CHUNK,
            CHUNKS * CHUNK
        )),
        (Err(error), _) => record.say(format!("order {id} is not answered: {error}")),
    }
    let status = status.ok().flatten();
    Order { id, leaves, status }
}

/// Sends one order; no status if its client leaves.
fn send(
    number: usize,
    id: &str,
    to: SocketAddr,
    leaves: bool,
    record: &Record,
) -> std::io::Result<Option<u16>> {
    let body = body(number);
    let began = Instant::now();
    let mut connection = Connection::open(to, Duration::from_millis(TIMEOUT_MS))?;
    let head = format!(
        "POST /book/20 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {TIMEOUT_MS}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    record.say(format!(
        "order {id} begins: POST /book/20 at {to}, a body of {} bytes in chunks, hash {:016x}",
        body.len(),
        hash(&body)
    ));
    connection.write(head.as_bytes())?;
    for (index, chunk) in body.chunks(CHUNK).enumerate() {
        if leaves && index == SENT_CHUNKS {
            thread::sleep(LEAVES_AFTER.saturating_sub(began.elapsed()));
            return Ok(None);
        }
        connection.write(format!("{:x}\r\n", chunk.len()).as_bytes())?;
        connection.write(chunk)?;
        connection.write(b"\r\n")?;
    }
    connection.write(b"0\r\n\r\n")?;
    let head = connection.head()?;
    let head = head.ok_or_else(|| std::io::Error::other("closed without an answer"))?;
    connection.body(&head)?;
    Ok(Some(head.status()))
}

/// An upstream may run an order only with the body that its client has sent.
fn check(fleet: &Fleet, orders: &[Order]) -> Breaks {
    let numbers: HashMap<&str, usize> = orders
        .iter()
        .enumerate()
        .map(|(number, order)| (order.id.as_str(), number))
        .collect();
    let runs = fleet.upstreams.iter().flat_map(|upstream| upstream.runs());
    let mut breaks = Vec::new();
    for run in runs {
        let Some(&number) = numbers.get(run.id.as_str()) else {
            breaks.push(format!(
                "{} runs {}, which no client sent",
                run.upstream, run.id
            ));
            continue;
        };
        let sent = body(number);
        if run.hash != hash(&sent) {
            breaks.push(format!(
                "{} runs order {} with a body of {} bytes; its client meant {} bytes, and left before \
                 the end",
                run.upstream,
                run.id,
                run.length,
                sent.len()
            ));
            for line in fleet.logged(&run.id) {
                fleet.record.say(format!("log of {line}"));
            }
        }
    }
    breaks
}
