//! The pacer under tokio, shared by all answers of a daemon.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use parking_lot::Mutex;
use serde::Serialize;
use tokio::time::{Instant, Sleep, sleep_until};
use unit::Bandwidth;

use crate::class::{Class, IMMEDIATE_BYTES};
use crate::pacer::{Pacer, Turn, Verdict};

/// The outgoing link of a daemon. Clones are the same link.
#[derive(Debug, Clone)]
pub struct Link {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    pacer: Pacer,
    /// Wakers of the pieces that wait behind others.
    wakers: HashMap<Turn, Waker>,
    /// Bytes of long answers that are known and not yet written.
    unwritten: u64,
    /// Smoothed size of the answers of bulk requests, in bytes.
    bulk_bytes: f64,
    /// Bulk requests whose answers are expected.
    expected: u32,
    written: u64,
    paced: u64,
    waited: Duration,
}

/// The state of a link for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Dump {
    /// The rate of the link in bits per second.
    pub bits_per_second: u64,
    /// Microseconds that the link needs for what has been written.
    pub backlog_us: u64,
    /// Bytes of long answers that wait to be written.
    pub unwritten: u64,
    /// Long answers that wait to write a piece.
    pub queued: usize,
    /// Bytes of answers written so far.
    pub written: u64,
    /// Those of them that were pieces of long answers.
    pub paced: u64,
    /// Microseconds that pieces of long answers have waited, as a sum.
    pub waited_us: u64,
}

impl Link {
    /// The link of a machine, which sends `rate`.
    pub fn new(rate: Bandwidth) -> Link {
        let state = State {
            pacer: Pacer::new(Instant::now(), rate),
            wakers: HashMap::new(),
            unwritten: 0,
            bulk_bytes: 0.0,
            expected: 0,
            written: 0,
            paced: 0,
            waited: Duration::ZERO,
        };
        Link {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Counts bytes of a short answer, or of the head of any, which are written at once.
    pub fn record(&self, bytes: usize) {
        let mut state = self.state.lock();
        state.written += bytes as u64;
        state.pacer.record(Instant::now(), bytes as u64);
    }

    /// Begins the body of an answer. That of a `bulk` route is paced from its first byte.
    pub fn answer(&self, bulk: bool) -> Answer {
        Answer {
            link: self.clone(),
            bulk,
            is_long: false,
            began: Instant::now(),
            sent: 0,
            expected: 0,
            wait: None,
        }
    }

    /// Time until the link has sent what is written, and what is known or expected to follow.
    pub fn backlog(&self) -> Duration {
        self.state.lock().backlog()
    }

    /// Time until the link has sent the answer of a further bulk request.
    pub fn delivery(&self) -> Duration {
        let state = self.state.lock();
        let own = state.pacer.rate().time_of_bytes(state.bulk_bytes);
        state.backlog() + own
    }

    /// Counts the answer of a bulk request as expected until the guard is dropped.
    pub fn expect_bulk(&self) -> Expected {
        self.state.lock().expected += 1;
        Expected { link: self.clone() }
    }

    /// Bytes of long answers that are known and not yet written.
    pub fn unwritten(&self) -> u64 {
        self.state.lock().unwritten
    }

    /// The rate of the link.
    pub fn rate(&self) -> Bandwidth {
        self.state.lock().pacer.rate()
    }

    /// The state of this link.
    pub fn dump(&self) -> Dump {
        let state = self.state.lock();
        Dump {
            bits_per_second: state.pacer.rate().bits_per_second(),
            backlog_us: state.pacer.backlog(Instant::now()).as_micros() as u64,
            unwritten: state.unwritten,
            queued: state.pacer.queued(),
            written: state.written,
            paced: state.paced,
            waited_us: state.waited.as_micros() as u64,
        }
    }
}

/// The expected answer of one bulk request.
#[derive(Debug)]
pub struct Expected {
    link: Link,
}

impl Drop for Expected {
    fn drop(&mut self) {
        self.link.state.lock().expected -= 1;
    }
}

/// Weight of one answer in the smoothed size of bulk answers.
const BULK_STEP: f64 = 0.1;

impl State {
    fn backlog(&self) -> Duration {
        let expected = f64::from(self.expected) * self.bulk_bytes;
        let follows = self.unwritten as f64 + expected;
        let rate = self.pacer.rate();
        self.pacer.backlog(Instant::now()) + rate.time_of_bytes(follows)
    }

    fn record_bulk(&mut self, bytes: u64) {
        let bytes = bytes as f64;
        let step = if self.bulk_bytes > 0.0 {
            BULK_STEP
        } else {
            1.0
        };
        self.bulk_bytes += (bytes - self.bulk_bytes) * step;
    }

    /// Ends a turn and wakes the piece that is next.
    fn end(&mut self, now: Instant, turn: Turn) {
        self.pacer.leave(now, turn);
        self.wakers.remove(&turn);
        let next = self.pacer.next();
        if let Some(waker) = next.and_then(|next| self.wakers.remove(&next)) {
            waker.wake();
        }
    }
}

/// The body of one answer on its way to the link. Dropping it removes it from the queue.
#[derive(Debug)]
pub struct Answer {
    link: Link,
    bulk: bool,
    /// Whether more was announced at once than is written immediately.
    is_long: bool,
    began: Instant,
    sent: u64,
    /// Bytes that were announced by [`Answer::expect`] and are not yet written.
    expected: u64,
    wait: Option<Wait>,
}

/// The wait of one piece.
#[derive(Debug)]
struct Wait {
    turn: Turn,
    since: Instant,
    /// Set once the piece was the next one and had to wait for the backlog.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Answer {
    /// Announces that `bytes` more of this answer follow, for [`Link::backlog`]. An answer that is known
    /// to be long is paced from its first byte.
    pub fn expect(&mut self, bytes: usize) {
        self.expected += bytes as u64;
        self.is_long |= self.expected > IMMEDIATE_BYTES;
        self.link.state.lock().unwritten += bytes as u64;
    }

    /// Whether the next piece is paced.
    pub fn is_paced(&self) -> bool {
        Class::of(self.sent, self.bulk || self.is_long) == Class::Paced
    }

    /// Waits until some of the `bytes` at hand may be written and returns how many, which are then
    /// counted as written. Dropping the future keeps the place in the queue.
    pub async fn acquire(&mut self, bytes: usize) -> usize {
        std::future::poll_fn(|context| self.poll_acquire(context, bytes)).await
    }

    /// Like [`Answer::acquire`], for a poll. A caller that is pending must poll until it is ready
    /// or drop the answer, because other answers wait behind it.
    pub fn poll_acquire(&mut self, context: &mut Context<'_>, bytes: usize) -> Poll<usize> {
        if !self.is_paced() {
            let room = (IMMEDIATE_BYTES - self.sent) as usize;
            let bytes = bytes.min(room);
            self.link.record(bytes);
            self.count(bytes);
            return Poll::Ready(bytes);
        }
        loop {
            let now = Instant::now();
            let mut state = self.link.state.lock();
            let wait = self.wait.get_or_insert_with(|| {
                let turn = state.pacer.join(now, self.began);
                let left = self.expected.max(bytes as u64);
                state.pacer.expect(now, turn, left);
                Wait {
                    turn,
                    since: now,
                    timer: None,
                }
            });
            match state.pacer.claim(now, wait.turn, bytes) {
                Verdict::Write(bytes) => {
                    state.end(now, wait.turn);
                    state.written += bytes as u64;
                    state.paced += bytes as u64;
                    state.waited += now - wait.since;
                    drop(state);
                    self.wait = None;
                    self.count(bytes);
                    return Poll::Ready(bytes);
                }
                Verdict::Queued => {
                    let waker = context.waker().clone();
                    state.wakers.insert(wait.turn, waker);
                    return Poll::Pending;
                }
                Verdict::Until(at) => {
                    drop(state);
                    let timer = match &mut wait.timer {
                        Some(timer) => {
                            timer.as_mut().reset(at);
                            timer
                        }
                        None => wait.timer.insert(Box::pin(sleep_until(at))),
                    };
                    if timer.as_mut().poll(context).is_pending() {
                        return Poll::Pending;
                    }
                }
            }
        }
    }

    fn count(&mut self, bytes: usize) {
        self.sent += bytes as u64;
        self.forget(bytes as u64);
    }

    fn forget(&mut self, bytes: u64) {
        let bytes = bytes.min(self.expected);
        if bytes > 0 {
            self.expected -= bytes;
            self.link.state.lock().unwritten -= bytes;
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if self.bulk && self.sent > 0 {
            self.link.state.lock().record_bulk(self.sent);
        }
        self.forget(self.expected);
        if let Some(wait) = self.wait.take() {
            self.link.state.lock().end(Instant::now(), wait.turn);
        }
    }
}
