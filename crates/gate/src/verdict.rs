//! The decisions of a gate on a request.

use crate::refusal::Refusal;
use crate::request::Id;

/// The immediate decision on an offered request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It holds a slot, which must be dispatched or released.
    Start(Id),
    /// It waits; [`Core::poll`](crate::Core::poll) returns the decision later.
    Wait(Id),
    /// It does not run here.
    Refuse(Refusal),
}

/// The decision on a request that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It now holds a slot.
    Start {
        /// The request.
        id: Id,
    },
    /// It does not run here.
    Refuse {
        /// The request.
        id: Id,
        /// The refusal with its cause.
        refusal: Refusal,
    },
}
