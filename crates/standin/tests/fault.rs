//! The stand-in's faults through memory.

use std::time::Duration;

use bytes::Bytes;
use standin::Platform;
use store::{Condition, Kind};
use tokio::time::{Instant, sleep};
use unit::Rate;

fn text(text: &'static str) -> Bytes {
    Bytes::from(text)
}

#[tokio::test(start_paused = true)]
async fn latency_is_that_of_a_whole_call() {
    let latency = Duration::from_millis(5);
    let store = Platform::builder().latency(latency).open().store();
    let start = Instant::now();
    store.put("a", text("1"), Condition::Any).await.unwrap();
    assert!(start.elapsed() >= latency && start.elapsed() < 2 * latency);
}

// The caller of a delayed write gives up on it; the write takes effect later all the same.
#[tokio::test(start_paused = true)]
async fn a_delayed_write_lands_after_its_caller_has_gone() {
    let platform = Platform::builder()
        .timeout(Duration::from_millis(100))
        .open();
    let store = platform.store();
    platform.fault().delay_next(1, Duration::from_secs(1));
    let error = store
        .put("a", text("1"), Condition::Absent)
        .await
        .unwrap_err();
    assert!(error.may_have_written());
    assert_eq!(store.get("a").await.unwrap(), None);
    sleep(Duration::from_secs(1)).await;
    assert!(store.get("a").await.unwrap().is_some());
}

// Only the client that is held sees nothing of the platform, and its write arrives when the hold
// ends; by then its condition no longer holds.
#[tokio::test(start_paused = true)]
async fn a_hold_is_for_one_client() {
    let platform = Platform::builder()
        .timeout(Duration::from_millis(100))
        .open();
    let (held, free) = (platform.store_named("held"), platform.store_named("free"));
    platform.fault_of("held").hold(true);
    assert!(held.put("a", text("1"), Condition::Absent).await.is_err());
    free.put("a", text("2"), Condition::Absent).await.unwrap();
    platform.fault_of("held").hold(false);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(held.get("a").await.unwrap().unwrap().value, "2");
    assert_eq!(platform.count_of("held").put, 1);
}

#[tokio::test(start_paused = true)]
async fn rates_are_refused_and_counted() {
    let platform = Platform::builder().open();
    let store = platform.store();
    platform.fault().limit_writes(Rate::of(10.0), 1);
    platform.fault().limit_reads(Rate::of(10.0), 1);
    store.put("a", text("1"), Condition::Any).await.unwrap();
    store.get("a").await.unwrap();
    let error = store.put("a", text("2"), Condition::Any).await.unwrap_err();
    assert!(matches!(error.kind, Kind::NotWritten(_)));
    assert!(store.get("a").await.is_err());
    sleep(Duration::from_millis(110)).await;
    store.put("a", text("3"), Condition::Any).await.unwrap();
    assert_eq!(platform.count().refused, 2);
}
