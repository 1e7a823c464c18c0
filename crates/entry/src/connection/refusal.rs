//! Refusals of requests that reach no handler.

use std::time::Duration;

use http::StatusCode;
use http1::Fault;

use crate::{Reason, Refusal};

/// When a caller should come back that was refused for lack of memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The refusal of a request for which there is no memory.
pub(super) fn out_of_memory() -> Refusal {
    Refusal::not_run(Reason::Full)
        .detail("the callers of this instance hold all the memory that they may")
        .retry_after(MEMORY_RETRY_AFTER)
}

/// The refusal of a request that can't be parsed.
pub(super) fn of(fault: &Fault) -> Refusal {
    match fault {
        Fault::LongHead(_) => Refusal::not_run(Reason::TooLarge)
            .status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
            .detail(fault),
        _ => Refusal::not_run(Reason::Malformed).detail(fault),
    }
}
