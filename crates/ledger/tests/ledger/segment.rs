//! Sealing heads into segments, the retention, and crashes between the writes of the segment and of
//! the head.

use std::time::Duration;

use crate::common::{advance, claim, end, key, spawn};
use ledger::{Builder, Claimed, Kind, Ledger};
use standin::Platform;
use store::{Calls, Condition, Store};
use unit::{Outcome, Size, Token};

const KEYS: u64 = 200;

fn builder(platform: &Platform, name: &str) -> Builder {
    Ledger::builder(platform.store_named(name))
        .shards(1)
        .batch(10)
        .segment_size(Size::of(4_000))
}

/// Claims the keys in `from..to`, each with its number as the token.
async fn fill(ledger: &Ledger, from: u64, to: u64) {
    let tasks: Vec<_> = (from..to)
        .map(|n| spawn(ledger, n, u128::from(n)))
        .collect();
    for task in tasks {
        let claimed = task.await.expect("the claim completes");
        assert_eq!(claimed, Ok(Claimed::Granted));
    }
    advance(100).await;
}

async fn segment_count(platform: &Platform) -> usize {
    let listing = platform.store().list("ledger/seg/").await;
    listing.expect("the segments are listed").objects.len()
}

/// Guards against a key that runs twice because a new owner does not find its claim or its end in
/// the sealed segments.
#[tokio::test(start_paused = true)]
async fn a_new_owner_finds_the_keys_of_sealed_segments() {
    let platform = Platform::builder().open();
    let first = builder(&platform, "a").open();
    fill(&first, 0, KEYS).await;
    first.end(end(3, 3, Outcome::Ran)).await.unwrap();
    assert!(segment_count(&platform).await >= 3);
    let second = builder(&platform, "b").open();
    for n in 0..KEYS {
        let claimed = second.claim(claim(n, 1_000 + u128::from(n))).await.unwrap();
        let token = match claimed {
            Claimed::Running(record) if n != 3 => record.token,
            Claimed::Done(record) if n == 3 => record.token,
            other => panic!("key {n}: {other:?}"),
        };
        assert_eq!(token, Token(u128::from(n)));
    }
    let record = second.find(key(3)).await.unwrap().unwrap();
    assert_eq!(record.end.unwrap().status, 200);
    assert_eq!(second.find(key(KEYS)).await.unwrap(), None);
}

/// Guards against a sealed claim that can't be released, and against a release of an earlier claim
/// that frees the key of a later one.
#[tokio::test(start_paused = true)]
async fn a_sealed_claim_can_be_released_and_claimed_again() {
    let platform = Platform::builder().open();
    let ledger = builder(&platform, "a").open();
    fill(&ledger, 0, KEYS).await;
    ledger.release(key(0), Token(0)).await.unwrap();
    let again = ledger.claim(claim(0, 5_000)).await.unwrap();
    assert_eq!(again, Claimed::Granted);
    fill(&ledger, KEYS, 2 * KEYS).await;
    // The first claim, its release and the second claim are now all sealed.
    ledger.release(key(0), Token(0)).await.unwrap();
    let held = builder(&platform, "b")
        .open()
        .claim(claim(0, 5_001))
        .await
        .unwrap();
    assert!(matches!(held, Claimed::Running(record) if record.token == Token(5_000)));
}

/// Guards against a key that stays taken although both earlier attempts were released. The first
/// release is written again late, as after a lost response, and must not displace the second one.
#[tokio::test(start_paused = true)]
async fn late_duplicate_release_leaves_key_free() {
    let platform = Platform::builder().open();
    let ledger = builder(&platform, "a").open();
    ledger.claim(claim(0, 1_001)).await.unwrap();
    ledger.release(key(0), Token(1_001)).await.unwrap();
    ledger.claim(claim(0, 1_002)).await.unwrap();
    fill(&ledger, 1, KEYS).await;
    ledger.release(key(0), Token(1_002)).await.unwrap();
    ledger.release(key(0), Token(1_001)).await.unwrap();
    let claimed = ledger.claim(claim(0, 1_003)).await;
    assert_eq!(claimed, Ok(Claimed::Granted));
}

/// A store whose segment writes never take effect and are never answered.
fn without_segments(store: Store) -> Store {
    let [get, put, delete, list] = [(); 4].map(|()| store.clone());
    Store::from(Calls {
        get: Box::new(move |key, _| {
            let store = get.clone();
            Box::pin(async move { store.get(&key).await })
        }),
        put: Box::new(move |key, value, when| {
            let store = put.clone();
            Box::pin(async move {
                if key.contains("/seg/") {
                    std::future::pending::<()>().await;
                }
                store.put(&key, value, when).await
            })
        }),
        delete: Box::new(move |key, when| {
            let store = delete.clone();
            Box::pin(async move { store.delete(&key, when).await })
        }),
        list: Box::new(move |prefix, _| {
            let store = list.clone();
            Box::pin(async move { store.list(&prefix).await })
        }),
        watch: Box::new(|_, _, _| Box::pin(std::future::pending())),
    })
}

/// Guards against keys that run twice after a crash. The first owner stops after the head was
/// written with a frozen generation and before its segment is written. The next owner must write
/// the segment.
#[tokio::test(start_paused = true)]
async fn owner_crash_before_segment_write_loses_no_claim() {
    let platform = Platform::builder().open();
    let first = Ledger::builder(without_segments(platform.store()));
    let first = first
        .shards(1)
        .batch(10)
        .segment_size(Size::of(4_000))
        .open();
    fill(&first, 0, 100).await;
    drop(first);
    assert_eq!(segment_count(&platform).await, 0);
    let second = builder(&platform, "b").open();
    for n in 0..100 {
        let held = second.claim(claim(n, 1_000)).await.unwrap();
        assert!(matches!(held, Claimed::Running(_)), "key {n}");
    }
    fill(&second, 100, 110).await;
    assert!(segment_count(&platform).await > 0);
    let third = builder(&platform, "c").open();
    let held = third.claim(claim(0, 1_000)).await.unwrap();
    assert!(matches!(held, Claimed::Running(_)));
}

/// Guards against a head that grows beyond the platform's limit for an object. Segments can't be
/// written, so the head can't shrink, and further claims must time out.
#[tokio::test(start_paused = true)]
async fn full_head_accepts_no_more_claims() {
    let platform = Platform::builder().open();
    let store = without_segments(platform.store());
    let ledger = Ledger::builder(store).shards(1).queue(20_000).open();
    let tasks: Vec<_> = (0..15_000)
        .map(|n| spawn(&ledger, n, u128::from(n)))
        .collect();
    let mut granted = 0;
    for task in tasks {
        match task.await.unwrap() {
            Ok(claimed) => granted += u32::from(claimed == Claimed::Granted),
            Err(error) => assert_eq!(error.kind, Kind::TimedOut),
        }
    }
    assert!((10_000..12_000).contains(&granted), "{granted} granted");
    assert_eq!(ledger.dump().shards[0].count.claims, u64::from(granted));
    // Ends are accepted up to a higher limit than claims; those beyond it stay queued.
    for n in 0..u64::from(granted) {
        let ledger = ledger.clone();
        let end = end(n, u128::from(n), Outcome::Ran);
        tokio::spawn(async move { ledger.end(end).await });
    }
    advance(10_000).await;
    let shard = &ledger.dump().shards[0];
    assert_eq!((shard.failing_ms, shard.notes > 0), (None, true));
    assert!(shard.head_bytes < 1_000_000, "{}", shard.head_bytes);
}

/// Guards against keys that run twice, or a segment that is counted twice, after a crash. The first
/// owner stops after a segment is written and before the head counts it. The next owner writes the
/// segment again, finds that it exists, and counts it once.
#[tokio::test(start_paused = true)]
async fn owner_crash_after_segment_write_loses_no_claim() {
    let platform = Platform::builder().open();
    let first = builder(&platform, "a").open();
    fill(&first, 0, 60).await;
    advance(1_000).await;
    let sealed = segment_count(&platform).await;
    let counted = first.dump().shards[0].next;
    assert_eq!(
        counted + 1,
        sealed as u64,
        "one segment is written and not counted in the head"
    );
    drop(first);
    let second = builder(&platform, "b").open();
    second.claim(claim(100, 1)).await.unwrap();
    advance(1_000).await;
    second.claim(claim(101, 1)).await.unwrap();
    assert_eq!(second.dump().shards[0].next, sealed as u64);
    assert_eq!(segment_count(&platform).await, sealed);
    for n in 0..60 {
        let held = second.claim(claim(n, 9)).await.unwrap();
        assert!(matches!(held, Claimed::Running(_)), "key {n}");
    }
}

/// Guards against claims that are kept beyond the retention, so that their segments accumulate and
/// their keys stay taken.
#[tokio::test(start_paused = true)]
async fn claims_past_retention_are_dropped() {
    let platform = Platform::builder().open();
    let with_retention = |name| builder(&platform, name).retention(Duration::from_secs(60));
    let ledger = with_retention("a").open();
    fill(&ledger, 0, KEYS).await;
    let before = segment_count(&platform).await;
    advance(61_000).await;
    ledger.claim(claim(KEYS, 1)).await.unwrap();
    advance(1_000).await;
    assert!(segment_count(&platform).await < before);
    assert!(ledger.dump().shards[0].first > 0);
    assert_eq!(
        ledger.claim(claim(0, 7_000)).await.unwrap(),
        Claimed::Granted
    );
    let held = ledger.claim(claim(KEYS, 7_001)).await.unwrap();
    assert!(matches!(held, Claimed::Running(_)));
}

/// Guards against keys that run twice because a segment that the head counts is missing: without
/// it, the owner can't tell which keys have run, and must not grant any claim.
#[tokio::test(start_paused = true)]
async fn a_missing_segment_grants_nothing() {
    let platform = Platform::builder().open();
    fill(&builder(&platform, "a").open(), 0, KEYS).await;
    let store = platform.store();
    store
        .delete("ledger/seg/0/1", Condition::Any)
        .await
        .unwrap();
    let ledger = builder(&platform, "b").open();
    assert!(ledger.claim(claim(999, 1)).await.is_err());
    assert_eq!(ledger.dump().shards[0].count.granted, 0);
}

/// Guards against memory use that grows without bound with the number of keys.
#[tokio::test(start_paused = true)]
async fn a_shard_with_too_many_keys_refuses_new_ones() {
    let platform = Platform::builder().open();
    let ledger = builder(&platform, "a").max_keys(50).open();
    fill(&ledger, 0, 50).await;
    assert_eq!(
        ledger.claim(claim(50, 1)).await.unwrap_err().kind,
        Kind::TooManyKeys
    );
}

/// Guards against an idle shard that keeps its keys in memory, and against one that grants a key
/// again after it has dropped them.
#[tokio::test(start_paused = true)]
async fn idle_shard_drops_its_keys_and_reloads_them() {
    let platform = Platform::builder().open();
    let ledger = builder(&platform, "a")
        .idle_timeout(Duration::from_secs(10))
        .open();
    fill(&ledger, 0, KEYS).await;
    assert!(ledger.dump().shards[0].sealed_keys > 0);
    advance(11_000).await;
    assert_eq!(ledger.dump().shards[0].sealed_keys, 0);
    let held = ledger.claim(claim(0, 9_000)).await.unwrap();
    assert!(matches!(held, Claimed::Running(_)));
}
