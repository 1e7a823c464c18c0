//! Answers on a link whose rate the settings give.

use appleshore::Part;
use bandwidth::IMMEDIATE_BYTES;
use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use mesh::{Mesh, until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LENGTH: usize = 90_000;

fn field(mesh: &Mesh, index: usize, name: &str) -> u64 {
    let state = mesh.daemon(index).dump(Part::Bandwidth).state;
    state[name].as_u64().expect("a number")
}

fn sum(mesh: &Mesh, name: &str) -> u64 {
    (0..3).map(|index| field(mesh, index, name)).sum()
}

/// A piece that was counted and not written, or written twice, would change an answer.
#[tokio::test(flavor = "multi_thread")]
async fn paced_answers_arrive_whole() {
    let settings = r#""bandwidth": "20Mbit/s""#;
    let mesh = Mesh::builder().settings(settings).start().await;
    let mesh = &mesh;
    let sends = (0..12).map(|call| async move {
        let body = Bytes::from(format!("{call:09} ").repeat(LENGTH / 10));
        let to = mesh.callers(0);
        let path = format!("/echo/{call}");
        let client = &mesh.client;
        let answer = client.send(to, Method::PUT, &path, &[], body.clone()).await;
        assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
        assert!(answer.body.ends_with(&body), "call {call} was changed");
    });
    join_all(sends).await;
    assert!(sum(mesh, "written") >= 12 * LENGTH as u64);
    // Callers send to the first daemon only, so that what the others pace is of their gates.
    assert!(field(mesh, 1, "paced") + field(mesh, 2, "paced") > 0);
    assert_eq!(sum(mesh, "unwritten"), 0);
    assert_eq!(sum(mesh, "queued"), 0);
}

/// An entry that did not pace its answers to callers, or that counted what does not leave the machine.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_paces_what_leaves_the_machine() {
    let settings = r#""bandwidth": "20Mbit/s""#;
    let mesh = Mesh::builder()
        .instances(1)
        .settings(settings)
        .start()
        .await;
    let body = Bytes::from(vec![b'x'; LENGTH]);
    let to = mesh.callers(0);
    let client = &mesh.client;
    let answer = client.send(to, Method::PUT, "/echo/one", &[], body).await;
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    let length = answer.body.len() as u64;
    assert_eq!(field(&mesh, 0, "paced"), length - IMMEDIATE_BYTES);
    let written = field(&mesh, 0, "written");
    assert!(written >= length && written < length + 1_000, "{written}");
}

/// A caller that had gone kept its turn, and the answers of others stood still.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_leaves_the_queue() {
    let settings = r#""bandwidth": "1Mbit/s""#;
    let mesh = Mesh::builder()
        .instances(1)
        .settings(settings)
        .start()
        .await;
    let body = vec![b'x'; 1_000_000];
    let head = format!(
        "PUT /echo/gone HTTP/1.1\r\nhost: desk\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(mesh.callers(0))
        .await
        .expect("a connection");
    stream.write_all(head.as_bytes()).await.expect("a head");
    stream.write_all(&body).await.expect("a body");
    // The answer takes 8 s, so it waits for its turns by now.
    let waits = || field(&mesh, 0, "paced") > 0;
    until("a piece of the answer", waits).await;
    drop(stream);
    let left = || field(&mesh, 0, "queued") == 0 && field(&mesh, 0, "unwritten") == 0;
    until("the end of the answer", left).await;
    assert!(field(&mesh, 0, "paced") < 900_000);
    let answer = mesh.get(0, "/echo/two").await;
    assert_eq!(answer.status, 200);
}

/// Without the setting there is no pacer, and nothing is counted.
#[tokio::test]
async fn without_the_setting_nothing_is_paced() {
    let mesh = Mesh::builder().start().await;
    assert!(mesh.daemon(0).dump(Part::Bandwidth).state.is_null());
}
