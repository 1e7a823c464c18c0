//! The tokens that a gate has seen: each runs at most once, and a fenced one never.
//!
//! A token is remembered until its deadline and its end have both passed by the grace. That is
//! enough: a request past its deadline is refused anyway, a frame dies with its link within the
//! grace, and [`Table::fence`] promises nothing for a deadline that is further past.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::Token;

/// What a gate knows of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// Never seen, refused, or forgotten. Only a [`Fence`] makes "not run" of it.
    #[display("unknown")]
    Unknown,
    /// It waits for a slot.
    #[display("queued")]
    Queued,
    /// It holds a slot and has or may have been dispatched.
    #[display("running")]
    Running,
    /// It ran here and has ended.
    #[display("done")]
    Done,
}

/// What came of the wish that a token never run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Fence {
    /// It has not run here and never will.
    #[display("fenced")]
    Fenced,
    /// It waited and was taken out; it has not run here and never will.
    #[display("cancelled")]
    Cancelled,
    /// Too late: it runs.
    #[display("running")]
    Running,
    /// Too late: it has run.
    #[display("done")]
    Done,
    /// The gate can't promise anything: the deadline is too long past to remember the token, or
    /// there is no room for another fence.
    #[display("unsure")]
    Unsure,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    Queued,
    Running,
    Done,
    Fenced,
    /// Refused, cancelled or given back undispatched.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    state: State,
    deadline: Instant,
    /// Set once nothing more happens to the token.
    until: Option<Instant>,
}

/// The tokens seen.
///
/// At the bound, new requests are refused and nothing is forgotten: a forgotten `Done` or fence
/// would let the entry call a request "not run" that ran, or let a late frame run one that was
/// called so. Only refused tokens may be forgotten early, oldest first, as an entry never sends
/// one token twice; they have a quarter of the bound on top for themselves.
#[derive(Debug)]
pub(crate) struct Table {
    bound: usize,
    grace: Duration,
    entries: HashMap<Token, Entry>,
    expiry: BTreeSet<(Instant, Token)>,
    refused: VecDeque<Token>,
    kept: usize,
    fences: usize,
}

impl Table {
    pub(crate) fn new(bound: usize, grace: Duration) -> Table {
        Table {
            bound,
            grace,
            entries: HashMap::new(),
            expiry: BTreeSet::new(),
            refused: VecDeque::new(),
            kept: 0,
            fences: 0,
        }
    }

    pub(crate) fn state(&self, token: Token) -> Option<State> {
        self.entries.get(&token).map(|entry| entry.state)
    }

    pub(crate) fn status(&self, token: Token) -> Status {
        match self.state(token) {
            Some(State::Queued) => Status::Queued,
            Some(State::Running) => Status::Running,
            Some(State::Done) => Status::Done,
            Some(State::Fenced | State::Refused) | None => Status::Unknown,
        }
    }

    /// Whether a new token may be let in; the last quarter is room for fences.
    pub(crate) fn has_room(&self) -> bool {
        self.kept < self.bound - self.bound / 4
    }

    pub(crate) fn kept(&self) -> usize {
        self.kept
    }

    pub(crate) fn fences(&self) -> usize {
        self.fences
    }

    pub(crate) fn queue(&mut self, token: Token, deadline: Instant) {
        self.put(token, State::Queued, deadline, None);
    }

    pub(crate) fn run(&mut self, token: Token) {
        if let Some(entry) = self.entries.get_mut(&token) {
            entry.state = State::Running;
        }
    }

    pub(crate) fn done(&mut self, now: Instant, token: Token) {
        let Some(entry) = self.entries.get(&token) else {
            return;
        };
        let deadline = entry.deadline;
        let until = deadline.max(now) + self.grace;
        self.put(token, State::Done, deadline, Some(until));
    }

    /// Notes a token that did not run; a second frame with it is refused.
    pub(crate) fn refuse(&mut self, token: Token, deadline: Instant) {
        let until = deadline + self.grace;
        self.put(token, State::Refused, deadline, Some(until));
        self.refused.push_back(token);
        while self.refused.len() > self.bound / 4 {
            self.forget_refused();
        }
    }

    fn forget_refused(&mut self) {
        let Some(token) = self.refused.pop_front() else {
            return;
        };
        if self.state(token) == Some(State::Refused) {
            self.take(token);
        }
    }

    /// Fences a token that is not queued; the queued one must be taken out first.
    pub(crate) fn fence(&mut self, now: Instant, token: Token, deadline: Instant) -> Fence {
        match self.state(token) {
            Some(State::Running) => return Fence::Running,
            Some(State::Done) => return Fence::Done,
            Some(State::Fenced) => return Fence::Fenced,
            Some(State::Queued | State::Refused) | None => {}
        }
        if deadline + self.grace <= now || self.kept >= self.bound {
            return Fence::Unsure;
        }
        let until = deadline.max(now) + self.grace;
        self.put(token, State::Fenced, deadline, Some(until));
        Fence::Fenced
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((until, token)) = self.expiry.first().copied() {
            if until > now {
                return;
            }
            self.take(token);
        }
    }

    fn put(&mut self, token: Token, state: State, deadline: Instant, until: Option<Instant>) {
        self.take(token);
        let entry = Entry {
            state,
            deadline,
            until,
        };
        self.entries.insert(token, entry);
        self.kept += usize::from(state != State::Refused);
        self.fences += usize::from(state == State::Fenced);
        if let Some(until) = until {
            self.expiry.insert((until, token));
        }
    }

    fn take(&mut self, token: Token) {
        let Some(entry) = self.entries.remove(&token) else {
            return;
        };
        self.kept -= usize::from(entry.state != State::Refused);
        self.fences -= usize::from(entry.state == State::Fenced);
        if let Some(until) = entry.until {
            self.expiry.remove(&(until, token));
        }
    }
}
