//! Messages between an entry and the owner of a key.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::{Caller, Digest, Instance, Token};

use crate::{Claim, Claimed, End};

/// A request to the owner of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Claims a key.
    Claim(ClaimRequest),
    /// Records an end.
    End(End),
    /// Looks up the record of a key.
    Find(Digest),
}

/// A [`Claim`] in transit, with its deadline as the remaining time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    key: Digest,
    body: Digest,
    caller: Caller,
    token: Token,
    entry: Instance,
    rule: String,
    remaining: Duration,
}

/// The owner's answer to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The answer to [`Ask::Claim`].
    Claimed(Claimed),
    /// The answer to [`Ask::End`], sent once the store holds the end.
    Ended,
    /// The answer to [`Ask::Find`].
    Found(Option<crate::Record>),
    /// The operation failed; a claim was not granted.
    Failed {
        /// The error message.
        cause: String,
        /// How long to wait before the next attempt.
        retry_after: Duration,
    },
}

impl ClaimRequest {
    /// Converts a claim for sending; the remaining time counts from now.
    pub fn new(claim: Claim) -> ClaimRequest {
        ClaimRequest {
            key: claim.key,
            body: claim.body,
            caller: claim.caller,
            token: claim.token,
            entry: claim.entry,
            rule: claim.rule,
            remaining: claim.deadline.saturating_duration_since(Instant::now()),
        }
    }

    /// Converts back on arrival; the deadline is set from now.
    pub fn into_claim(self) -> Claim {
        Claim {
            key: self.key,
            body: self.body,
            caller: self.caller,
            token: self.token,
            entry: self.entry,
            deadline: Instant::now() + self.remaining,
            rule: self.rule,
        }
    }
}

impl crate::Ledger {
    /// Executes a request of an entry.
    pub async fn answer(&self, ask: Ask) -> Answer {
        let failed = |error: crate::Error| Answer::Failed {
            cause: error.to_string(),
            retry_after: error.retry_after,
        };
        match ask {
            Ask::Claim(request) => self
                .claim(request.into_claim())
                .await
                .map_or_else(failed, Answer::Claimed),
            Ask::End(end) => self.end(end).await.map_or_else(failed, |()| Answer::Ended),
            Ask::Find(key) => self.find(key).await.map_or_else(failed, Answer::Found),
        }
    }
}
