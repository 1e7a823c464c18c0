//! Failures of the store and of owners, as the requesters of claims see them.

use std::time::Duration;

use crate::common::{advance, claim, end, key, spawn};
use ledger::{Builder, Claimed, Kind, Ledger};
use standin::Platform;
use tokio::time::Instant;
use unit::{Outcome, Rate, Token};

fn platform() -> Platform {
    Platform::builder()
        .latency(Duration::from_millis(5))
        .timeout(Duration::from_millis(200))
        .open()
}

fn builder(platform: &Platform, name: &str) -> Builder {
    Ledger::builder(platform.store_named(name)).shards(1)
}

fn open(platform: &Platform, name: &str) -> Ledger {
    builder(platform, name).open()
}

/// Guards against a key that is granted twice, accepted with another body, or found without the
/// record of its claim and end, also by another owner.
#[tokio::test(start_paused = true)]
async fn grants_a_key_once_and_keeps_its_record() {
    let platform = platform();
    let ledger = open(&platform, "a");
    assert_eq!(ledger.claim(claim(1, 1)).await.unwrap(), Claimed::Granted);
    let Claimed::Running(record) = ledger.claim(claim(1, 2)).await.unwrap() else {
        panic!("the key is not running");
    };
    assert_eq!(record.token, Token(1));
    let mut other = claim(1, 3);
    other.body = key(77);
    assert_eq!(ledger.claim(other).await.unwrap(), Claimed::Mismatch);
    ledger.end(end(1, 1, Outcome::Ran)).await.unwrap();
    let Claimed::Done(record) = open(&platform, "b").claim(claim(1, 4)).await.unwrap() else {
        panic!("the key is not done");
    };
    let ended = record.end.unwrap();
    assert_eq!((ended.status, ended.outcome), (200, Outcome::Ran));
    assert_eq!(ended.target.unwrap().as_str(), "vault-desk-4");
    assert_eq!(record.caller.as_str(), "desk-3@clinic-7");
}

/// Guards against a key that stays taken although its request did not run, and against one that is
/// freed although its request may have run.
#[tokio::test(start_paused = true)]
async fn not_run_frees_the_key_and_unknown_does_not() {
    let ledger = open(&platform(), "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    ledger.end(end(1, 1, Outcome::NotRun)).await.unwrap();
    assert_eq!(ledger.claim(claim(1, 2)).await.unwrap(), Claimed::Granted);
    // A late duplicate of the first release must not free the second claim.
    ledger.release(key(1), Token(1)).await.unwrap();
    ledger.end(end(1, 2, Outcome::Unknown)).await.unwrap();
    ledger.release(key(1), Token(2)).await.unwrap();
    assert!(matches!(
        ledger.claim(claim(1, 3)).await.unwrap(),
        Claimed::Done(_)
    ));
}

/// Guards against a claim that takes its key but is not granted. The write of the head succeeds and
/// its response is lost. The second write of the same bytes conflicts with the first one; the
/// ledger reloads the head and finds the claim's token there.
#[tokio::test(start_paused = true)]
async fn claim_with_lost_response_is_granted_after_reload() {
    let platform = platform();
    let ledger = open(&platform, "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    platform.fault().lose_next(1);
    assert_eq!(ledger.claim(claim(2, 2)).await.unwrap(), Claimed::Granted);
    let resend = ledger.claim(claim(2, 3)).await.unwrap();
    assert!(matches!(resend, Claimed::Running(record) if record.token == Token(2)));
    let count = ledger.dump().shards[0].count;
    assert_eq!((count.lost, count.conflicts, count.granted), (1, 1, 2));
}

/// Guards against a key that stays taken although nothing runs. The write of the claim is delayed
/// and takes effect after the claim has timed out. The ledger must then release it, so that a
/// resend can run.
#[tokio::test(start_paused = true)]
async fn write_that_lands_after_timeout_leaves_key_free() {
    let platform = platform();
    let ledger = builder(&platform, "a")
        .timeout(Duration::from_millis(300))
        .open();
    ledger.claim(claim(1, 1)).await.unwrap();
    platform.fault().delay_next(9, Duration::from_secs(3));
    let error = ledger.claim(claim(2, 2)).await.unwrap_err();
    assert_eq!(error.kind, Kind::TimedOut);
    platform.fault().delay_next(0, Duration::ZERO);
    advance(10_000).await;
    assert_eq!(ledger.find(key(2)).await.unwrap(), None);
    assert_eq!(ledger.claim(claim(2, 3)).await.unwrap(), Claimed::Granted);
    assert_eq!(ledger.dump().shards[0].count.released, 1);
}

/// Guards against a key that stays taken after its caller has disconnected during the write: the
/// claim is written, but nothing runs.
#[tokio::test(start_paused = true)]
async fn a_dropped_claim_is_released() {
    let platform = platform();
    let ledger = open(&platform, "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    let task = spawn(&ledger, 2, 2);
    advance(2).await;
    task.abort();
    advance(1_000).await;
    assert_eq!(ledger.claim(claim(2, 3)).await.unwrap(), Claimed::Granted);
    assert_eq!(ledger.dump().shards[0].count.released, 1);
}

/// Guards against a key that stays taken after a planned stop. The caller disconnects during the
/// write, and its daemon stops. The flush must write the release, so that the next owner finds the
/// key free.
#[tokio::test(start_paused = true)]
async fn flush_writes_releases_of_abandoned_claims() {
    let platform = platform();
    let ledger = open(&platform, "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    let task = spawn(&ledger, 2, 2);
    advance(2).await;
    task.abort();
    let soon = Instant::now() + Duration::from_millis(1);
    assert!(!ledger.flush(soon).await);
    let later = Instant::now() + Duration::from_secs(5);
    assert!(ledger.flush(later).await);
    drop(ledger);
    let claimed = open(&platform, "b").claim(claim(2, 3)).await;
    assert_eq!(claimed, Ok(Claimed::Granted));
}

/// Guards against a key that runs twice because two daemons own its shard concurrently. Both write
/// against the same version. One write succeeds; the other one conflicts, and its owner reloads the
/// head and reports the key as running.
#[tokio::test(start_paused = true)]
async fn concurrent_owners_grant_one_claim() {
    let platform = platform();
    let (a, b) = (open(&platform, "a"), open(&platform, "b"));
    for round in 0..20 {
        let first = spawn(&a, round, 1);
        let second = spawn(&b, round, 2);
        let answers = [
            first.await.unwrap().unwrap(),
            second.await.unwrap().unwrap(),
        ];
        let granted = answers
            .iter()
            .filter(|claimed| **claimed == Claimed::Granted);
        assert_eq!(granted.count(), 1, "round {round}: {answers:?}");
    }
    let conflicts = |ledger: &Ledger| ledger.dump().shards[0].count.conflicts;
    assert!(conflicts(&a) + conflicts(&b) >= 20);
}

/// Guards against a key that runs twice after a pause of its owner. The owner is cut off during a
/// write, and another owner grants the key meanwhile. The delayed write must fail because its
/// version is outdated, and the first owner must reload the head.
#[tokio::test(start_paused = true)]
async fn write_of_paused_owner_fails_version_check() {
    let platform = platform();
    let paused = builder(&platform, "a")
        .timeout(Duration::from_millis(500))
        .open();
    paused.claim(claim(1, 1)).await.unwrap();
    platform.fault_of("a").hold(true);
    let delayed = spawn(&paused, 2, 2);
    advance(100).await;
    let other = open(&platform, "b");
    assert_eq!(other.claim(claim(2, 3)).await.unwrap(), Claimed::Granted);
    assert_eq!(delayed.await.unwrap().unwrap_err().kind, Kind::TimedOut);
    platform.fault_of("a").hold(false);
    advance(5_000).await;
    let held = paused.claim(claim(2, 4)).await.unwrap();
    assert!(matches!(held, Claimed::Running(record) if record.token == Token(3)));
}

/// Guards against callers that wait in vain for a store that is down. The first claim fails after
/// the ledger's timeout, later ones at once with the time of the next attempt. Once the store is
/// back, a resend is granted.
#[tokio::test(start_paused = true)]
async fn store_outage_fails_claims_until_it_ends() {
    let platform = platform();
    let ledger = open(&platform, "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    platform.fault().down(true);
    let error = ledger.claim(claim(2, 2)).await.unwrap_err();
    assert_eq!(error.kind, Kind::TimedOut);
    let before = Instant::now();
    let error = ledger.claim(claim(2, 3)).await.unwrap_err();
    assert_eq!((error.kind, before.elapsed()), (Kind::Down, Duration::ZERO));
    assert!(error.retry_after >= Duration::from_millis(100));
    platform.fault().down(false);
    advance(2_000).await;
    assert_eq!(ledger.claim(claim(2, 4)).await.unwrap(), Claimed::Granted);
}

/// Guards against a key that runs twice because a daemon that starts while the store is down grants
/// claims before it has read the head.
#[tokio::test(start_paused = true)]
async fn a_store_that_is_down_at_the_start_grants_nothing() {
    let platform = platform();
    open(&platform, "b").claim(claim(1, 1)).await.unwrap();
    platform.fault().down(true);
    let ledger = open(&platform, "a");
    assert_eq!(
        ledger.claim(claim(1, 2)).await.unwrap_err().kind,
        Kind::TimedOut
    );
    assert_eq!(
        ledger.claim(claim(1, 3)).await.unwrap_err().kind,
        Kind::Down
    );
    platform.fault().down(false);
    advance(2_000).await;
    assert!(matches!(
        ledger.claim(claim(1, 4)).await.unwrap(),
        Claimed::Running(_)
    ));
}

/// Guards against a claim beyond the queue's limit that waits before it is refused. The claims
/// queued before it are still granted.
#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_at_once() {
    let platform = platform();
    let ledger = builder(&platform, "a").queue(3).open();
    ledger.claim(claim(0, 9)).await.unwrap();
    let first = spawn(&ledger, 1, 1);
    advance(1).await;
    let queued: Vec<_> = (2..5).map(|n| spawn(&ledger, n, u128::from(n))).collect();
    advance(1).await;
    let before = Instant::now();
    let error = ledger.claim(claim(5, 5)).await.unwrap_err();
    assert_eq!((error.kind, before.elapsed()), (Kind::Full, Duration::ZERO));
    for task in queued.into_iter().chain([first]) {
        assert_eq!(task.await.unwrap().unwrap(), Claimed::Granted);
    }
}

/// Guards against claims that fail in a burst because the platform refuses writes above its rate
/// limit. A refused batch was not written, and is retried together with the claims that have
/// arrived since.
#[tokio::test(start_paused = true)]
async fn rate_limited_writes_are_retried() {
    let platform = platform();
    platform.fault().limit_writes(Rate::of(20.0), 1);
    let ledger = builder(&platform, "a").writes(Rate::of(200.0)).open();
    let mut tasks = Vec::new();
    for n in 0..100 {
        tasks.push(spawn(&ledger, n, u128::from(n)));
        advance(5).await;
    }
    for task in tasks {
        assert_eq!(task.await.unwrap().unwrap(), Claimed::Granted);
    }
    assert!(platform.count().refused > 0);
}

/// Guards against a needless delay for a caller that waits for the first run of its key: the wait
/// must return when the end is reported, before the store has confirmed it.
#[tokio::test(start_paused = true)]
async fn wait_returns_when_end_is_reported() {
    let ledger = open(&platform(), "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    let waiting = {
        let ledger = ledger.clone();
        let until = Instant::now() + Duration::from_secs(5);
        tokio::spawn(async move { ledger.wait(key(1), Token(1), until).await })
    };
    advance(50).await;
    let before = Instant::now();
    let ending = ledger.clone();
    tokio::spawn(async move { ending.end(end(1, 1, Outcome::Ran)).await });
    let record = waiting.await.unwrap().unwrap();
    assert_eq!(record.end.unwrap().status, 200);
    assert_eq!(before.elapsed(), Duration::ZERO);
    let until = Instant::now() + Duration::from_millis(10);
    assert_eq!(ledger.wait(key(9), Token(9), until).await, None);
}

/// Guards against a key that is granted twice after the number of shards was changed: with two
/// layouts, the key would belong to two shards. The claim fails and reports the stored number.
#[tokio::test(start_paused = true)]
async fn different_shard_count_grants_nothing() {
    let platform = platform();
    open(&platform, "a").claim(claim(1, 1)).await.unwrap();
    let other = Ledger::builder(platform.store()).shards(2).open();
    let error = other.claim(claim(1, 2)).await.unwrap_err();
    assert_eq!(error.kind, Kind::LayoutMismatch(1));
}

/// Guards against a key that stays taken although nothing runs. An entry loses the link to an owner
/// that is cut off from the store, and has the next owner release the claim. When the first owner
/// reaches the store again, it must not grant the claim: no requester waits for it, and no other
/// release would follow.
#[tokio::test(start_paused = true)]
async fn claim_released_through_another_owner_is_not_granted() {
    let platform = platform();
    let (first, next) = (open(&platform, "a"), open(&platform, "b"));
    first.claim(claim(1, 1)).await.unwrap();
    platform.fault_of("a").hold(true);
    let delayed = spawn(&first, 2, 2);
    advance(100).await;
    next.release(key(2), Token(2)).await.unwrap();
    platform.fault_of("a").hold(false);
    assert_eq!(delayed.await.unwrap().unwrap_err().kind, Kind::Released);
    assert_eq!(next.claim(claim(2, 3)).await.unwrap(), Claimed::Granted);
}
