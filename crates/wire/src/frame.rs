//! The one unit that streams carry.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Accepted, Ask, Call, Known, Refusal, Reply};

/// What one stream carries, frame after frame.
#[derive(Debug, Clone, PartialEq, Eq)]
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
    /// The answer broke off behind the gate, for the reason given.
    Abort(String),
    /// Asks after a token.
    Ask(Ask),
    /// Answers an [`Ask`].
    Known(Known),
    /// A message of one of the control roles.
    Note(Note),
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
}
