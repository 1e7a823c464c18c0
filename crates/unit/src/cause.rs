//! Why a gate did not start a request.

use serde::{Deserialize, Serialize};

/// Why a gate did not start a request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The queue, the caller's share of it, or the token table has no room.
    #[display("full")]
    Full,
    /// The deadline can't be met here.
    #[display("deadline")]
    Deadline,
    /// The target is leaving.
    #[display("leaving")]
    Leaving,
    /// The token was fenced, cancelled or refused before; it never runs here.
    #[display("fenced")]
    Fenced,
    /// The token was seen before, and that try may have run.
    #[display("duplicate")]
    Duplicate,
    /// The request is suspected to crash targets.
    #[display("suspect")]
    Suspect,
    /// The target has asked for a pause.
    #[display("shed")]
    Shed,
    /// The target itself was sent the request, and says that it did not run it.
    #[display("declined")]
    Declined,
    /// The target can't be reached.
    #[display("down")]
    Down,
    /// The request is for another service, nested too deep, or malformed.
    #[display("misdirected")]
    Misdirected,
    /// The target's zone is evacuated.
    #[display("evacuated")]
    Evacuated,
    /// The target limits the rate of its requests, and gets no more for now.
    #[display("throttled")]
    Throttled,
}
