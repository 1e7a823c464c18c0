//! Restoring the store from an older copy, which loses the claims written since.

use std::ops::Range;

use ledger::{Claimed, Ledger};
use standin::Platform;
use store::{Condition, Object};
use unit::{Outcome, Size, Token};

use crate::common::{advance, claim, end, key};

fn open(platform: &Platform, name: &str) -> Ledger {
    Ledger::builder(platform.store_named(name))
        .shards(1)
        .batch(10)
        .segment_size(Size::of(4_000))
        .open()
}

async fn grant(ledger: &Ledger, number: u64, token: u128) {
    let claimed = ledger.claim(claim(number, token)).await;
    assert_eq!(claimed, Ok(Claimed::Granted), "{number}");
}

/// Guards against a request that runs twice because the restored store has lost the claim of its
/// first run.
#[tokio::test(start_paused = true)]
async fn claim_lost_by_restore_is_not_granted_again() {
    let platform = Platform::builder().open();
    let ledger = open(&platform, "a");
    grant(&ledger, 0, 1).await;
    let copy = platform.snapshot();
    grant(&ledger, 1, 2).await;
    grant(&ledger, 2, 3).await;
    ledger.end(end(2, 3, Outcome::Ran)).await.expect("recorded");
    platform.restore(copy);
    let again = ledger.claim(claim(1, 100)).await.expect("answered");
    assert!(matches!(again, Claimed::Running(record) if record.token == Token(2)));
    let done = ledger.claim(claim(2, 101)).await.expect("answered");
    assert!(matches!(done, Claimed::Done(record) if record.token == Token(3)));
}

/// Guards against an owner that knows the lost claims but does not write them again: they would be
/// gone once it stops.
#[tokio::test(start_paused = true)]
async fn lost_claims_are_rewritten_for_next_owner() {
    let platform = Platform::builder().open();
    let first = open(&platform, "a");
    grant(&first, 0, 1).await;
    let copy = platform.snapshot();
    for number in 1..50 {
        grant(&first, number, u128::from(number)).await;
    }
    platform.restore(copy);
    // Any call to the store reveals the new era; no claim is needed to start the replay.
    first.find(key(0)).await.expect("answered");
    advance(2_000).await;
    drop(first);
    let next = open(&platform, "b");
    for number in 1..50 {
        let again = next.claim(claim(number, 1_000)).await.expect("answered");
        let token = u128::from(number);
        assert!(
            matches!(again, Claimed::Running(ref record) if record.token == Token(token)),
            "{number}: {again:?}"
        );
    }
}

/// Guards against the loss of claims, ends and releases that a former owner wrote and that the
/// current owner has read: the former owner is gone and can't replay them.
#[tokio::test(start_paused = true)]
async fn owner_rewrites_lost_writes_of_former_owner() {
    let platform = Platform::builder().open();
    let [first, next] = ["a", "b"].map(|name| open(&platform, name));
    grant(&first, 0, 1).await;
    grant(&first, 1, 2).await;
    let copy = platform.snapshot();
    grant(&first, 2, 3).await;
    grant(&first, 3, 4).await;
    first.end(end(3, 4, Outcome::Ran)).await.expect("recorded");
    first.release(key(1), Token(2)).await.expect("recorded");
    advance(1_000).await;
    // Another daemon takes over the shard, and the former owner is gone.
    grant(&next, 4, 5).await;
    drop(first);
    platform.restore(copy);
    // The response to this write reveals the new era.
    grant(&next, 5, 6).await;
    let running = next.claim(claim(2, 100)).await.expect("answered");
    assert!(
        matches!(running, Claimed::Running(ref record) if record.token == Token(3)),
        "{running:?}"
    );
    let done = next.claim(claim(3, 101)).await.expect("answered");
    assert!(
        matches!(done, Claimed::Done(ref record) if record.token == Token(4)),
        "{done:?}"
    );
    grant(&next, 1, 102).await;
    let kept = next.claim(claim(0, 103)).await.expect("answered");
    assert!(
        matches!(kept, Claimed::Running(ref record) if record.token == Token(1)),
        "{kept:?}"
    );
}

/// Guards against a key that stays taken although nothing runs: the older copy still holds its
/// claim and lacks the release.
#[tokio::test(start_paused = true)]
async fn release_lost_by_restore_stays_in_effect() {
    let platform = Platform::builder().open();
    let ledger = open(&platform, "a");
    grant(&ledger, 0, 1).await;
    let copy = platform.snapshot();
    ledger.release(key(0), Token(1)).await.expect("recorded");
    advance(1_000).await;
    platform.restore(copy);
    grant(&ledger, 0, 2).await;
}

/// Guards against keys that are granted twice because the index still holds segments of the former
/// era in place of those that the new era writes under the same numbers.
#[tokio::test(start_paused = true)]
async fn claims_in_lost_segments_are_not_granted_again() {
    let platform = Platform::builder().open();
    let ledger = open(&platform, "a");
    for number in 0..60 {
        grant(&ledger, number, u128::from(number)).await;
    }
    advance(500).await;
    let copy = platform.snapshot();
    for number in 60..200 {
        grant(&ledger, number, u128::from(number)).await;
    }
    advance(500).await;
    platform.restore(copy);
    for number in 200..300 {
        grant(&ledger, number, u128::from(number)).await;
    }
    for number in 0..300 {
        let again = ledger.claim(claim(number, 1_000)).await.expect("answered");
        assert!(matches!(again, Claimed::Running(_)), "{number}: {again:?}");
    }
}

/// Guards against lost claims after a delayed write: a segment of the former era is written after
/// the restore, under the number of the next segment of the new era.
#[tokio::test(start_paused = true)]
async fn delayed_segment_of_former_era_loses_no_claim() {
    let platform = Platform::builder().open();
    let ledger = open(&platform, "a");
    for number in 0..5 {
        grant(&ledger, number, u128::from(number)).await;
    }
    let copy = platform.snapshot();
    let store = platform.store();
    let former = seal_segment(&platform, &ledger, 5..100).await;
    platform.restore(copy);
    let delayed = store
        .put(&former.key, former.value, Condition::Absent)
        .await;
    delayed.expect("the restored store lacks the segment");
    for number in 200..300 {
        grant(&ledger, number, u128::from(number)).await;
    }
    advance(500).await;
    drop(ledger);
    let next = open(&platform, "b");
    for number in (0..5).chain(200..300) {
        let again = next.claim(claim(number, 1_000)).await.expect("answered");
        assert!(matches!(again, Claimed::Running(_)), "{number}: {again:?}");
    }
}

/// Claims the keys, which seals at least one segment, and returns the first one.
async fn seal_segment(platform: &Platform, ledger: &Ledger, keys: Range<u64>) -> Object {
    for number in keys {
        grant(ledger, number, u128::from(number)).await;
    }
    advance(500).await;
    let objects = platform.store().list("").await.expect("listed").objects;
    let mut segments = objects
        .into_iter()
        .filter(|object| object.key.contains("/seg/"));
    segments.next().expect("a segment is sealed")
}
