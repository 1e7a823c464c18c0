//! Rolling heads into sealed segments, retention, and crashes between the two writes.

use std::time::Duration;

use crate::common::{claim, end, key, pass};
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

/// Claims the keys in `from..to`, each key's number being its token.
async fn fill(ledger: &Ledger, from: u64, to: u64) {
    let tasks: Vec<_> = (from..to)
        .map(|n| crate::common::spawn(ledger, n, u128::from(n)))
        .collect();
    for task in tasks {
        let claimed = task.await.expect("the claim ends");
        assert_eq!(claimed, Ok(Claimed::Granted));
    }
    pass(100).await;
}

async fn segments(platform: &Platform) -> usize {
    let listing = platform.store().list("ledger/seg/").await;
    listing.expect("a list").objects.len()
}

#[tokio::test(start_paused = true)]
async fn a_new_owner_finds_the_keys_of_sealed_segments() {
    let platform = Platform::builder().open();
    let first = builder(&platform, "a").open();
    fill(&first, 0, KEYS).await;
    first.end(end(3, 3, Outcome::Ran)).await.unwrap();
    assert!(segments(&platform).await >= 3);
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

#[tokio::test(start_paused = true)]
async fn a_sealed_claim_can_be_released_and_claimed_again() {
    let platform = Platform::builder().open();
    let ledger = builder(&platform, "a").open();
    fill(&ledger, 0, KEYS).await;
    ledger.release(key(0), Token(0)).await.unwrap();
    let again = ledger.claim(claim(0, 5_000)).await.unwrap();
    assert_eq!(again, Claimed::Granted);
    fill(&ledger, KEYS, 2 * KEYS).await;
    // Now the first claim, its release and the second claim are all sealed.
    ledger.release(key(0), Token(0)).await.unwrap();
    let held = builder(&platform, "b")
        .open()
        .claim(claim(0, 5_001))
        .await
        .unwrap();
    assert!(matches!(held, Claimed::Running(record) if record.token == Token(5_000)));
}

// The caller of the third try runs. Both earlier tries were released, and the first release is
// repeated late, as after a lost answer; it must not push the second one out.
#[tokio::test(start_paused = true)]
async fn a_release_repeated_late_leaves_no_dead_key() {
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

/// A store whose writes of segments are never answered and never take effect.
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

// The callers of the next owner see no key run twice. The first owner dies after the head has
// frozen a generation and before its segment is written; the next one writes the segment.
#[tokio::test(start_paused = true)]
async fn an_owner_that_dies_before_the_segment_loses_no_claim() {
    let platform = Platform::builder().open();
    let first = Ledger::builder(without_segments(platform.store()));
    let first = first
        .shards(1)
        .batch(10)
        .segment_size(Size::of(4_000))
        .open();
    fill(&first, 0, 100).await;
    drop(first);
    assert_eq!(segments(&platform).await, 0);
    let second = builder(&platform, "b").open();
    for n in 0..100 {
        let held = second.claim(claim(n, 1_000)).await.unwrap();
        assert!(matches!(held, Claimed::Running(_)), "key {n}");
    }
    fill(&second, 100, 110).await;
    assert!(segments(&platform).await > 0);
    let third = builder(&platform, "c").open();
    let held = third.claim(claim(0, 1_000)).await.unwrap();
    assert!(matches!(held, Claimed::Running(_)));
}

// The callers are told "not run" once the head is full. Segments can't be written, so that the head
// can't shrink; it must not grow beyond what the platform holds either.
#[tokio::test(start_paused = true)]
async fn a_head_that_can_not_shrink_takes_no_more_claims() {
    let platform = Platform::builder().open();
    let store = without_segments(platform.store());
    let ledger = Ledger::builder(store).shards(1).queue(20_000).open();
    let tasks: Vec<_> = (0..15_000)
        .map(|n| crate::common::spawn(&ledger, n, u128::from(n)))
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
    // Ends still find some room, and wait beyond that.
    for n in 0..u64::from(granted) {
        let ledger = ledger.clone();
        let end = end(n, u128::from(n), Outcome::Ran);
        tokio::spawn(async move { ledger.end(end).await });
    }
    pass(10_000).await;
    let shard = &ledger.dump().shards[0];
    assert_eq!((shard.failing_ms, shard.notes > 0), (None, true));
    assert!(shard.head_bytes < 1_000_000, "{}", shard.head_bytes);
}

// As before, but the owner dies after the segment is written and before the head counts it in. The
// next owner writes it again, meets the first copy, and counts it once.
#[tokio::test(start_paused = true)]
async fn an_owner_that_dies_after_the_segment_loses_no_claim() {
    let platform = Platform::builder().open();
    let first = builder(&platform, "a").open();
    fill(&first, 0, 60).await;
    pass(1_000).await;
    let sealed = segments(&platform).await;
    let counted = first.dump().shards[0].next;
    assert_eq!(
        counted + 1,
        sealed as u64,
        "one segment is written and not counted"
    );
    drop(first);
    let second = builder(&platform, "b").open();
    second.claim(claim(100, 1)).await.unwrap();
    pass(1_000).await;
    second.claim(claim(101, 1)).await.unwrap();
    assert_eq!(second.dump().shards[0].next, sealed as u64);
    assert_eq!(segments(&platform).await, sealed);
    for n in 0..60 {
        let held = second.claim(claim(n, 9)).await.unwrap();
        assert!(matches!(held, Claimed::Running(_)), "key {n}");
    }
}

#[tokio::test(start_paused = true)]
async fn claims_out_of_the_retention_are_dropped() {
    let platform = Platform::builder().open();
    let keeping = |name| builder(&platform, name).retention(Duration::from_secs(60));
    let ledger = keeping("a").open();
    fill(&ledger, 0, KEYS).await;
    let before = segments(&platform).await;
    pass(61_000).await;
    ledger.claim(claim(KEYS, 1)).await.unwrap();
    pass(1_000).await;
    assert!(segments(&platform).await < before);
    assert!(ledger.dump().shards[0].first > 0);
    assert_eq!(
        ledger.claim(claim(0, 7_000)).await.unwrap(),
        Claimed::Granted
    );
    let held = ledger.claim(claim(KEYS, 7_001)).await.unwrap();
    assert!(matches!(held, Claimed::Running(_)));
}

// The callers are told "not run": without a segment that the head counts nobody can tell which
// keys have run.
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

#[tokio::test(start_paused = true)]
async fn an_idle_shard_forgets_its_keys_and_reads_them_again() {
    let platform = Platform::builder().open();
    let ledger = builder(&platform, "a")
        .idle_timeout(Duration::from_secs(10))
        .open();
    fill(&ledger, 0, KEYS).await;
    assert!(ledger.dump().shards[0].sealed_keys > 0);
    pass(11_000).await;
    assert_eq!(ledger.dump().shards[0].sealed_keys, 0);
    let held = ledger.claim(claim(0, 9_000)).await.unwrap();
    assert!(matches!(held, Claimed::Running(_)));
}
