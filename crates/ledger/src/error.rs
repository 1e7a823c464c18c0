//! Why the ledger could not answer.

use std::time::Duration;

use quick_error::quick_error;

/// What the ledger was doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Step {
    /// Claiming a key.
    #[display("claim")]
    Claim,
    /// Recording an end or a release.
    #[display("end")]
    End,
    /// Looking for a record.
    #[display("find")]
    Find,
}

quick_error! {
    /// What went wrong.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Kind {
        /// The queue in front of the shard is full.
        Full {
            display("the queue is full")
        }
        /// The store is known to be down.
        Down {
            display("the store is down")
        }
        /// There was no answer of the store within the wait.
        TimedOut {
            display("the store did not confirm in time")
        }
        /// The claim was released before it was written: whoever asked has given it up.
        Released {
            display("the claim was released before it was written")
        }
        /// The shard holds as many keys within its retention as it may.
        TooManyKeys {
            display("too many keys within the retention")
        }
        /// The store's ledger was laid out with another number of shards.
        LayoutMismatch(shards: u16) {
            display("the store's ledger has {shards} shards")
        }
        /// An object of the ledger can't be read.
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

/// A failure, with its step and shard.
///
/// After a failed claim the request must not run. The ledger sees to it that the key does not stay
/// taken: a claim whose write lands later is released.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("ledger: {step} at shard {shard}: {kind}")]
pub struct Error {
    /// What the ledger was doing.
    pub step: Step,
    /// The shard of the key.
    pub shard: u16,
    /// What went wrong.
    pub kind: Kind,
    /// When it is worth trying again.
    pub retry_after: Duration,
}

impl std::error::Error for Error {}
