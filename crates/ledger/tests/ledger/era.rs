//! A store that comes back from an older copy, and the claims that it has lost.

use std::ops::Range;

use ledger::{Claimed, Ledger};
use standin::Platform;
use store::{Condition, Object};
use unit::{Outcome, Size, Token};

use crate::common::{claim, end, key, pass};

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

/// Guards against a request that runs twice, as the claim of its first run was lost.
#[tokio::test(start_paused = true)]
async fn a_claim_that_was_lost_with_the_copy_is_not_granted_again() {
    let platform = Platform::builder().open();
    let ledger = open(&platform, "a");
    grant(&ledger, 0, 1).await;
    let copy = platform.snapshot();
    grant(&ledger, 1, 2).await;
    grant(&ledger, 2, 3).await;
    ledger.end(end(2, 3, Outcome::Ran)).await.expect("noted");
    platform.restore(copy);
    let again = ledger.claim(claim(1, 100)).await.expect("answered");
    assert!(matches!(again, Claimed::Running(record) if record.token == Token(2)));
    let done = ledger.claim(claim(2, 101)).await.expect("answered");
    assert!(matches!(done, Claimed::Done(record) if record.token == Token(3)));
}

/// Guards against an owner that keeps the lost claims to itself until it is gone.
#[tokio::test(start_paused = true)]
async fn claims_that_were_lost_are_written_again_for_the_next_owner() {
    let platform = Platform::builder().open();
    let first = open(&platform, "a");
    grant(&first, 0, 1).await;
    let copy = platform.snapshot();
    for number in 1..50 {
        grant(&first, number, u128::from(number)).await;
    }
    platform.restore(copy);
    // Any call of the process meets the new era; the shard is asked for nothing.
    first.find(crate::common::key(0)).await.expect("answered");
    pass(2_000).await;
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

/// Guards against claims, ends and releases of a former owner that the next one has read and forgets.
#[tokio::test(start_paused = true)]
async fn what_a_former_owner_wrote_is_written_again_by_who_has_read_it() {
    let platform = Platform::builder().open();
    let [first, next] = ["a", "b"].map(|name| open(&platform, name));
    grant(&first, 0, 1).await;
    grant(&first, 1, 2).await;
    let copy = platform.snapshot();
    grant(&first, 2, 3).await;
    grant(&first, 3, 4).await;
    first.end(end(3, 4, Outcome::Ran)).await.expect("noted");
    first.release(key(1), Token(2)).await.expect("noted");
    pass(1_000).await;
    // The shard goes over to another daemon, and the former owner dies.
    grant(&next, 4, 5).await;
    drop(first);
    platform.restore(copy);
    // This write meets the new era.
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

/// Guards against a released claim that the copy brings back: its key would be dead.
#[tokio::test(start_paused = true)]
async fn a_release_that_was_lost_with_the_copy_still_counts() {
    let platform = Platform::builder().open();
    let ledger = open(&platform, "a");
    grant(&ledger, 0, 1).await;
    let copy = platform.snapshot();
    ledger
        .release(crate::common::key(0), Token(1))
        .await
        .expect("noted");
    pass(1_000).await;
    platform.restore(copy);
    grant(&ledger, 0, 2).await;
}

/// Guards against segments of the former era that stand in the index for those of the new one.
#[tokio::test(start_paused = true)]
async fn claims_in_segments_that_were_lost_are_not_granted_again() {
    let platform = Platform::builder().open();
    let ledger = open(&platform, "a");
    for number in 0..60 {
        grant(&ledger, number, u128::from(number)).await;
    }
    pass(500).await;
    let copy = platform.snapshot();
    for number in 60..200 {
        grant(&ledger, number, u128::from(number)).await;
    }
    pass(500).await;
    platform.restore(copy);
    for number in 200..300 {
        grant(&ledger, number, u128::from(number)).await;
    }
    for number in 0..300 {
        let again = ledger.claim(claim(number, 1_000)).await.expect("answered");
        assert!(matches!(again, Claimed::Running(_)), "{number}: {again:?}");
    }
}

/// Guards against a segment's write of the former era that lands after the return, in the place of the
/// next segment of the new one.
#[tokio::test(start_paused = true)]
async fn a_segment_of_the_former_era_does_not_stand_for_that_of_the_new_one() {
    let platform = Platform::builder().open();
    let ledger = open(&platform, "a");
    for number in 0..5 {
        grant(&ledger, number, u128::from(number)).await;
    }
    let copy = platform.snapshot();
    let store = platform.store();
    let former = first_segment(&platform, &ledger, 5..100).await;
    platform.restore(copy);
    let late = store
        .put(&former.key, former.value, Condition::Absent)
        .await;
    late.expect("the store has lost it");
    for number in 200..300 {
        grant(&ledger, number, u128::from(number)).await;
    }
    pass(500).await;
    drop(ledger);
    let next = open(&platform, "b");
    for number in (0..5).chain(200..300) {
        let again = next.claim(claim(number, 1_000)).await.expect("answered");
        assert!(matches!(again, Claimed::Running(_)), "{number}: {again:?}");
    }
}

/// Claims keys until a segment is sealed, and reads it.
async fn first_segment(platform: &Platform, ledger: &Ledger, keys: Range<u64>) -> Object {
    for number in keys {
        grant(ledger, number, u128::from(number)).await;
    }
    pass(500).await;
    let objects = platform.store().list("").await.expect("listed").objects;
    let mut segments = objects
        .into_iter()
        .filter(|object| object.key.contains("/seg/"));
    segments.next().expect("a segment is sealed")
}
