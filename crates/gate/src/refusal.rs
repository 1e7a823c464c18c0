//! Refusals, which prove that a request was not sent to the target.

use std::time::Duration;

use unit::{Cause, Outcome, Report, Token};

/// A request that the gate refused before it was dispatched.
///
/// The fields are private and there is no public constructor: a refusal comes only from
/// [`Core`](crate::Core), for a request that waits or holds a slot undispatched, and from
/// [`Permit::refuse`](crate::Permit::refuse), which consumes the permit. None can be made from a
/// [`Running`](crate::Running). A refusal therefore proves that this frame reached no target, and
/// code that has lost track of a dispatched request cannot claim this by mistake, which would let
/// the request run twice.
///
/// A frame that did not run does not imply a token that did not run; see [`Refusal::outcome`].
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

    /// The token of the refused attempt.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Why the request was refused.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// How long to wait before sending such a request to this gate again. Zero means that another
    /// gate should be asked at once.
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }

    /// The load of the gate at the time of the refusal.
    pub fn report(&self) -> Report {
        self.report
    }

    /// The outcome that the entry may report for the *token*.
    ///
    /// This is [`Outcome::NotRun`] except for [`Cause::Duplicate`]: in that case an earlier frame
    /// with the same token was admitted, and [`Gate::status`](crate::Gate::status) tells whether
    /// that one ran. Treating a duplicate as "not run" would let the entry run the request twice.
    pub fn outcome(&self) -> Outcome {
        match self.cause {
            Cause::Duplicate => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}
