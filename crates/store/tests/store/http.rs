//! The HTTP adapter: each call, and each failure of the way.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use standin::{Handle, Platform, serve};
use store::http::{Builder, Client};
use store::{Condition, Kind, Store};
use tokio::net::TcpListener;
use unit::{Rate, Version};

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(300);

async fn start(platform: &Platform) -> Handle {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    serve(platform.clone(), listener).expect("an address")
}

fn client(handle: &Handle) -> Builder {
    Client::builder()
        .peer(handle.address())
        .agent("daemon-1")
        .timeout(LONG)
}

/// An address where nothing listens.
async fn nowhere() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

async fn put(store: &Store, key: &str, text: &'static str) -> Version {
    let written = store.put(key, Bytes::from(text), Condition::Any).await;
    written.expect("the write is confirmed")
}

#[tokio::test]
async fn writes_are_conditional() {
    let platform = Platform::builder().open();
    let handle = start(&platform).await;
    let store = client(&handle).open();
    assert_eq!(store.get("a/b").await.unwrap(), None);
    let first = store
        .put("a/b", Bytes::from("1"), Condition::Absent)
        .await
        .unwrap();
    let error = store
        .put("a/b", Bytes::from("2"), Condition::Absent)
        .await
        .unwrap_err();
    assert_eq!(error.kind, Kind::Conflict(Some(first)));
    assert!(!error.may_have_written());
    let second = store
        .put("a/b", Bytes::from("2"), Condition::Match(first))
        .await
        .unwrap();
    assert!(second > first);
    let error = store
        .delete("a/b", Condition::Match(first))
        .await
        .unwrap_err();
    assert_eq!(error.kind, Kind::Conflict(Some(second)));
    let object = store.get("a/b").await.unwrap().unwrap();
    assert_eq!((object.value.as_ref(), object.version), (&b"2"[..], second));
    store.delete("a/b", Condition::Match(second)).await.unwrap();
    store.delete("a/b", Condition::Any).await.unwrap();
    let error = store
        .put("a/b", Bytes::from("3"), Condition::Match(second))
        .await
        .unwrap_err();
    assert_eq!(error.kind, Kind::Conflict(None));
    assert_eq!(platform.count_of("daemon-1").put, 4);
}

#[tokio::test]
async fn lists_and_watches_carry_texts_and_bytes() {
    let handle = start(&Platform::builder().open()).await;
    let store = client(&handle).open();
    put(&store, "p/text", "été").await;
    let bytes = Bytes::from_static(&[0, 159, 255]);
    store
        .put("p/bytes", bytes.clone(), Condition::Any)
        .await
        .unwrap();
    put(&store, "q/other", "x").await;
    let listing = store.list("p/").await.unwrap();
    let values: Vec<_> = listing.objects.iter().map(|o| o.value.clone()).collect();
    assert_eq!(values, [bytes, Bytes::from("été")]);
    let watching = {
        let store = store.clone();
        let since = listing.revision;
        tokio::spawn(async move { store.watch("p/", since, LONG).await })
    };
    put(&store, "q/other", "y").await;
    store.delete("p/text", Condition::Any).await.unwrap();
    let change = watching.await.unwrap().unwrap();
    assert_eq!(
        (change.changed.len(), change.deleted[0].key.as_str()),
        (0, "p/text")
    );
    let quiet = store
        .watch("p/", change.revision, Duration::from_millis(20))
        .await
        .unwrap();
    assert!(quiet.changed.is_empty() && quiet.deleted.is_empty());
}

#[tokio::test]
async fn a_watch_that_is_too_late_must_list_again() {
    let platform = Platform::builder().log_length(3).open();
    let handle = start(&platform).await;
    let store = client(&handle).open();
    for _ in 0..5 {
        put(&store, "a", "1").await;
    }
    let error = store.watch("a", Version::of(1), SHORT).await.unwrap_err();
    assert!(error.is_compacted());
    let change = store.watch("a", Version::of(2), SHORT).await.unwrap();
    assert_eq!(change.changed[0].version, Version::of(5));
}

#[tokio::test]
async fn what_can_not_be_stored_is_not_sent() {
    let platform = Platform::builder().open();
    let handle = start(&platform).await;
    let store = client(&handle).open();
    let large = Bytes::from(vec![0; 1_000_001]);
    let error = store.put("a", large, Condition::Any).await.unwrap_err();
    assert!(matches!(error.kind, Kind::TooLarge(..)));
    let error = store
        .put("a?b", Bytes::new(), Condition::Any)
        .await
        .unwrap_err();
    assert!(matches!(error.kind, Kind::Key(_)));
    assert_eq!(platform.count().total(), 0);
}

// A daemon whose first peer is gone is served by the second one. Nothing was sent to the first, so
// that the same write may go to the second.
#[tokio::test]
async fn a_peer_that_is_gone_is_passed_over() {
    let platform = Platform::builder().open();
    let handle = start(&platform).await;
    let gone = nowhere().await;
    let store = Client::builder()
        .peers(&[gone, handle.address()])
        .timeout(LONG)
        .open();
    store
        .put("a", Bytes::from("1"), Condition::Absent)
        .await
        .unwrap();
    assert_eq!(platform.count().put, 1);
    let alone = Client::builder().peer(gone).timeout(LONG).open();
    let error = alone
        .put("a", Bytes::from("1"), Condition::Any)
        .await
        .unwrap_err();
    assert!(matches!(error.kind, Kind::NotWritten(_)), "{error}");
    assert_eq!(error.peer, gone.to_string());
}

// The daemon learns that nothing was written: the platform is down (503), or refuses by rate (429).
#[tokio::test]
async fn refusals_are_not_written() {
    let platform = Platform::builder().open();
    let handle = start(&platform).await;
    let store = client(&handle).open();
    platform.fault().down(true);
    let error = store
        .put("a", Bytes::from("1"), Condition::Any)
        .await
        .unwrap_err();
    assert!(
        matches!(&error.kind, Kind::NotWritten(cause) if cause.contains("503")),
        "{error}"
    );
    platform.fault().down(false);
    platform.fault().limit_writes(Rate::of(0.001), 1);
    put(&store, "a", "1").await;
    let error = store
        .put("a", Bytes::from("2"), Condition::Any)
        .await
        .unwrap_err();
    assert!(matches!(&error.kind, Kind::NotWritten(cause) if cause.contains("429")));
    assert_eq!(store.get("a").await.unwrap().unwrap().value, "1");
}

// The daemon learns that its write may have been done, though the connection was cut before the
// answer; and the client does not send it to another peer, where it would look like a conflict.
#[tokio::test]
async fn a_cut_answer_is_lost_and_not_sent_again() {
    let platform = Platform::builder().open();
    let (first, second) = (start(&platform).await, start(&platform).await);
    let store = Client::builder()
        .peers(&[first.address(), second.address()])
        .timeout(LONG)
        .open();
    put(&store, "b", "1").await;
    platform.fault().lose_next(1);
    let error = store
        .put("a", Bytes::from("1"), Condition::Absent)
        .await
        .unwrap_err();
    assert!(error.may_have_written(), "{error}");
    assert_eq!(platform.count().put, 2);
    assert_eq!(store.get("a").await.unwrap().unwrap().value, "1");
}

// The daemon's calls hang for one time-out, and work from then on. The open connections have gone
// silent for good, while new ones work; the client drops all pooled ones of the peer at once.
#[tokio::test]
async fn silent_connections_are_replaced_by_new_ones() {
    let platform = Platform::builder().open();
    let handle = start(&platform).await;
    let store = client(&handle).timeout(SHORT).open();
    put(&store, "a", "1").await;
    handle.silence();
    let error = store
        .put("a", Bytes::from("2"), Condition::Any)
        .await
        .unwrap_err();
    assert!(error.may_have_written(), "{error}");
    assert_eq!(store.get("a").await.unwrap().unwrap().value, "2");
}

// The daemon's watch ends some time after its wait, though the platform has dropped it without a
// word; the next watch finds what was changed meanwhile.
#[tokio::test]
async fn a_watch_dropped_silently_ends_by_its_time() {
    let platform = Platform::builder().open();
    let handle = start(&platform).await;
    let store = client(&handle).timeout(SHORT).open();
    platform.fault().drop_watches(true);
    let error = store.watch("a", Version::NONE, SHORT).await.unwrap_err();
    assert!(matches!(error.kind, Kind::Lost(_)), "{error}");
    platform.fault().drop_watches(false);
    put(&store, "a", "1").await;
    let change = store.watch("a", Version::NONE, SHORT).await.unwrap();
    assert_eq!(change.changed.len(), 1);
}
