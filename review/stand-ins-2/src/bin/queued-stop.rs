//! Requests wait for a slot at another machine, while the machine that took them is stopped as planned.
//!
//! Exits with 1 if the stop ends the connection of such a request without an answer, long before its
//! deadline.

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

/// As of `yard-map` of ahnq-mesh-grown, where `grace_s` is 6 too.
const DEADLINE_MS: u64 = 8_000;
/// That kind of request works 750 ms on average there, and 4,500 at most.
const WORK_MS: u64 = 40;
const LONG_WORK_MS: u64 = 4_500;
const SLOTS: usize = 4;
const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Requests of a machine come so often. That is a tenth of what the upstreams can do.
const EVERY: Duration = Duration::from_millis(100);
const WARM_UP: Duration = Duration::from_secs(3);
/// So many long requests come at the three machines: some for each slot.
const LONG: u32 = 3 * SLOTS as u32 + 6;
/// The first of them comes so long after the stop.
const LONG_AFTER: Duration = Duration::from_millis(1_000);
/// Clients get no new work two readiness checks, a second apart, after a stop; so long they send on.
const SENT_ON: Duration = Duration::from_millis(1_800);

/// What a client saw of one request.
struct Seen {
    id: String,
    machine: usize,
    sent: Instant,
    end: Result<u16, String>,
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
        Upstream::start(
            &format!("i-{number}"),
            "desk",
            zone,
            addresses,
            SLOTS,
            &runs,
        );
        machine.start();
        machines.push(machine);
    }
    for machine in &machines {
        until("the daemon is ready", || machine.is_ready())?;
    }
    let mut probe = 0;
    until("all upstreams run requests of all machines", || {
        probe += 1;
        for machine in &machines {
            let _ = ask(machine.outbound, &format!("probe{probe}"), "work=5");
        }
        let runs = runs.lock().unwrap();
        ["i-1", "i-2", "i-3"]
            .iter()
            .all(|id| runs.iter().filter(|run| run.upstream == *id).count() > 3)
    })?;

    let seen = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    let stop = began + WARM_UP;
    let mut clients = Vec::new();
    for machine in 0..3 {
        let address = machines[machine].outbound;
        let last = if machine == 0 {
            stop + SENT_ON
        } else {
            stop + GRACE
        };
        for number in 0.. {
            let at = began + EVERY * number + EVERY / 3 * machine as u32;
            if at > last {
                break;
            }
            let seen = seen.clone();
            clients.push(thread::spawn(move || {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                client(
                    &seen,
                    machine,
                    &format!("m{}-{number}", machine + 1),
                    address,
                    WORK_MS,
                );
            }));
        }
    }
    for number in 0..LONG {
        let machine = number as usize % 3;
        let address = machines[machine].outbound;
        let seen = seen.clone();
        let at = stop + LONG_AFTER + Duration::from_millis(5) * number;
        clients.push(thread::spawn(move || {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            client(
                &seen,
                machine,
                &format!("long{number}"),
                address,
                LONG_WORK_MS,
            );
        }));
    }
    thread::sleep(stop.saturating_duration_since(Instant::now()));
    if trouble {
        machines[0].signal("TERM");
    }
    for client in clients {
        client.join().map_err(|_| "a client failed".to_string())?;
    }
    let mut text = String::new();
    let runs = runs.lock().unwrap();
    let mut lost = 0;
    let mut seen = seen.lock().unwrap();
    seen.sort_by_key(|seen| seen.sent);
    let since = |at: Instant| match at.checked_duration_since(stop) {
        Some(later) => later.as_secs_f64(),
        None => -stop.duration_since(at).as_secs_f64(),
    };
    for Seen {
        id,
        machine,
        sent,
        end,
        at,
    } in seen.iter()
    {
        let ran: Vec<String> = runs
            .iter()
            .filter(|run| run.id == *id)
            .map(|run| format!("{} at {:.3}", run.upstream, since(run.began)))
            .collect();
        let waited = at.duration_since(*sent);
        // One that an upstream was at work on at the end of the grace period is excused.
        let is_lost = end.is_err()
            && *machine == 0
            && ran.is_empty()
            && waited > LOSS_SLACK
            && waited < Duration::from_millis(DEADLINE_MS);
        lost += u32::from(is_lost);
        let end = match end {
            Ok(status) => format!("answered {status}"),
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
    let _ = writeln!(
        text,
        "trouble={trouble} requests={} cut off while they waited={lost}: {}",
        seen.len(),
        if lost > 0 { "LOST broken" } else { "held" }
    );
    Ok((text, lost > 0))
}

/// Sends one request and notes what came of it.
fn client(seen: &Mutex<Vec<Seen>>, machine: usize, id: &str, address: SocketAddr, work: u64) {
    let sent = Instant::now();
    let end = match ask(address, id, &format!("work={work}")) {
        Ok(Some(answer)) => Ok(answer.status()),
        Ok(None) => Err("the connection ended".to_string()),
        Err(error) => Err(error.to_string()),
    };
    let at = Instant::now();
    seen.lock().unwrap().push(Seen {
        id: id.to_string(),
        machine,
        sent,
        end,
        at,
    });
}

fn ask(address: SocketAddr, id: &str, query: &str) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 1_000)))?;
    let head = format!(
        "GET /read/{id}?{query} HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: {DEADLINE_MS}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    Reader::new(stream).read(true)
}
