//! The end of a call to a target.

use std::time::Duration;

use unit::Report;

/// How a call to a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Time from the send to the end of the answer's head, network delays included.
    pub latency: Duration,
    /// How the call ended.
    pub kind: Kind,
    /// The class of work; 0 if it is unknown.
    pub class: u32,
    /// The gate's report, if one was attached to the answer.
    pub report: Option<Report>,
}

/// The ways in which a call can end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Kind {
    /// The target answered without a fault of its own.
    #[display("ok")]
    Ok,
    /// The target answered with a fault of its own, such as 500.
    #[display("error")]
    Error,
    /// The gate refused the request, which did not run.
    #[display("refused")]
    Refused,
    /// The gate refused the request because its target takes no work now.
    #[display("closed")]
    Closed,
    /// No answer: the link broke or the deadline passed. The request may have run.
    #[display("lost")]
    Lost,
    /// The entry cancelled the call, such as the slower copy of a hedged call.
    #[display("cancelled")]
    Cancelled,
}
