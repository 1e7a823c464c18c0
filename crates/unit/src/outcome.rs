//! What became of a request, as its caller is told.

use serde::{Deserialize, Serialize};

/// What became of a request; every answer to a caller carries one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A target ran the request, and this is its answer.
    #[display("ran")]
    Ran,
    /// The request reached no target and never will; it is safe to send again.
    #[display("not-run")]
    NotRun,
    /// The request may or may not have run; nobody will run it from here on.
    #[display("unknown")]
    Unknown,
    /// The key of the request has run before; this request did not run again.
    #[display("already-run")]
    AlreadyRun,
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Outcome; 4] = [
        Outcome::Ran,
        Outcome::NotRun,
        Outcome::Unknown,
        Outcome::AlreadyRun,
    ];
}
