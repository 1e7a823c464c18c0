//! How a call to a target ended, as the choice needs to know it.

use std::time::Duration;

use unit::Report;

/// How a call to a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// From the send to the end of the answer's head, ways included.
    pub latency: Duration,
    /// What kind of end it was.
    pub kind: Kind,
    /// The gate's report, when one rode on the answer.
    pub report: Option<Report>,
}

/// The kinds of end of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Kind {
    /// The target answered, and the answer is no fault of the target.
    #[display("ok")]
    Ok,
    /// The target answered with a fault of its own, such as 500.
    #[display("error")]
    Error,
    /// The gate refused before the start; the request did not run.
    #[display("refused")]
    Refused,
    /// The gate refused because its target takes no work now.
    #[display("closed")]
    Closed,
    /// No answer: the link broke or the time ran out. It may have run.
    #[display("lost")]
    Lost,
    /// The entry gave the call up itself, such as the loser of a hedge.
    #[display("cancelled")]
    Cancelled,
}
