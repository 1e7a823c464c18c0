//! What a gate decides for a request.

use crate::refusal::Refusal;
use crate::request::Id;

/// What comes of an offer at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It holds a slot; dispatch it, or give the slot back.
    Start(Id),
    /// It waits; [`Core::poll`](crate::Core::poll) will say how it goes on.
    Wait(Id),
    /// It does not run here.
    Refuse(Refusal),
}

/// What becomes of a request that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It holds a slot now.
    Start {
        /// The request.
        id: Id,
    },
    /// It does not run here.
    Refuse {
        /// The request.
        id: Id,
        /// Why.
        refusal: Refusal,
    },
}
