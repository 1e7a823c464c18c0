//! What the gate costs: processor time of a request, memory of tokens and callers.

use std::time::Duration;

use gate::{Builder, Core, End, Event, Id, Request, Verdict};
use serde::Serialize;
use tokio::time::Instant;
use unit::{Digest, Token, Urgency};

use super::slope::Slope;
use super::system::{Outcome, grown, thread_cpu};

const REQUESTS: u32 = 100_000;
const RUNS: usize = 5;
/// Below three quarters of the table, at which new requests are refused.
const TOKENS: [usize; 3] = [10_000, 40_000, 90_000];
const CALLERS: [usize; 3] = [1_000, 4_000, 9_000];

/// What was measured of the gate.
#[derive(Debug, Clone, Serialize)]
pub struct Gates {
    /// Microseconds of processor time of a request with so many waiting.
    pub request: Slope,
    /// Bytes of memory of remembered tokens.
    pub tokens: Slope,
    /// Bytes of memory of waiting requests, each of a caller of its own.
    pub callers: Slope,
}

/// Measures the gate's core, without I/O.
pub(crate) fn measure() -> Outcome<Gates> {
    let tokens = TOKENS.map(|size| Ok((size, tokens(size)?)));
    let tokens = tokens.into_iter().collect::<Outcome<Vec<_>>>()?;
    let callers = CALLERS.map(|size| Ok((size, callers(size)?)));
    let callers = callers.into_iter().collect::<Outcome<Vec<_>>>()?;
    let request = [0, 10, 100].map(|waiting| Ok((waiting, least(waiting)?)));
    let request = request.into_iter().collect::<Outcome<Vec<_>>>()?;
    Ok(Gates {
        request: Slope::of("gate, CPU us a request", "waiting", &request),
        tokens: Slope::of("gate, bytes of memory", "tokens", &tokens),
        callers: Slope::of("gate, bytes of memory", "callers waiting", &callers),
    })
}

fn request(now: Instant, token: u32, callers: u32) -> Outcome<Request> {
    let caller = format!("desk-{}@member-{}", token % callers, token % callers % 500);
    Ok(Request {
        token: Token(u128::from(token) << 64 | 0x5bd1),
        urgency: Urgency::Routine,
        caller: caller.parse()?,
        weight: 1,
        deadline: now + Duration::from_millis(1_500),
        kind: Digest(0),
        nested: false,
        goal: None,
        class: 0,
        elsewhere: false,
        bulk: false,
    })
}

fn end(core: &mut Core, now: Instant, id: Id, running: &mut Vec<Id>) {
    core.dispatch(now, id);
    let latency = Duration::from_millis(10);
    core.finish(now, id, End::Answered { latency });
    for event in core.poll(now) {
        if let Event::Start { id } = event {
            running.push(id);
        }
    }
}

/// The least of several runs, since other load of the machine only adds.
fn least(waiting: usize) -> Outcome<f64> {
    let runs = (0..RUNS).map(|_| spent(waiting));
    let runs = runs.collect::<Outcome<Vec<_>>>()?;
    Ok(runs.into_iter().fold(f64::MAX, f64::min))
}

/// Microseconds of a request while so many wait.
fn spent(waiting: usize) -> Outcome<f64> {
    let mut now = Instant::now();
    let grace = Duration::from_millis(1);
    let mut core = Builder::new(10).grace(grace).core(now);
    let mut running = Vec::new();
    let before = thread_cpu()?;
    for token in 0..REQUESTS {
        now += Duration::from_millis(1);
        if let Verdict::Start(id) = core.offer(now, request(now, token, 64)?) {
            running.push(id);
        }
        if core.queued() >= waiting
            && let Some(id) = running.pop()
        {
            end(&mut core, now, id, &mut running);
        }
    }
    Ok((thread_cpu()? - before) * 1e6 / f64::from(REQUESTS))
}

/// Memory of a gate that remembers so many tokens.
fn tokens(size: usize) -> Outcome<f64> {
    let now = Instant::now();
    let mut core = Builder::new(10).core(now);
    let fill = || {
        for token in 0..size as u32 {
            if let Verdict::Start(id) = core.offer(now, request(now, token, 64)?) {
                end(&mut core, now, id, &mut Vec::new());
            }
        }
        Outcome::Ok(core)
    };
    let (core, bytes) = grown(fill)?;
    std::mem::forget(core?);
    Ok(bytes)
}

/// Memory of a gate at which so many callers wait with a request each.
fn callers(size: usize) -> Outcome<f64> {
    let now = Instant::now();
    let wait = Duration::from_secs(3_600);
    let mut core = Builder::new(10).queue(size * 2).wait(wait).core(now);
    let fill = || {
        for token in 0..size as u32 {
            let mut request = request(now, token, u32::MAX)?;
            request.deadline = now + wait;
            core.offer(now, request);
        }
        Outcome::Ok(core)
    };
    let (core, bytes) = grown(fill)?;
    let core = core?;
    let held = core.queued() as f64;
    std::mem::forget(core);
    // The first ones run; what is said is for as many as were asked.
    Ok(bytes * size as f64 / held.max(1.0))
}
