//! Requests for a slot, and how their runs end.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use unit::{Caller, Digest, Token, Urgency};

/// One attempt of a request, as it asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifies this attempt; the gate runs it at most once.
    pub token: Token,
    /// The queue in which it waits.
    pub urgency: Urgency,
    /// The caller whose share of that queue it uses.
    pub caller: Caller,
    /// The weight of the caller's member relative to other members; 0 counts as 1.
    pub weight: u32,
    /// When the answer becomes useless.
    pub deadline: Instant,
    /// Fingerprint of the method, the path and the start of the body, by which suspects are
    /// recognised.
    pub kind: Digest,
    /// Whether another request holds a slot, here or elsewhere, while it waits for this one.
    ///
    /// Such a request may start in any of the configured slots, even beyond the limit and in the
    /// slots reserved for urgent requests. Otherwise it would wait behind the very request that
    /// waits for it, until both deadlines pass; with a limit of 3, three levels of nesting were
    /// enough for that.
    pub nested: bool,
    /// When the answer loses most of its value. A request that is expected to end later is admitted
    /// only if it can start at once.
    pub goal: Option<Instant>,
    /// The class of work, for run-time estimates; 0 if unknown.
    pub class: u32,
    /// Whether its entry knew another target that was not slow when it sent the request here.
    pub elsewhere: bool,
    /// Whether its answer may be large and may be sent later than others.
    pub bulk: bool,
}

/// Identifies an offered request within one [`Core`](crate::Core); never reused.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, derive_more::Display,
)]
pub struct Id(pub(crate) u64);

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The target answered in full.
    Answered {
        /// Time from dispatch to the end of the answer.
        latency: Duration,
    },
    /// The target answered with an error of its own, or its answer was cut off.
    Failed {
        /// Time from dispatch to the failure.
        latency: Duration,
    },
    /// The target refused to run the request, with status 503 and `Retry-After` or with an explicit
    /// header.
    Shed {
        /// The delay after which the target asked to be retried, if it gave one.
        retry_after: Option<Duration>,
    },
    /// The target reports that it did not run this request; other requests may be accepted.
    Declined,
    /// The caller disconnected while the request ran.
    Cancelled,
    /// The connection to the target was lost while the request ran.
    ///
    /// If the target itself is gone, call [`Core::target_down`](crate::Core::target_down) first.
    /// Otherwise each freed slot lets the next waiting request start at a dead target.
    Crashed,
}
