//! What is asked of the ledger, what it answers, and the record it keeps.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::{Caller, Digest, Instance, Outcome, Token};

/// A time of day in milliseconds since 1970 UTC, for records that people read.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

impl Moment {
    /// The moment of the system's clock.
    pub fn now() -> Moment {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Moment(0).after(since.unwrap_or_default())
    }

    /// The moment `span` after this one.
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

/// A request that may not be repeated, before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The hash of the request's key, already scoped to its caller.
    pub key: Digest,
    /// The hash of the request's body; the same key with another body is refused.
    pub body: Digest,
    /// Who asks.
    pub caller: Caller,
    /// Names this try. Each claim needs a fresh one, also when the same request is claimed again:
    /// a claim that was given up is released by its token, and that must not hit a later claim.
    pub token: Token,
    /// The instance where the request entered.
    pub entry: Instance,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// The rule that the request matched.
    pub rule: String,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The store has confirmed the claim: the request may run now, and nobody else runs its key.
    Granted,
    /// Another try holds the key, and no end is recorded.
    Running(Record),
    /// The key has come to its end.
    Done(Record),
    /// The key was claimed before with another body.
    Mismatch,
}

/// What the ledger keeps of a claim: the audit trail of its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The hash of the key.
    pub key: Digest,
    /// The first half of the body's hash.
    pub body: u64,
    /// The try that holds the key.
    pub token: Token,
    /// Who asked.
    pub caller: Caller,
    /// The instance where the request entered.
    pub entry: Instance,
    /// The rule that the request matched.
    pub rule: String,
    /// When the claim was written.
    pub at: Moment,
    /// How it ended; absent while it runs, or when nobody lived to record it.
    pub end: Option<Ended>,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The target that ran it; absent when it is not known.
    pub target: Option<Instance>,
    /// When it ended.
    pub at: Moment,
    /// What became of it.
    pub outcome: Outcome,
    /// The HTTP status of its answer, 0 when there was none.
    pub status: u16,
}

/// The report that a claimed request has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The hash of the key.
    pub key: Digest,
    /// The try that has ended.
    pub token: Token,
    /// The target that ran it, where known.
    pub target: Option<Instance>,
    /// When it ended.
    pub at: Moment,
    /// What became of it; [`Outcome::NotRun`] frees the key.
    pub outcome: Outcome,
    /// The HTTP status of its answer, 0 when there was none.
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
