//! The stand-in's faults through memory.

use std::time::Duration;

use bytes::Bytes;
use standin::{Away, Platform};
use store::{Condition, Kind};
use tokio::time::{Instant, sleep};
use unit::{Rate, Version};

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

// A platform that only some daemons can use must look like that to those that wait too, and go on serving
// the others.
#[tokio::test(start_paused = true)]
async fn clients_are_turned_away_by_themselves() {
    let limit = Duration::from_millis(100);
    let platform = Platform::builder().timeout(limit).open();
    let (away, free) = (platform.store_named("away"), platform.store_named("free"));
    let fault = platform.fault_of("away");
    for (how, written) in [
        (Away::Refuse, false),
        (Away::Reset, true),
        (Away::Silence, true),
    ] {
        fault.turn_away(None);
        let waiting = tokio::spawn({
            let away = platform.store_named("away");
            async move { away.watch("a", Version::NONE, Duration::from_secs(5)).await }
        });
        sleep(Duration::from_millis(10)).await;
        fault.turn_away(Some(how));
        // A watch that is silenced hears nothing of the write below, and ends by its time-out.
        free.put("b", text("1"), Condition::Any).await.unwrap();
        let put = away.put("a", text("1"), Condition::Any).await;
        let error = put.unwrap_err();
        assert_eq!(error.may_have_written(), written, "{how:?}");
        assert!(waiting.await.unwrap().is_err(), "{how:?}");
        assert_eq!(free.get("a").await.unwrap(), None, "{how:?}");
    }
    fault.turn_away(None);
    assert!(away.get("b").await.unwrap().is_some());
}
