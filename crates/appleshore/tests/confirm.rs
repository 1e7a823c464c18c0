//! Daemons over loopback that confirm their configuration, and what operators see of it.

use appleshore::Part;
use mesh::{Mesh, until};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const COUNT: usize = 3;

fn confirmations(mesh: &Mesh, index: usize) -> Value {
    let state = mesh.daemon(index).dump(Part::Feed).state;
    state["confirmations"].clone()
}

async fn metrics(mesh: &Mesh, index: usize) -> String {
    let mut stream = TcpStream::connect(mesh.operator(index))
        .await
        .expect("listens");
    let request = b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("is written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("is text");
    answer
}

/// A daemon that served on without the store would serve a key that was removed meanwhile.
#[tokio::test]
async fn daemons_stop_without_the_store_and_resume_with_it() {
    let builder = Mesh::builder().instances(COUNT);
    let mesh = builder.settings(r#""revoke": "2s""#).start().await;
    let all = |serving: bool| (0..COUNT).all(|at| confirmations(&mesh, at)["serving"] == serving);
    until("all are confirmed", || all(true)).await;
    let text = metrics(&mesh, 0).await;
    assert!(text.contains("\nappleshore_confirmed 1\n"), "{text}");
    assert!(
        text.contains("\nappleshore_confirmation_age_milliseconds "),
        "{text}"
    );
    mesh.platform.fault().down(true);
    until("all refuse", || all(false)).await;
    let text = metrics(&mesh, 0).await;
    assert!(text.contains("\nappleshore_confirmed 0\n"), "{text}");
    mesh.platform.fault().down(false);
    until("all serve again", || all(true)).await;
}

/// Messages and calls for confirmations cost every fleet, also one that has no keys.
#[tokio::test]
async fn nothing_of_it_shows_without_the_setting() {
    let mesh = Mesh::builder().instances(COUNT).start().await;
    let state = mesh.daemon(0).dump(Part::Feed).state;
    assert!(state.get("confirmations").is_none(), "{state}");
    assert!(state["flows"].get("confirm").is_none(), "{state}");
    assert!(!metrics(&mesh, 0).await.contains("confirm"));
}
