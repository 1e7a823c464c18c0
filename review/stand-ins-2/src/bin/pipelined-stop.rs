//! Clients send a second idempotent request behind the first one on a connection, while the machine
//! that takes them is stopped as planned.
//!
//! Exits with 1 if a request that an upstream began to work on got no complete answer.

use std::fmt::Write as _;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stand_ins_2::daemon::{Machine, Place, until, watch_the_time};
use stand_ins_2::http::{Message, Reader};
use stand_ins_2::store::Store;
use stand_ins_2::upstream::Upstream;
use stand_ins_2::{config, distance};

/// One way between a client and its machine.
const DISTANCE: Duration = Duration::from_millis(8);
const CONNECTIONS: u64 = 60;
const DEADLINE_MS: u64 = 2_000;

/// What a client saw of one request.
struct Seen {
    id: String,
    sent: Instant,
    /// The status and length of a whole answer, or why there is none.
    end: Result<(u16, usize), String>,
    at: Instant,
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
        Upstream::start(&format!("i-{number}"), "desk", zone, addresses, 40, &runs);
        machine.start();
        machines.push(machine);
    }
    for machine in &machines {
        until("the daemon is ready", || machine.is_ready())?;
    }
    // All upstreams are known where the requests begin once all have run some of them.
    let mut probe = 0;
    until("all upstreams run requests", || {
        probe += 1;
        let _ = ask_once(machines[0].outbound, &format!("probe{probe}"));
        let runs = runs.lock().unwrap();
        ["i-1", "i-2", "i-3"]
            .iter()
            .all(|id| runs.iter().any(|run| run.upstream == *id))
    })?;
    let way = place.free(8);
    distance::start(way, machines[0].outbound, DISTANCE);

    let seen = Arc::new(Mutex::new(Vec::new()));
    let start = Instant::now() + Duration::from_millis(300);
    let mut clients = Vec::new();
    for number in 0..CONNECTIONS {
        let seen = seen.clone();
        clients.push(thread::spawn(move || client(number, way, start, &seen)));
    }
    thread::sleep(start.saturating_duration_since(Instant::now()));
    if trouble {
        machines[0].signal("TERM");
    }
    for client in clients {
        client.join().map_err(|_| "a client failed".to_string())??;
    }
    thread::sleep(Duration::from_millis(300));
    let mut text = String::new();
    let since = |at: Instant| at.saturating_duration_since(start).as_secs_f64();
    let mut lost = 0;
    let runs = runs.lock().unwrap();
    for Seen { id, sent, end, at } in seen.lock().unwrap().iter() {
        let ran = runs.iter().filter(|run| run.id == *id);
        let ran: Vec<String> = ran
            .map(|run| format!("{} at {:.3}", run.upstream, since(run.began)))
            .collect();
        let took = at.saturating_duration_since(*sent);
        let in_time = took < Duration::from_millis(DEADLINE_MS);
        let is_lost = end.is_err() && !ran.is_empty() && in_time;
        lost += u32::from(is_lost);
        let end = match end {
            Ok((status, bytes)) => format!("answered {status} with {bytes} bytes"),
            Err(cause) => format!("no answer: {cause}"),
        };
        let mark = if is_lost { " LOST" } else { "" };
        let _ = writeln!(
            text,
            "{id} sent {:.3} {end} at {:.3}, run by [{}]{mark}",
            since(*sent),
            since(*at),
            ran.join(", ")
        );
    }
    let count = seen.lock().unwrap().len();
    let _ = writeln!(
        text,
        "trouble={trouble} requests={count} run and not answered={lost}: {}",
        if lost > 0 { "LOST broken" } else { "held" }
    );
    Ok((text, lost > 0))
}

fn request(id: &str, query: &str) -> String {
    format!(
        "GET /read/{id}?{query} HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: {DEADLINE_MS}\r\n\r\n"
    )
}

fn ask_once(address: SocketAddr, id: &str) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    stream.write_all(request(id, "work=5").as_bytes())?;
    Reader::new(stream).read(true)
}

/// Sends a request whose answer comes in pieces, and another one behind it, before the first has been
/// answered. It sends none behind an answer that says that the connection closes.
fn client(
    number: u64,
    way: SocketAddr,
    start: Instant,
    seen: &Mutex<Vec<Seen>>,
) -> Result<(), String> {
    let text = |error: std::io::Error| error.to_string();
    let begin = start + Duration::from_millis(50 + number * 12);
    let behind = begin + Duration::from_millis(150 + number % 40);
    let mut stream = TcpStream::connect(way).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    stream
        .set_read_timeout(Some(Duration::from_secs(4)))
        .map_err(text)?;
    thread::sleep(begin.saturating_duration_since(Instant::now()));
    let first = format!("a{number}");
    let second = format!("b{number}");
    let sent = Instant::now();
    stream
        .write_all(request(&first, "work=60&bytes=20000&parts=6&gap=40").as_bytes())
        .map_err(text)?;
    let answering = Arc::new(AtomicBool::new(false));
    let flag = answering.clone();
    let reading = stream.try_clone().map_err(text)?;
    let reader = thread::spawn(move || {
        // The head of the first answer: from then on the client knows whether the connection closes.
        let _ = reading.peek(&mut [0]);
        flag.store(true, Ordering::SeqCst);
        let mut reader = Reader::new(reading);
        let first = (reader.read(true), Instant::now());
        let closes =
            matches!(&first.0, Ok(Some(answer)) if answer.field("connection") == Some("close"));
        let second = (reader.read(true), Instant::now());
        (first, closes, second)
    });
    thread::sleep(behind.saturating_duration_since(Instant::now()));
    // A client that has begun to read an answer may have read that the connection closes.
    let is_behind = !answering.load(Ordering::SeqCst);
    let sent_behind = Instant::now();
    if is_behind {
        stream
            .write_all(request(&second, "work=30").as_bytes())
            .map_err(text)?;
    }
    // Without a second request there is nothing more to wait for.
    let ((end, at), _closes, (end_behind, at_behind)) = match is_behind {
        true => reader.join().map_err(|_| "a reader failed".to_string())?,
        false => {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(800)));
            reader.join().map_err(|_| "a reader failed".to_string())?
        }
    };
    let mut seen = seen.lock().unwrap();
    seen.push(Seen {
        id: first,
        sent,
        end: outcome(end),
        at,
    });
    if is_behind {
        seen.push(Seen {
            id: second,
            sent: sent_behind,
            end: outcome(end_behind),
            at: at_behind,
        });
    }
    Ok(())
}

fn outcome(read: std::io::Result<Option<Message>>) -> Result<(u16, usize), String> {
    match read {
        Ok(Some(answer)) => Ok((answer.status(), answer.body.len())),
        Ok(None) => Err("the connection ended".to_string()),
        Err(error) => Err(error.to_string()),
    }
}
