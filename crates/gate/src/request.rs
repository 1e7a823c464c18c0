//! What a gate is asked to let through, and how it ended.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use unit::{Caller, Digest, Token, Urgency};

/// One try of one request, as it asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Names this try; the gate runs it at most once.
    pub token: Token,
    /// Which queue it waits in.
    pub urgency: Urgency,
    /// Whose share of that queue it uses.
    pub caller: Caller,
    /// The share of the caller's member against other members; 0 counts as 1.
    pub weight: u32,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// Fingerprint of method, path and the head of the body, by which suspects are known.
    pub kind: Digest,
    /// Another request waits for this one while it holds a slot, here or elsewhere.
    ///
    /// Such a request may start in any of the configured slots, also beyond the limit and in the
    /// room kept for urgent work. It would else wait behind the very request that waits for it,
    /// until the deadline of both: with a limit of 3, three levels were enough.
    pub nested: bool,
    /// When the answer is worth little; the request is then not let in to wait past it.
    pub goal: Option<Instant>,
    /// The kind of work, for estimates of how long it runs; 0 where nothing is known of it.
    pub class: u32,
    /// Its entry knew of another target that was not slow when it sent the request here.
    pub elsewhere: bool,
}

/// Names an offered request inside one [`Core`](crate::Core); never used twice.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, derive_more::Display,
)]
pub struct Id(pub(crate) u64);

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The target answered in full.
    Answered {
        /// From dispatch to the end of the answer.
        latency: Duration,
    },
    /// The target answered with an error of its own, or its answer broke off.
    Failed {
        /// From dispatch to the failure.
        latency: Duration,
    },
    /// The target itself refused to run it: 503 with `Retry-After`, or an explicit mark.
    Shed {
        /// When the target wants to be asked again, if it said so.
        retry_after: Option<Duration>,
    },
    /// The target says that it did not run this one request; others may be welcome.
    Declined,
    /// Its caller went away while it ran.
    Cancelled,
    /// The connection to the target died while it ran.
    ///
    /// When the target itself is gone, call [`Core::target_down`](crate::Core::target_down)
    /// first: else each freed slot lets the next waiting request start towards a dead target.
    Crashed,
}
