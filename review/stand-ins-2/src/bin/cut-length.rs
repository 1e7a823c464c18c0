//! Clients send long bodies with a length, which upstreams reject before they are in, and some of the
//! clients leave in the middle. Other clients send short requests meanwhile.
//!
//! Exits with 1 if an upstream got bytes of other requests where the rest of a body is due.

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
use stand_ins_2::upstream::{Run, Upstream};

const DEADLINE_MS: u64 = 1_500;
const UPLOADS: u32 = 10;
/// One client in five leaves, as in `give_up` of the site file.
const LEAVES_EACH: u32 = 5;
/// A body, and how much of it a client that leaves has sent. `max_body_bytes` is 67,108,864.
const BODY: usize = 240_000;
const SENT: usize = 120_000;
const PIECE: usize = 8_000;
/// A client that leaves does so this long after it has begun, before half of its objective.
const LEAVES_AFTER: Duration = Duration::from_millis(120);
/// An upstream rejects some long requests so long after their heads.
const EARLY_MS: u64 = 250;
/// The largest share of its answers for which it may do so, as in `garble`.
const EARLY_SHARE: f64 = 0.02;
/// Short requests, 8 ms apart.
const SHORT: u32 = 400;

/// What a client has done.
struct Seen {
    id: String,
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
    for (number, zone) in [(1, "longbien"), (2, "gialam"), (3, "dongda")] {
        let mut machine = Machine::new(&place, number, zone, "desk", store.address);
        let addresses = (machine.app, machine.control);
        let id = format!("i-{number}");
        let upstream = Upstream::start(&id, "desk", zone, addresses, 11, &runs);
        // One upstream of three, as in `garble`.
        upstream
            .early
            .store(number == 1, std::sync::atomic::Ordering::SeqCst);
        machine.start();
        machines.push(machine);
    }
    for machine in &machines {
        until("the daemon is ready", || machine.is_ready())?;
    }
    let mut probe = 0;
    until("all upstreams run requests", || {
        probe += 1;
        let _ = ask(machines[0].outbound, &format!("probe{probe}"));
        let runs = runs.lock().unwrap();
        ["i-1", "i-2", "i-3"]
            .iter()
            .all(|id| runs.iter().any(|run| run.upstream == *id))
    })?;

    let seen = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let address = machines[0].outbound;
    for number in 0..UPLOADS {
        let early = number % LEAVES_EACH == LEAVES_EACH - 1;
        let leaves = trouble && early;
        let seen = seen.clone();
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(200) * number);
            let id = format!("long{number}");
            let end = match upload(address, &id, early, leaves) {
                _ if leaves => "left".to_string(),
                Ok(Some(answer)) => format!("answered {}", answer.status()),
                Ok(None) => "no answer".to_string(),
                Err(error) => error.to_string(),
            };
            seen.lock().unwrap().push(Seen {
                id,
                left: leaves,
                end,
            });
        }));
    }
    for number in 0..SHORT {
        let seen = seen.clone();
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(8) * number);
            let id = format!("short{number}");
            let end = match order(address, &id) {
                Ok(Some(answer)) => format!("answered {}", answer.status()),
                Ok(None) => "no answer".to_string(),
                Err(error) => error.to_string(),
            };
            seen.lock().unwrap().push(Seen {
                id,
                left: false,
                end,
            });
        }));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed".to_string())?;
    }
    thread::sleep(Duration::from_millis(500));
    // Upstreams read on for the rest of bodies until their connections end.
    drop(machines);
    thread::sleep(Duration::from_millis(500));

    let mut text = String::new();
    let (mut foreign, mut unanswered) = (0, 0);
    let runs = runs.lock().unwrap();
    let mut seen = seen.lock().unwrap();
    seen.sort_by(|one, other| one.id.cmp(&other.id));
    for Seen { id, left, end } in seen.iter() {
        let mut got = Vec::new();
        for run in runs.iter().filter(|run| run.id == *id) {
            if !id.starts_with("long") {
                got.push(format!("run by {}", run.upstream));
                continue;
            }
            let whole = body(id);
            let same = run
                .body
                .iter()
                .zip(&whole)
                .take_while(|(one, other)| one == other);
            let same = same.count();
            let rest = &run.body[same..];
            foreign += u32::from(!rest.is_empty());
            let sample =
                String::from_utf8_lossy(&rest[..rest.len().min(120)]).replace("\r\n", " | ");
            got.push(format!(
                "{} got {same} bytes of the body and {} others {sample:?}",
                run.upstream,
                rest.len()
            ));
        }
        unanswered += u32::from(!left && end != "answered 200" && end != "answered 413");
        let _ = writeln!(text, "{id} left={left}, {end}, [{}]", got.join(", "));
    }
    let own = |run: &&Run| run.upstream == "i-1" && !run.id.starts_with("probe");
    let answers = runs.iter().filter(own).count();
    let early = runs
        .iter()
        .filter(own)
        .filter(|run| run.target.contains("early="))
        .count();
    let _ = writeln!(
        text,
        "i-1 answered {answers} requests, {early} of them early"
    );
    if early as f64 > EARLY_SHARE * answers as f64 {
        return Err(format!(
            "{early} of {answers} answers were early, more than allowed"
        ));
    }
    let _ = writeln!(
        text,
        "trouble={trouble} long={UPLOADS} short={SHORT} without their answer={unanswered} bodies with bytes of \
         other requests={foreign}: {}",
        if foreign > 0 {
            "UNASKED broken"
        } else {
            "held"
        }
    );
    Ok((text, foreign > 0))
}

/// The whole body of a request, which no other has.
fn body(id: &str) -> Vec<u8> {
    let seed: usize = id.bytes().map(usize::from).sum();
    (0..BODY)
        .map(|at| b'a' + ((at / 7 + seed + at) % 26) as u8)
        .collect()
}

/// Sends a body with a length; a client that leaves closes its connection in the middle.
fn upload(
    address: SocketAddr,
    id: &str,
    early: bool,
    leaves: bool,
) -> std::io::Result<Option<Message>> {
    let began = Instant::now();
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let query = match early {
        true => format!("early={EARLY_MS}"),
        false => "work=30".to_string(),
    };
    let head = format!(
        "POST /book/{id}?{query} HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: {DEADLINE_MS}\r\ncontent-length: {BODY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let whole = body(id);
    let mut sent = 0;
    for piece in whole.chunks(PIECE) {
        stream.write_all(piece)?;
        sent += piece.len();
        if leaves && sent >= SENT {
            thread::sleep(LEAVES_AFTER.saturating_sub(began.elapsed()));
            return Ok(None);
        }
        thread::sleep(Duration::from_millis(4));
    }
    Reader::new(stream).read(true)
}

/// Sends a short request of the same route.
fn order(address: SocketAddr, id: &str) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let head = format!(
        "POST /book/{id}?work=20 HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: {DEADLINE_MS}\r\ncontent-length: 5\r\n\r\norder"
    );
    stream.write_all(head.as_bytes())?;
    Reader::new(stream).read(true)
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
