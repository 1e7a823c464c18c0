//! The rules that the daemons of a run have.

use std::time::Duration;

/// The longest that a caller waits, by the rules.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(2);

/// Version `number` of the rules; all versions treat requests alike.
pub(crate) fn text(number: u64) -> String {
    format!(
        r#"{{
    // Version {number}.
    "caller": {{ "header": "x-caller" }},
    "rules": [
        {{ "name": "orders", "when": {{ "method": "POST", "path": "/order/**" }},
          "then": {{ "service": "desk", "once": {{ "header": "idempotency-key" }}, "timeout": "2s" }} }},
        {{ "name": "bookings", "when": {{ "method": "POST" }},
          "then": {{ "service": "desk", "repeat": false, "timeout": "2s" }} }},
        {{ "name": "rest", "then": {{ "service": "desk", "timeout": "2s" }} }}
    ]
}}"#
    )
}
