//! Measures the processor time per request and the memory per remembered token.
//!
//! `cargo run --release -p gate --example cost`

use std::time::Duration;

use gate::{Builder, Core, End, Event, Id, Request, Verdict};
use tokio::time::Instant;
use unit::{Digest, Token, Urgency};

const REQUESTS: u32 = 1_000_000;
const TOKENS: u32 = 98_304;

fn request(now: Instant, token: u32, callers: u32) -> Request {
    let caller = format!("desk@member-{}", token % callers);
    Request {
        token: Token(u128::from(token) << 64 | 0x5bd1),
        urgency: Urgency::Routine,
        caller: caller.parse().expect("a caller"),
        weight: 1,
        deadline: now + Duration::from_millis(1500),
        kind: Digest(0),
        nested: false,
        goal: None,
        class: 0,
        elsewhere: false,
        bulk: false,
    }
}

fn finish(core: &mut Core, now: Instant, id: Id, running: &mut Vec<Id>) {
    core.dispatch(now, id);
    let latency = Duration::from_millis(10);
    core.finish(now, id, End::Answered { latency });
    for event in core.poll(now) {
        if let Event::Start { id } = event {
            running.push(id);
        }
    }
}

/// Measures the time per request while about `waiting` requests are in the queue.
fn measure_time(waiting: u32) {
    let mut now = Instant::now();
    let grace = Duration::from_millis(1);
    let mut core = Builder::new(10).grace(grace).core(now);
    let mut running = Vec::new();
    let started = std::time::Instant::now();
    for token in 0..REQUESTS {
        now += Duration::from_micros(1000);
        if let Verdict::Start(id) = core.offer(now, request(now, token, 64)) {
            running.push(id);
        }
        if core.queued() >= waiting as usize
            && let Some(id) = running.pop()
        {
            finish(&mut core, now, id, &mut running);
        }
    }
    let each = started.elapsed() / REQUESTS;
    println!("{waiting} waiting: {each:?} a request");
}

/// The resident memory of this process in bytes; 0 if it can't be read.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0u64) * 4096
}

fn main() {
    measure_time(0);
    measure_time(100);
    let now = Instant::now();
    let mut core = Builder::new(10).core(now);
    let before = resident_bytes();
    for token in 0..TOKENS {
        if let Verdict::Start(id) = core.offer(now, request(now, token, 64)) {
            finish(&mut core, now, id, &mut Vec::new());
        }
    }
    let held = core.dump(now).tokens;
    let bytes = (resident_bytes() - before) / held as u64;
    println!("{held} tokens held: {bytes} bytes each");
}
