//! Answers of requests that may not be repeated, kept for those who ask after their token.
//!
//! When a link is lost under such a request, the entry can't send it anew. It asks the gate after
//! the token instead, and gets the answer from here. The store of answers is bounded in bytes, records
//! and heads included, and in time; an answer that is too large or too old is gone, and the entry then says "unknown"
//! with what it knows. Nothing runs twice either way. The entry that holds a claim keeps the answer
//! too, for a caller that sends its request again.
//!
//! ```
//! use held::Table;
//! use unit::{Size, Token};
//!
//! let table = Table::new(Size::of(1_000_000), std::time::Duration::from_secs(60));
//! let running = table.begin(Token(7));
//! assert_eq!(table.bytes(), Size::of(0));
//! drop(running);
//! assert_eq!(table.bytes(), Size::of(1_024), "that it ran is kept for a while");
//! ```

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use timer::timeout_at;
use tokio::sync::watch;
use tokio::time::Instant;
use unit::{Size, Token};
use wire::Reply;

/// Largest body that is kept.
pub const MAX_BODY: usize = 256 << 10;

/// What the record of a token takes beside its answer.
const RECORD_BYTES: usize = 1_024;

/// What a header takes beside its name and value.
const HEADER_BYTES: usize = 64;

/// A complete answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Its head.
    pub reply: Reply,
    /// Its body, at most [`MAX_BODY`].
    pub body: Bytes,
}

#[derive(Debug, Clone)]
enum State {
    Running,
    /// Ended; the answer is there if it was small enough and came to its end.
    Done(Option<Answer>),
}

/// The answers that one daemon keeps; clones share the table.
#[derive(Clone)]
pub struct Table {
    bound: Size,
    age: Duration,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    states: HashMap<Token, watch::Sender<State>>,
    ended: VecDeque<Ended>,
    bytes: u64,
}

struct Ended {
    token: Token,
    at: Instant,
    bytes: u64,
}

/// One request that runs; dropped without an answer, it counts as ended without one.
#[must_use = "a dropped guard ends the request without an answer"]
pub struct Running {
    table: Table,
    token: Token,
    answer: Option<Answer>,
}

/// What is known of a token.
#[derive(Debug, Clone, PartialEq)]
pub enum Found {
    /// Nothing: it never began here, or was dropped for its age.
    Nothing,
    /// It still runs.
    Running,
    /// It ended, and its answer is gone or never was whole.
    Ended,
    /// It ended with this answer.
    Answer(Answer),
}

impl Table {
    /// Keeps at most about `bound` bytes of records and answers, each for `age`.
    pub fn new(bound: Size, age: Duration) -> Table {
        Table {
            bound,
            age,
            inner: Arc::default(),
        }
    }

    /// Marks `token` as running until the guard is dropped.
    pub fn begin(&self, token: Token) -> Running {
        let (state, _) = watch::channel(State::Running);
        self.inner.lock().states.insert(token, state);
        Running {
            table: self.clone(),
            token,
            answer: None,
        }
    }

    /// What is known of `token`, once it has ended or `until` has come.
    pub async fn wait(&self, token: Token, until: Instant) -> Found {
        let state = self
            .inner
            .lock()
            .states
            .get(&token)
            .map(watch::Sender::subscribe);
        let Some(mut state) = state else {
            return Found::Nothing;
        };
        let done = state.wait_for(|state| matches!(state, State::Done(_)));
        match timeout_at(until, done).await {
            Ok(Ok(state)) => state.found(),
            Ok(Err(_)) => Found::Nothing,
            Err(_) => Found::Running,
        }
    }

    /// Bytes kept now.
    pub fn bytes(&self) -> Size {
        Size::of(self.inner.lock().bytes)
    }

    fn end(&self, token: Token, answer: Option<Answer>) {
        let bytes = (RECORD_BYTES + answer.as_ref().map_or(0, Answer::bytes)) as u64;
        let mut table = self.inner.lock();
        if let Some(state) = table.states.get(&token) {
            state.send_replace(State::Done(answer));
        }
        table.bytes += bytes;
        table.ended.push_back(Ended {
            token,
            at: Instant::now(),
            bytes,
        });
        table.trim(self.bound, self.age);
    }
}

impl Inner {
    fn trim(&mut self, bound: Size, age: Duration) {
        while let Some(oldest) = self.ended.front() {
            if self.bytes <= bound.bytes() && oldest.at.elapsed() < age {
                return;
            }
            self.bytes -= oldest.bytes;
            self.states.remove(&oldest.token);
            self.ended.pop_front();
        }
    }
}

impl Answer {
    /// About what it takes in memory.
    fn bytes(&self) -> usize {
        let headers = self.reply.headers.iter();
        let headers = headers.map(|header| header.name.len() + header.value.len() + HEADER_BYTES);
        self.body.len() + headers.sum::<usize>()
    }
}

impl State {
    fn found(&self) -> Found {
        match self {
            State::Running => Found::Running,
            State::Done(None) => Found::Ended,
            State::Done(Some(answer)) => Found::Answer(answer.clone()),
        }
    }
}

impl Running {
    /// Gives the complete answer.
    pub fn done(mut self, answer: Answer) {
        self.answer = Some(answer);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.table.end(self.token, self.answer.take());
    }
}
