//! The proof that a request has not been sent.

use std::time::Duration;

use unit::{Cause, Outcome, Report, Token};

/// A request that the gate refused before it was dispatched.
///
/// The fields are private and there is no public constructor: a refusal comes only from
/// [`Core`](crate::Core) for a request that waits or holds a slot undispatched, and from
/// [`Permit::refuse`](crate::Permit::refuse), which consumes the permit. Nothing makes one from
/// a [`Running`](crate::Running). So whoever holds a refusal knows that this frame reached no
/// target, and code that has lost track of a dispatched request can't claim that by mistake:
/// the symptom would be a retrieval slip that lands twice.
///
/// A frame that did not run is not the same as a token that did not run; see
/// [`Refusal::outcome`].
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("gate: token {token} refused: {cause}")]
pub struct Refusal {
    token: Token,
    cause: Cause,
    retry_after: Duration,
    report: Report,
}

impl std::error::Error for Refusal {}

impl Refusal {
    pub(crate) fn new(
        token: Token,
        cause: Cause,
        retry_after: Duration,
        report: Report,
    ) -> Refusal {
        Refusal {
            token,
            cause,
            retry_after,
            report,
        }
    }

    /// The token of the refused try.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Why it was refused.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// How long to keep away from this gate with such a request; zero when another gate should
    /// be asked at once and this one is not worth waiting for.
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }

    /// The load of the gate at the refusal.
    pub fn report(&self) -> Report {
        self.report
    }

    /// What the entry may tell of the *token*.
    ///
    /// It is [`Outcome::NotRun`] but for [`Cause::Duplicate`]: there an earlier frame with the
    /// same token was let in, and whether that one ran is for [`Gate::status`](crate::Gate::status)
    /// to say. A duplicate read as "not run" would let the entry run the request again.
    pub fn outcome(&self) -> Outcome {
        match self.cause {
            Cause::Duplicate => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}
