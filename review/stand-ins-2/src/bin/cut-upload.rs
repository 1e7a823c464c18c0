//! Clients upload long bodies in chunks on a route that may run once at most, and some of them leave
//! in the middle.
//!
//! Exits with 1 if an upstream ran a request with a body that no client had sent to its end.

use std::fmt::Write as _;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stand_ins_2::config;
use stand_ins_2::daemon::{Machine, Place, until, watch_the_time};
use stand_ins_2::http::{Message, Reader};
use stand_ins_2::store::Store;
use stand_ins_2::upstream::Upstream;

const DEADLINE_MS: u64 = 2_000;
const UPLOADS: u32 = 10;
/// One client in five leaves, as in `give_up` of the site file.
const LEAVES_EACH: u32 = 5;
/// A body, and how much of it a client that leaves has sent. `max_body_bytes` is 67,108,864.
const BODY: usize = 240_000;
const SENT: usize = 120_000;
const CHUNK: usize = 8_000;
/// A client that leaves does so this long after it has begun, before half of its deadline.
const LEAVES_AFTER: Duration = Duration::from_millis(600);

/// What a client has done.
struct Seen {
    id: String,
    sent: usize,
    left: bool,
    end: String,
}

fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = std::env::args().nth(1).expect("the path of the record");
    watch_the_time();
    match play(trouble) {
        Ok((text, broken)) => {
            std::fs::write(record, &text).expect("the record");
            println!("{}", text.lines().last().unwrap_or(""));
            ExitCode::from(u8::from(broken))
        }
        Err(cause) => {
            std::fs::write(record, format!("could not run: {cause}\n")).expect("the record");
            eprintln!("could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

fn play(trouble: bool) -> Result<(String, bool), String> {
    let place = Place::new();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start(place.free(9));
    store.configure(config(3, "desk", DEADLINE_MS));
    let mut machines = Vec::new();
    for (number, zone) in [(1, "longbien"), (2, "gialam")] {
        let mut machine = Machine::new(&place, number, zone, "desk", store.address);
        let addresses = (machine.app, machine.control);
        Upstream::start(&format!("i-{number}"), "desk", zone, addresses, 11, &runs);
        machine.start();
        machines.push(machine);
    }
    for machine in &machines {
        until("the daemon is ready", || machine.is_ready())?;
    }
    let mut probe = 0;
    until("both upstreams run requests", || {
        probe += 1;
        let _ = ask(machines[0].outbound, &format!("probe{probe}"));
        let runs = runs.lock().unwrap();
        ["i-1", "i-2"]
            .iter()
            .all(|id| runs.iter().any(|run| run.upstream == *id))
    })?;

    let start = Instant::now();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..UPLOADS {
        let address = machines[0].outbound;
        let leaves = trouble && number % LEAVES_EACH == LEAVES_EACH - 1;
        let seen = seen.clone();
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(100) * number);
            let id = format!("u{number}");
            let result = upload(address, &id, leaves);
            let (sent, end) = match result {
                Ok((sent, Some(answer))) => (sent, format!("answered {}", answer.status())),
                Ok((sent, None)) if leaves => (sent, "left".to_string()),
                Ok((sent, None)) => (sent, "no answer".to_string()),
                Err(error) => (0, error.to_string()),
            };
            seen.lock().unwrap().push(Seen {
                id,
                sent,
                left: leaves,
                end,
            });
        }));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed".to_string())?;
    }
    thread::sleep(Duration::from_millis(DEADLINE_MS));

    let mut text = String::new();
    let mut changed = 0;
    let mut answered = 0;
    let runs = runs.lock().unwrap();
    let mut seen = seen.lock().unwrap();
    seen.sort_by(|one, other| one.id.cmp(&other.id));
    for Seen {
        id,
        sent,
        left,
        end,
    } in seen.iter()
    {
        let whole = body(id);
        answered += u32::from(end == "answered 200");
        let mut ran = Vec::new();
        for run in runs.iter().filter(|run| run.id == *id) {
            let is_whole = run.body == whole;
            changed += u32::from(!is_whole);
            let mark = if is_whole { "whole" } else { "CHANGED" };
            ran.push(format!(
                "{} at {:.3} with a body of {} bytes, {mark}",
                run.upstream,
                run.began.duration_since(start).as_secs_f64(),
                run.body.len()
            ));
        }
        let _ = writeln!(
            text,
            "{id} sent {sent} of {BODY} bytes, left={left}, {end}, run by [{}]",
            ran.join(", ")
        );
    }
    let _ = writeln!(
        text,
        "trouble={trouble} uploads={UPLOADS} answered 200={answered} run with a changed body={changed}: {}",
        if changed > 0 {
            "UNASKED broken"
        } else {
            "held"
        }
    );
    if !trouble && answered < UPLOADS {
        return Err(format!(
            "only {answered} of {UPLOADS} whole uploads were answered"
        ));
    }
    Ok((text, changed > 0))
}

/// The whole body of a request, which no other has.
fn body(id: &str) -> Vec<u8> {
    let seed: usize = id.bytes().map(usize::from).sum();
    (0..BODY)
        .map(|at| b'a' + ((at / 7 + seed + at) % 26) as u8)
        .collect()
}

/// Uploads a body in chunks; one that leaves closes its connection in the middle.
fn upload(
    address: SocketAddr,
    id: &str,
    leaves: bool,
) -> std::io::Result<(usize, Option<Message>)> {
    let began = Instant::now();
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let head = format!(
        "POST /book/{id} HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: {DEADLINE_MS}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let whole = body(id);
    let mut sent = 0;
    for chunk in whole.chunks(CHUNK) {
        let mut bytes = format!("{:x}\r\n", chunk.len()).into_bytes();
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
        stream.write_all(&bytes)?;
        sent += chunk.len();
        if leaves && sent >= SENT {
            thread::sleep(LEAVES_AFTER.saturating_sub(began.elapsed()));
            return Ok((sent, None));
        }
        thread::sleep(Duration::from_millis(5));
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok((sent, Reader::new(stream).read(true)?))
}

fn ask(address: SocketAddr, id: &str) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let head = format!(
        "GET /read/{id}?work=5 HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: {DEADLINE_MS}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    Reader::new(stream).read(true)
}
