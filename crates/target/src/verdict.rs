//! What an answer's head means for the caller and for the gate.

use std::time::Duration;

use dialect::Dialect;
use gate::End;
use http::StatusCode;
use http1::response;

use crate::answer;

/// What an answer's head means for the caller.
pub(crate) enum Verdict {
    /// It is the answer.
    Pass,
    /// The target says that it did not run the request.
    Declined,
    /// It can't be given to a caller: it would promise or confirm what the target did not.
    Unfit(&'static str),
}

impl Verdict {
    /// What `head` means, where the target has names for it in `dialect`.
    pub(crate) fn of(dialect: &Dialect, head: &response::Head) -> Verdict {
        if dialect.not_run.is_some() && answer::promises(head.status) {
            // Only the target's own mark makes its word a promise: it may have run what it
            // answers with a bare 503.
            let declined = dialect.says_not_run(&head.headers)
                || head.status == StatusCode::MISDIRECTED_REQUEST;
            return match declined {
                true => Verdict::Declined,
                false => Verdict::Unfit("the target refuses without saying that it did not run it"),
            };
        }
        match head.status.is_success() && !dialect.is_signed(&head.headers) {
            true => Verdict::Unfit("the target's answer is not signed"),
            false => Verdict::Pass,
        }
    }
}

/// What a whole answer with `status` after `latency` tells the gate; `shed` is the time after which
/// the target asks to be tried again.
pub(crate) fn end(shed: Option<Duration>, status: StatusCode, latency: Duration) -> End {
    match shed {
        Some(after) => End::Shed {
            retry_after: Some(after),
        },
        None if status.is_server_error() => End::Failed { latency },
        None => End::Answered { latency },
    }
}
