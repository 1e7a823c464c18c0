//! Classifies an answer by its head, for the caller and for the gate.

use std::time::Duration;

use dialect::Dialect;
use gate::End;
use http::StatusCode;
use http1::response;

use crate::answer;

/// How an answer is handled for the caller.
pub(crate) enum Verdict {
    /// The answer is relayed.
    Pass,
    /// The target reports that it did not run the request.
    Declined,
    /// The answer must not be relayed: it would promise or confirm something that the target did not.
    Invalid(&'static str),
}

impl Verdict {
    /// Classifies `head`, as far as `dialect` names the headers that this depends on.
    pub(crate) fn of(dialect: &Dialect, head: &response::Head) -> Verdict {
        if dialect.not_run.is_some() && answer::promises_not_run(head.status) {
            // The status alone is no promise: the target may have run a request that it answers
            // with a bare 503. Only its own header or status 421 says that it did not.
            let declined = dialect.says_not_run(&head.headers)
                || head.status == StatusCode::MISDIRECTED_REQUEST;
            return match declined {
                true => Verdict::Declined,
                false => {
                    Verdict::Invalid("the target refuses without saying that it did not run it")
                }
            };
        }
        match head.status.is_success() && !dialect.is_signed(&head.headers) {
            true => Verdict::Invalid("the target's answer is not signed"),
            false => Verdict::Pass,
        }
    }
}

/// The end that the gate records for a complete answer with `status` after `latency`; `shed` is the
/// delay after which the target asks to be retried.
pub(crate) fn end(shed: Option<Duration>, status: StatusCode, latency: Duration) -> End {
    match shed {
        Some(after) => End::Shed {
            retry_after: Some(after),
        },
        None if status.is_server_error() => End::Failed { latency },
        None => End::Answered { latency },
    }
}
