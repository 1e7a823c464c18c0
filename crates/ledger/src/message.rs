//! What an entry and the owner of a key say to each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::{Caller, Digest, Instance, Token};

use crate::{Claim, Claimed, End};

/// A question to the owner of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Claims a key.
    Claim(ClaimRequest),
    /// Records an end.
    End(End),
    /// Looks a key up.
    Find(Digest),
}

/// A [`Claim`] on its way: its deadline as the time that is left.
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

/// What the owner answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// To [`Ask::Claim`].
    Claimed(Claimed),
    /// To [`Ask::End`], once the store holds it.
    Ended,
    /// To [`Ask::Find`].
    Found(Option<crate::Record>),
    /// The ledger gave no answer; a claim was not granted.
    Failed {
        /// Why.
        cause: String,
        /// When it is worth trying again.
        retry_after: Duration,
    },
}

impl ClaimRequest {
    /// The claim as it is sent now.
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

    /// The claim as it has come now.
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
    /// Answers a question of an entry.
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
