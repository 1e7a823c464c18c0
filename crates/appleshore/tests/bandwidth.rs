//! Answers on a link whose rate the settings give.

use appleshore::Part;
use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use mesh::Mesh;

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
        let to = mesh.callers(call % 3);
        let path = format!("/echo/{call}");
        let client = &mesh.client;
        let answer = client.send(to, Method::PUT, &path, &[], body.clone()).await;
        assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
        assert!(answer.body.ends_with(&body), "call {call} was changed");
    });
    join_all(sends).await;
    assert!(sum(mesh, "written") >= 12 * LENGTH as u64);
    assert!(sum(mesh, "paced") > 0);
    assert_eq!(sum(mesh, "unwritten"), 0);
    assert_eq!(sum(mesh, "queued"), 0);
}

/// Without the setting there is no pacer, and nothing is counted.
#[tokio::test]
async fn without_the_setting_nothing_is_paced() {
    let mesh = Mesh::builder().start().await;
    assert!(mesh.daemon(0).dump(Part::Bandwidth).state.is_null());
}
