//! The table as its connections use it.

use clients::{Limits, Table, Wait};
use futures_util::FutureExt;
use unit::Size;

fn table(memory: u64, connections: u32) -> Table {
    Table::new(Limits {
        memory: Size::of(memory),
        connections,
    })
}

/// Guards against descriptors that run out because the evicted connection still has its own.
#[tokio::test]
async fn connections_never_exceed_their_limit() {
    let table = table(1_000, 2);
    let first = table.connect().await.expect("room");
    let second = table.connect().await.expect("room");
    second.update(0, Wait::Nothing);
    let mut third = Box::pin(table.connect());
    assert!(third.as_mut().now_or_never().is_none(), "it waits");
    first.closed().await;
    assert_eq!(table.count().connections, 2);
    drop(first);
    let third = third.await.expect("room");
    third.update(0, Wait::Nothing);
    assert!(table.connect().await.is_none(), "both are served");
    let count = table.count();
    assert_eq!((count.connections, count.evicted), (2, 1));
    assert_eq!(count.turned_away, 1);
}

/// Guards against a sum that never falls again, so that all callers are refused for ever.
#[tokio::test]
async fn dropped_guards_release_what_they_held() {
    let table = table(100_000, 4);
    let mut client = table.connect().await.expect("room");
    let request = client.try_hold(50_000).expect("room");
    request.grow(10_000);
    client.tight_changed().await;
    assert!(client.is_tight());
    assert!(client.try_hold(50_000).is_none(), "nobody can be closed");
    assert_eq!((table.count().held, table.count().refused), (60_000, 1));
    request.set(1_000);
    client.tight_changed().await;
    assert!(!client.is_tight());
    drop(request);
    client.update(70_000, Wait::Body);
    drop(client);
    assert_eq!(table.count().held, 0);
}

/// Guards against a hold that outlives its connection, and is released from another one.
#[tokio::test]
async fn holds_outlive_their_connections() {
    let table = table(100_000, 4);
    let client = table.connect().await.expect("room");
    let request = client.try_hold(50_000).expect("room");
    drop(client);
    assert_eq!(table.count().held, 0);
    let other = table.connect().await.expect("room");
    let kept = other.try_hold(20_000).expect("room");
    drop(request);
    assert_eq!(table.count().held, 20_000);
    drop(kept);
}
