//! The messages of one call: what an entry asks of a gate, and what the gate says back.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use unit::{Caller, Cause, Depth, Digest, Rate, Report, Service, Token, Urgency};

use crate::Header;

/// What a target says of itself in an answer, beside its load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Hash of the name of the life that says it; `None` if the target's lives have no names.
    pub life: Option<Digest>,
    /// Requests per second that it takes from all instances together, if it limits them.
    pub max_rate: Option<Rate>,
    /// Whether it leaves.
    pub leaving: bool,
}

/// The head of a request on its way from an entry to a gate; the first frame of a call's stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Names this try; the gate runs it at most once.
    pub token: Token,
    /// The service that the entry means; a gate of another service refuses.
    pub service: Service,
    /// How soon it must be served.
    pub urgency: Urgency,
    /// Who asks.
    pub caller: Caller,
    /// The caller's weight in the fair share.
    pub weight: u32,
    /// Time left until the caller's deadline when the frame was written.
    pub remaining: Duration,
    /// Time left until the answer is worth little to the caller, if the rule says when.
    pub goal: Option<Duration>,
    /// The kind of work, for estimates of how long it runs; 0 where nothing is known of it.
    pub class: u32,
    /// The entry knows of another target that is not slow, and may still ask it.
    pub elsewhere: bool,
    /// How deep this call is nested.
    pub depth: Depth,
    /// Retries that the calls nested below may still ask for.
    pub allowance: u8,
    /// The request may not be repeated, so the gate keeps its answer for a while.
    pub once: bool,
    /// The answer may be large and may be sent later than others.
    pub bulk: bool,
    /// Hash of what kind of request this is, for suspicion after a crash.
    pub kind: Digest,
    /// The method, such as `POST`.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// The headers that the target shall see.
    pub headers: Vec<Header>,
    /// How the body follows.
    pub body: Payload,
    /// The notice in the last answer of the target that the entry has passed on. The gate may have
    /// started since.
    pub notice: Option<Box<Notice>>,
}

/// How a request's body follows the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// There is none, and no frame follows.
    Empty,
    /// All of it follows at once, up to [`Frame::End`](crate::Frame::End).
    Whole,
    /// It follows once the gate has answered [`Accepted`], so that a refused request has cost
    /// nothing of its body and can go elsewhere.
    Streamed,
}

/// The gate has a slot for the call; the entry may stream the rest of the body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The call's token.
    pub token: Token,
}

/// The head of a target's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The token of the call that this answers; the entry checks it.
    pub token: Token,
    /// The HTTP status.
    pub status: u16,
    /// The headers of the answer.
    pub headers: Vec<Header>,
    /// What is left of the call's allowance, behind its nested calls.
    pub allowance: u8,
    /// The gate's load.
    pub report: Option<Report>,
    /// What the target says of itself.
    pub notice: Option<Box<Notice>>,
}

/// The gate did not run the call and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The call's token.
    pub token: Token,
    /// Why.
    pub cause: Cause,
    /// When it may be worth asking this gate again.
    pub retry_after: Duration,
    /// The gate's load.
    pub report: Option<Report>,
}

/// Asks a gate what became of a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The token of the call whose link was lost.
    pub token: Token,
    /// If the token is not yet running, fence it, so that "not run" is certain.
    pub fence: bool,
    /// How long the gate may wait for a running call to end before it answers.
    pub wait: Duration,
    /// Time left until the call's deadline; a fence need not last much longer.
    pub remaining: Duration,
}

/// What a gate knows of a token. Behind `Done` the answer follows, if the gate still holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Known {
    /// The token never ran here, and is fenced if that was asked for.
    Unknown {
        /// A late frame with this token will be refused.
        fenced: bool,
    },
    /// The call waits or runs.
    Running,
    /// The call ran to its end; a [`Reply`] follows if `held`.
    Done {
        /// The answer follows on this stream.
        held: bool,
    },
}
