//! The tokens that a gate has seen: each runs at most once, and a fenced one never.
//!
//! A token is remembered until the grace period after both its deadline and its end. That is long
//! enough: a request past its deadline is refused anyway, a frame is lost with its link within the
//! grace period, and [`Table::fence`] promises nothing for older deadlines.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::Token;

/// What a gate knows about a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// Never seen, refused or forgotten. Only a [`Fence`] turns this into "not run".
    #[display("unknown")]
    Unknown,
    /// Waits for a slot.
    #[display("queued")]
    Queued,
    /// Holds a slot; it may have been dispatched.
    #[display("running")]
    Running,
    /// Has run here and ended.
    #[display("done")]
    Done,
}

/// The result of an attempt to keep a token from running here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Fence {
    /// The token has not run here and never will.
    #[display("fenced")]
    Fenced,
    /// The token was removed from the queue; it has not run here and never will.
    #[display("cancelled")]
    Cancelled,
    /// Too late: the token is running.
    #[display("running")]
    Running,
    /// Too late: the token has run.
    #[display("done")]
    Done,
    /// The gate cannot promise anything: the deadline passed too long ago for the token to be
    /// remembered, or there is no room for another fence.
    #[display("unsure")]
    Unsure,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    Queued,
    Running,
    Done,
    Fenced,
    /// Refused, cancelled, or released without dispatch.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    state: State,
    deadline: Instant,
    /// When the entry expires; set once nothing more happens to the token.
    until: Option<Instant>,
}

/// The table of known tokens.
///
/// When it is full, new requests are refused and nothing is forgotten: if a `Done` token or a fence
/// were forgotten, the entry could report a request that ran as "not run", or a late frame could
/// run a request reported as not run. Only refused tokens may be forgotten early, oldest first,
/// because an entry never sends a token twice. They have a quarter of the bound for themselves, in
/// addition to it.
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

    /// Whether a new token may be admitted; the last quarter is reserved for fences.
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

    /// Records a token that did not run; a second frame with it is refused.
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

    /// Fences a token that is not queued; a queued one must be removed from the queue first.
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
