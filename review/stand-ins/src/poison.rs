//! A request that crashes each upstream that runs it comes again, while the daemons are restarted in
//! turn.
//!
//! Behind its third crash it must not reach upstreams more than three times.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::Breaks;
use crate::fleet::{Fault, Fleet, config};
use crate::http::exchange;
use crate::record::Record;
use crate::upstream::{POISON, Run, Upstream};

const MACHINES: usize = 3;
const SLOTS: u64 = 15;
const TIMEOUT_MS: u64 = 1_000;

/// The request comes again at each machine in turn.
const POISON_PAUSE: Duration = Duration::from_millis(500);

/// Ordinary requests, at each machine in turn.
const ORDER_PAUSE: Duration = Duration::from_millis(50);

/// An upstream that has crashed is back after this time.
const BACK_AFTER: Duration = Duration::from_secs(2);

/// The time before the first restart, between two, and behind the last.
const RESTART_PAUSE: Duration = Duration::from_secs(20);

/// `stable_window_ms`, and how many retries the rule allows.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const ALLOWED: usize = 3;

/// All lives of the upstreams, each with its machine.
type Lives = Arc<Mutex<Vec<(usize, Upstream)>>>;

/// A span in which a daemon was not in touch, before the window.
struct Away {
    machine: usize,
    from: Duration,
    to: Duration,
}

/// One answer to a client.
struct Answer {
    id: String,
    machine: usize,
    status: u16,
}

pub fn play(record: &Record, trouble: bool) -> Result<Breaks, Fault> {
    let mut fleet = Fleet::start(
        &["desk"; MACHINES],
        SLOTS,
        config(7, TIMEOUT_MS, false),
        record,
    )?;
    record.say(format!("{MACHINES} machines are ready; trouble: {trouble}"));
    let lives = fleet.upstreams.iter().cloned().enumerate().collect();
    let lives: Lives = Arc::new(Mutex::new(lives));
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = vec![keep_alive(&fleet, &lives, &stop)];
    let answers = Arc::new(Mutex::new(Vec::new()));
    for (name, path, pause) in [
        ("order", "POST /book/30", ORDER_PAUSE),
        ("poison", "GET /read/poison/20", POISON_PAUSE),
    ] {
        tasks.push(send(&fleet, (name, path, pause), &answers, &stop));
    }
    let mut aways = Vec::new();
    for machine in 0..MACHINES {
        thread::sleep(RESTART_PAUSE);
        if trouble {
            aways.push(restart(&mut fleet, machine)?);
        }
    }
    thread::sleep(RESTART_PAUSE);
    stop.store(true, Ordering::SeqCst);
    for task in tasks {
        let _ = task.join();
    }
    let answers = answers.lock().unwrap();
    let count = |name: &str, status: u16| {
        let of_name = answers
            .iter()
            .filter(|answer: &&Answer| answer.id.starts_with(name));
        of_name
            .filter(|answer| status == 0 || answer.status == status)
            .count()
    };
    let (served, lost) = (count("order", 200), count("order", 502));
    record.say(format!(
        "{served} of {} orders were answered 200, and {lost} were lost (502)",
        count("order", 0)
    ));
    if served * 2 < count("order", 0) {
        return Err("fewer than half of the orders are served".into());
    }
    Ok(check(&fleet.record, &lives, &answers, &aways))
}

/// Starts an upstream anew some time after its crash.
fn keep_alive(fleet: &Fleet, lives: &Lives, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let places: Vec<_> = (0..MACHINES)
        .map(|machine| fleet.place(machine, "desk", SLOTS))
        .collect();
    let (lives, stop, record) = (lives.clone(), stop.clone(), fleet.record.clone());
    thread::spawn(move || {
        let mut number = MACHINES;
        let mut ended = [None; MACHINES];
        while !stop.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
            for (machine, place) in places.iter().enumerate() {
                let last = {
                    let lives = lives.lock().unwrap();
                    lives
                        .iter()
                        .rev()
                        .find(|(of, _)| *of == machine)
                        .map(|(_, life)| life.clone())
                };
                if !last.is_some_and(|life| life.has_ended()) {
                    continue;
                }
                let since = *ended[machine].get_or_insert(record.now());
                if record.now() - since < BACK_AFTER {
                    continue;
                }
                let life = format!("i-{number:08x}");
                if let Ok(upstream) = Upstream::start(&life, place.clone(), record.clone()) {
                    record.say(format!("{life} starts on machine {machine}"));
                    lives.lock().unwrap().push((machine, upstream));
                    ended[machine] = None;
                    number += 1;
                }
            }
        }
    })
}

/// Sends requests at each machine in turn, each on a connection of its own.
fn send(
    fleet: &Fleet,
    (name, path, pause): (&'static str, &'static str, Duration),
    answers: &Arc<Mutex<Vec<Answer>>>,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let places: Vec<_> = (0..MACHINES)
        .map(|machine| fleet.outbound(machine))
        .collect();
    let (answers, stop, record) = (answers.clone(), stop.clone(), fleet.record.clone());
    thread::spawn(move || {
        let mut clients = Vec::new();
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let machine = number % MACHINES;
            let id = format!("{name}-{number:08x}");
            let request = format!(
                "{path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\n\
                 X-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n"
            );
            let (to, answers, record) = (places[machine], answers.clone(), record.clone());
            clients.push(thread::spawn(move || {
                record.say(format!("{id} begins: {path} at machine {machine}"));
                let limit = Duration::from_millis(TIMEOUT_MS);
                let answered = exchange(to, request.as_bytes(), limit);
                let status = answered.map_or(0, |(head, _)| head.status());
                record.say(format!("{id} is answered {status}"));
                answers.lock().unwrap().push(Answer {
                    id,
                    machine,
                    status,
                });
            }));
            thread::sleep(pause);
        }
        for client in clients {
            let _ = client.join();
        }
    })
}

/// Stops a daemon as planned and starts it again.
fn restart(fleet: &mut Fleet, machine: usize) -> Result<Away, Fault> {
    let from = fleet.record.now();
    fleet
        .record
        .say(format!("the daemon of machine {machine} gets SIGTERM"));
    fleet.machines[machine].signal("TERM");
    while fleet.machines[machine].is_running() {
        thread::sleep(Duration::from_millis(10));
    }
    fleet.machines[machine].restart()?;
    let to = fleet.record.now();
    fleet
        .record
        .say(format!("the daemon of machine {machine} is started again"));
    fleet.wait_ready(machine)?;
    Ok(Away { machine, from, to })
}

fn check(record: &Record, lives: &Lives, answers: &[Answer], aways: &[Away]) -> Breaks {
    let lives = lives.lock().unwrap();
    let mut runs: Vec<(usize, Run)> = lives
        .iter()
        .flat_map(|(machine, life)| life.runs().into_iter().map(|run| (*machine, run)))
        .filter(|(_, run)| run.path.starts_with(POISON))
        .collect();
    runs.sort_by_key(|(_, run)| run.at);
    record.say(format!(
        "the request that crashes upstreams has run {} times",
        runs.len()
    ));
    let Some((_, third)) = runs.get(2) else {
        return Vec::new();
    };
    let since = third.at + STABLE_WINDOW;
    let is_in_touch = |machine: usize, at: Duration| {
        let mut aways = aways.iter().filter(|away| away.machine == machine);
        !aways.any(|away| at >= away.from && at < away.to + STABLE_WINDOW)
    };
    let entry = |id: &str| {
        answers
            .iter()
            .find(|answer| answer.id == id)
            .map(|a| a.machine)
    };
    let counted = runs.iter().filter(|(machine, run)| {
        let from = entry(&run.id).unwrap_or(*machine);
        run.at > since && is_in_touch(*machine, run.at) && is_in_touch(from, run.at)
    });
    let counted: Vec<&(usize, Run)> = counted.collect();
    record.say(format!(
        "{} of them count by the rule, {ALLOWED} are allowed",
        counted.len()
    ));
    let beyond = counted.iter().skip(ALLOWED);
    beyond
        .map(|(machine, run)| {
            format!(
                "{} on machine {machine} runs {} at {:.3} s, which has crashed three upstreams by {:.3} s",
                run.upstream,
                run.id,
                run.at.as_secs_f64(),
                third.at.as_secs_f64()
            )
        })
        .collect()
}
