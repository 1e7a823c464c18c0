//! What callers sent and were told, and when trouble was on.

use std::time::Duration;

use tokio::time::Instant;

/// How a request may be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may be repeated.
    Read,
    /// It may not be repeated, and has no key.
    Book,
    /// It runs once for its key, however often it is sent.
    Order,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Its path, which no other request has. An order's begins with `/order/KEY/`.
    pub path: String,
    /// How it may be treated.
    pub kind: Kind,
    /// Which daemon it was sent to.
    pub entry: usize,
    /// The key that it showed.
    pub key: Option<String>,
    /// When it was sent.
    pub at: Instant,
    /// When its answer, or the connection, came to its end.
    pub ended: Instant,
    /// The status; 0 if no head came.
    pub status: u16,
    /// The outcome that the answer names.
    pub outcome: String,
    /// The reason that the answer names.
    pub reason: String,
    /// The answer came to its end.
    pub whole: bool,
    /// The body.
    pub body: String,
}

/// What a trouble is to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// The daemon's process is not there.
    Gone(usize),
    /// The daemon's process gets no processor.
    Paused(usize),
    /// The daemon has been asked to stop and is still there.
    Stopping(usize),
    /// The way from the daemon to its target has trouble.
    Way(usize),
    /// Anything else that may keep a request from its end.
    Other,
}

/// A time during which trouble was on.
#[derive(Debug, Clone, Copy)]
pub struct Window {
    /// What it was.
    pub trouble: Trouble,
    /// Its begin.
    pub from: Instant,
    /// Its end, with the time that its after-effects last.
    pub to: Instant,
}

impl Window {
    /// Whether it was on at any time of the request, or so long before.
    pub fn touches(&self, sent: &Sent, before: Duration) -> bool {
        self.from <= sent.ended && self.to + before >= sent.at
    }
}
