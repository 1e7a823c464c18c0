//! The one unit that streams carry.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Accepted, Ask, Call, Known, Refusal, Reply};

/// What one stream carries, frame after frame.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// Opens a call.
    Call(Call),
    /// The gate lets the rest of the body come.
    Accepted(Accepted),
    /// Opens an answer.
    Reply(Reply),
    /// Ends a call that did not run.
    Refusal(Refusal),
    /// A piece of a body.
    Data(Bytes),
    /// The body is complete. A stream that ends without it was cut.
    End,
    /// The answer broke off behind the gate.
    Abort(Abort),
    /// Asks after a token.
    Ask(Ask),
    /// Answers an [`Ask`].
    Known(Known),
    /// A message of one of the control roles.
    Note(Note),
}

/// How an answer broke off that a call may still have caused to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Abort {
    /// The deadline of the call came first.
    pub late: bool,
    /// The reason, for people.
    pub cause: String,
}

impl Abort {
    /// The answer broke off before its deadline.
    pub fn broken(cause: String) -> Abort {
        Abort { late: false, cause }
    }
}

/// A message between the control roles of two daemons; the role's crate types the payload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// Which role it is for.
    pub topic: Topic,
    /// The role's message in postcard form; see [`codec::pack`](crate::codec::pack).
    pub payload: Bytes,
}

/// The roles that exchange notes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
pub enum Topic {
    /// Rules and roster.
    #[display("feed")]
    Feed,
    /// Claims of requests that may not be repeated.
    #[display("ledger")]
    Ledger,
    /// Load probes and suspicions.
    #[display("load")]
    Load,
    /// Tokens of workspaces.
    #[display("quota")]
    Quota,
}
