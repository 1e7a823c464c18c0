//! Errors of the ledger.

use std::time::Duration;

use quick_error::quick_error;

/// The operation that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Step {
    /// Claiming a key.
    #[display("claim")]
    Claim,
    /// Recording an end or a release.
    #[display("end")]
    End,
    /// Looking up a record.
    #[display("find")]
    Find,
}

quick_error! {
    /// The cause of an [`Error`].
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Kind {
        /// The queue in front of the shard is full.
        Full {
            display("the queue is full")
        }
        /// The store has failed for longer than a claim may wait.
        Down {
            display("the store is down")
        }
        /// The store did not confirm within the time limit.
        TimedOut {
            display("the store did not confirm in time")
        }
        /// The claim was released before it was written, because its requester has abandoned it.
        Released {
            display("the claim was released before it was written")
        }
        /// The shard holds the maximum number of keys within its retention.
        TooManyKeys {
            display("too many keys within the retention")
        }
        /// The ledger in the store has another number of shards.
        LayoutMismatch(shards: u16) {
            display("the store's ledger has {shards} shards")
        }
        /// An object of the ledger can't be decoded.
        Garbled(object: String) {
            display("{object} can't be read")
        }
        /// The store failed.
        Store(error: store::Error) {
            display("{error}")
        }
        /// The ledger is closing.
        Closed {
            display("the ledger is closing")
        }
    }
}

/// A failed operation, with its shard.
///
/// After a failed claim the request must not run. The ledger ensures that the key does not stay
/// taken: a claim whose write succeeds later is released.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("ledger: {step} at shard {shard}: {kind}")]
pub struct Error {
    /// The operation that failed.
    pub step: Step,
    /// The shard of the key.
    pub shard: u16,
    /// The cause.
    pub kind: Kind,
    /// How long to wait before the next attempt.
    pub retry_after: Duration,
}

impl std::error::Error for Error {}
