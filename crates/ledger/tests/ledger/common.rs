//! Helpers that the ledger's tests share.

use std::time::Duration;

use ledger::{Claim, Claimed, End, Error, Ledger, Moment};
use tokio::time::Instant;
use unit::{Digest, Outcome, Token};

/// The hash of the key with this number.
pub fn key(number: u64) -> Digest {
    Digest::of(&number.to_le_bytes())
}

/// A claim of a key by the attempt with this token.
pub fn claim(number: u64, token: u128) -> Claim {
    Claim {
        key: key(number),
        body: Digest::of(b"body"),
        caller: "desk-3@clinic-7".parse().expect("a valid caller"),
        token: Token(token),
        entry: "vault-desk-2".parse().expect("a valid instance"),
        deadline: Instant::now() + Duration::from_secs(60),
        rule: "destroy".to_string(),
    }
}

/// A report that the claim with this token has ended.
pub fn end(number: u64, token: u128, outcome: Outcome) -> End {
    End {
        key: key(number),
        token: Token(token),
        target: Some("vault-desk-4".parse().expect("a valid instance")),
        at: Moment(1_000),
        outcome,
        status: 200,
    }
}

/// Claims a key in a separate task.
pub fn spawn(
    ledger: &Ledger,
    number: u64,
    token: u128,
) -> tokio::task::JoinHandle<Result<Claimed, Error>> {
    let ledger = ledger.clone();
    tokio::spawn(async move { ledger.claim(claim(number, token)).await })
}

/// Sleeps on the paused clock, which advances when all tasks wait.
pub async fn advance(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
