//! Claims, their results, and the records of the ledger.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::{Caller, Digest, Instance, Outcome, Token};

/// A wall-clock time in milliseconds since 1970 UTC, for records that people read.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

impl Moment {
    /// The current time of the system clock.
    pub fn now() -> Moment {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Moment(0).after(since.unwrap_or_default())
    }

    /// The time `span` after this one.
    pub fn after(self, span: Duration) -> Moment {
        let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_add(ms))
    }
}

impl std::fmt::Display for Moment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let time = SystemTime::UNIX_EPOCH + Duration::from_millis(self.0);
        humantime::format_rfc3339_millis(time).fmt(f)
    }
}

/// A non-idempotent request that is to be claimed before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The hash of the request's key, scoped to its caller.
    pub key: Digest,
    /// The hash of the request's body; the same key with another body is rejected.
    pub body: Digest,
    /// The caller that sent the request.
    pub caller: Caller,
    /// Identifies this attempt. Each claim needs a fresh token, even if the same request is claimed
    /// again: an abandoned claim is released by its token, and that must not release a later claim.
    pub token: Token,
    /// The instance that received the request from its caller.
    pub entry: Instance,
    /// When the response is no longer of use.
    pub deadline: Instant,
    /// The rule that the request matched.
    pub rule: String,
}

/// The result of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The store has confirmed the claim: the request may run now, and no other attempt runs its
    /// key.
    Granted,
    /// Another attempt holds the key, and its end is not recorded.
    Running(Record),
    /// The end of the request is recorded.
    Done(Record),
    /// The key was claimed before with another body.
    Mismatch,
}

/// The stored record of a claim: the audit trail of its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The hash of the key.
    pub key: Digest,
    /// The first half of the body's hash.
    pub body: u64,
    /// The token of the attempt that holds the key.
    pub token: Token,
    /// The caller that sent the request.
    pub caller: Caller,
    /// The instance that received the request from its caller.
    pub entry: Instance,
    /// The rule that the request matched.
    pub rule: String,
    /// When the claim was written.
    pub at: Moment,
    /// How the request ended; `None` while it runs, or if the processes that could record its end
    /// have died.
    pub end: Option<Ended>,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The target that ran it; `None` when it is not known.
    pub target: Option<Instance>,
    /// When the request ended.
    pub at: Moment,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The HTTP status of the response, 0 when there was none.
    pub status: u16,
}

/// A report that a claimed request has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The hash of the key.
    pub key: Digest,
    /// The token of the attempt that has ended.
    pub token: Token,
    /// The target that ran it; `None` when it is not known.
    pub target: Option<Instance>,
    /// When the request ended.
    pub at: Moment,
    /// The outcome of the request; [`Outcome::NotRun`] frees the key.
    pub outcome: Outcome,
    /// The HTTP status of the response, 0 when there was none.
    pub status: u16,
}

impl End {
    pub(crate) fn ended(&self) -> Ended {
        Ended {
            target: self.target.clone(),
            at: self.at,
            outcome: self.outcome,
            status: self.status,
        }
    }
}

/// The part of a body's hash that records keep.
pub(crate) fn body_part(body: Digest) -> u64 {
    (body.0 >> 64) as u64
}
