//! The call budget, the token bucket and the pauses.

use std::time::Duration;

use bytes::Bytes;
use standin::Platform;
use store::{Backoff, Bucket, Condition, Consistency, Kind, Meter};
use tokio::time::{Instant, sleep};
use unit::{Rate, Version};

#[tokio::test(start_paused = true)]
async fn calls_above_the_budget_are_not_sent() {
    let platform = Platform::builder().open();
    let meter = Meter::new(Rate::of(10.0), 2);
    let store = meter.over(&platform.store());
    store.get("a").await.unwrap();
    store
        .put("a", Bytes::from("1"), Condition::Any)
        .await
        .unwrap();
    let error = store.get("a").await.unwrap_err();
    let Kind::Budget(retry_after) = error.kind else {
        panic!("{error}");
    };
    assert!(!error.may_have_written());
    sleep(retry_after).await;
    store.get("a").await.unwrap();
    let count = meter.count();
    assert_eq!((count.get, count.put, count.refused), (2, 1, 1));
    assert_eq!(platform.count().total(), 3);
}

#[tokio::test(start_paused = true)]
async fn waiting_watches_count_until_they_are_dropped() {
    let platform = Platform::builder().open();
    let meter = Meter::new(Rate::of(2.0), 10);
    let store = meter.over(&platform.store());
    let watches: Vec<_> = (0..2)
        .map(|_| {
            let store = store.clone();
            let wait = Duration::from_secs(60);
            tokio::spawn(async move { store.watch("a", Version::NONE, wait).await })
        })
        .collect();
    sleep(Duration::from_millis(1)).await;
    assert_eq!((meter.count().waiting, platform.count().waiting), (2, 2));
    // Both hold the whole rate of two calls a second, so that only what was saved up is left.
    sleep(Duration::from_secs(10)).await;
    for _ in 0..8 {
        store.get("a").await.unwrap();
    }
    assert!(store.get("a").await.is_err());
    watches.iter().for_each(tokio::task::JoinHandle::abort);
    sleep(Duration::from_secs(1)).await;
    assert_eq!((meter.count().waiting, platform.count().waiting), (0, 0));
    store.get("a").await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_bucket_lets_its_rate_through() {
    let mut bucket = Bucket::new(Rate::of(100.0), 5);
    let start = Instant::now();
    let mut taken = 0;
    while start.elapsed() < Duration::from_secs(1) {
        match bucket.take(Instant::now()) {
            Ok(()) => taken += 1,
            Err(wait) => sleep(wait).await,
        }
    }
    assert!((100..=105).contains(&taken), "{taken} taken");
}

#[tokio::test(start_paused = true)]
async fn a_call_on_credit_is_paid_by_the_next_ones() {
    let mut bucket = Bucket::new(Rate::of(100.0), 1);
    bucket.charge(Instant::now());
    bucket.charge(Instant::now());
    let wait = bucket.ready(Instant::now()).unwrap_err();
    assert_eq!(wait.as_millis(), 20);
    sleep(wait).await;
    assert!(bucket.take(Instant::now()).is_ok());
}

#[test]
fn pauses_grow_to_the_cap_and_differ_by_seed() {
    let pauses = |seed| {
        let mut backoff = Backoff::new(Duration::from_millis(10), Duration::from_millis(100), seed);
        (0..6).map(|_| backoff.pause()).collect::<Vec<_>>()
    };
    let first = pauses(1);
    assert!(first[0] >= Duration::from_millis(5) && first[0] <= Duration::from_millis(10));
    assert!(first[5] >= Duration::from_millis(50) && first[5] <= Duration::from_millis(100));
    assert_eq!(first, pauses(1));
    assert_ne!(first, pauses(2));
}

#[tokio::test(start_paused = true)]
async fn reads_that_may_be_old_are_counted_apart_and_only_if_sent() {
    let platform = Platform::builder().lag(Duration::from_secs(2)).open();
    let meter = Meter::new(Rate::of(1.0), 3);
    let store = meter.over(&platform.store());
    let put = |value: &'static str| store.put("a", Bytes::from(value), Condition::Any);
    put("1").await.unwrap();
    let old = store.get_with("a", Consistency::Serializable).await;
    assert_eq!(old.unwrap().unwrap().value, "1");
    put("2").await.unwrap();
    // The budget of three is spent, and nothing is sent.
    let spent = store.get_with("a", Consistency::Serializable).await;
    assert!(matches!(spent.unwrap_err().kind, Kind::Budget(_)));
    let count = meter.count();
    assert_eq!(
        (count.total(), count.serializable, count.refused),
        (3, 1, 1)
    );
    assert_eq!(platform.count().serializable, 1);
    // What is read so is up to two seconds old, and no older.
    let plain = platform.store();
    let old = plain.get_with("a", Consistency::Serializable).await;
    assert_eq!(old.unwrap().unwrap().value, "1");
    sleep(Duration::from_secs(2)).await;
    let new = plain.get_with("a", Consistency::Serializable).await;
    assert_eq!(new.unwrap().unwrap().value, "2");
}
