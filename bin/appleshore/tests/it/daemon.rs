//! `dump`, `drain` and `claim`, against a small fake of a daemon's operator port.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ledger::{Ended, Moment, Record};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use unit::{Digest, Outcome, Token};

use crate::kit::run;

/// What the fake was asked, in order: the method with path and query.
type Asked = mpsc::UnboundedReceiver<String>;

/// Answers every request in the same way.
async fn fake(status: u16, kind: &'static str, body: &str) -> (SocketAddr, Asked) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, asked) = mpsc::unbounded_channel();
    let body = Bytes::from(body.to_string());
    let service = service_fn(move |request: Request<Incoming>| {
        let line = format!("{} {}", request.method(), request.uri());
        sender.send(line).expect("the test listens");
        let answer = Response::builder()
            .status(status)
            .header("content-type", kind);
        let answer = answer.body(Full::new(body.clone())).expect("an answer");
        async { Ok::<_, Infallible>(answer) }
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), &service);
            drop(served.await);
        }
    });
    (address, asked)
}

#[tokio::test]
async fn dump_prints_json_of_one_part_or_all() {
    let (address, mut asked) = fake(
        200,
        "application/json",
        r#"{"part":"gate","state":{"running":3}}"#,
    )
    .await;
    let address = address.to_string();
    let part = run(&["dump", &address, "--part", "gate"]).await;
    assert_eq!(part.code, Some(0), "{part:?}");
    assert!(part.out.contains("\n    \"running\": 3\n"), "{part:?}");
    assert_eq!(asked.recv().await.as_deref(), Some("GET /dump/gate"));
    assert_eq!(run(&["dump", &address]).await.code, Some(0));
    assert_eq!(asked.recv().await.as_deref(), Some("GET /dump"));
    assert_eq!(
        run(&["dump", &address, "--part", "gates"]).await.code,
        Some(2)
    );
}

#[tokio::test]
async fn drain_is_a_post_that_must_be_confirmed() {
    let (address, mut asked) = fake(202, "application/json", "drain begins\n").await;
    let done = run(&["drain", &address.to_string()]).await;
    assert_eq!(done.code, Some(0), "{done:?}");
    assert_eq!(asked.recv().await.as_deref(), Some("POST /drain"));
    let (address, _asked) = fake(500, "application/json", "broken").await;
    let failed = run(&["drain", &address.to_string()]).await;
    assert_eq!(failed.code, Some(1));
    let expected = format!("drain at {address}: answered 500 Internal Server Error broken\n");
    assert_eq!(failed.err, expected);
}

#[tokio::test]
async fn silent_daemon_is_told_by_step_and_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let run = run(&["dump", &address, "--timeout", "100ms"]).await;
    assert_eq!(run.code, Some(1));
    assert_eq!(
        run.err,
        format!("dump at {address}: no answer within 100 ms\n")
    );
}

#[tokio::test]
async fn claim_tells_who_where_when_and_the_outcome() {
    let record = Record {
        key: Digest::of(b"key"),
        body: 7,
        token: Token(u128::MAX),
        caller: "desk-3@clinic-7".parse().expect("a caller"),
        entry: "vault-desk-2".parse().expect("an instance"),
        rule: "destruction".to_string(),
        at: Moment(1_000),
        end: Some(Ended {
            target: Some("vault-desk-1".parse().expect("an instance")),
            at: Moment(2_000),
            outcome: Outcome::Ran,
            status: 201,
        }),
    };
    let json = serde_json::to_string(&record).expect("a record has a JSON form");
    let (address, mut asked) = fake(200, "application/json", &json).await;
    let address = address.to_string();
    let service = ["--service", "vault-desk", "--operator", &address];
    let line = [
        &["claim", "4 7&ö", "--caller", "desk-3@clinic-7"],
        &service[..],
    ]
    .concat();
    let found = run(&line).await;
    assert_eq!(found.code, Some(0), "{found:?}");
    for text in [
        "caller   desk-3@clinic-7\n",
        "claimed  1970-01-01T00:00:01.000Z at vault-desk-2 under rule \"destruction\"",
        "target   vault-desk-1\nended    1970-01-01T00:00:02.000Z\noutcome  ran, status 201\n",
    ] {
        assert!(found.out.contains(text), "{found:?}");
    }
    let path = "GET /claim?caller=desk-3%40clinic-7&service=vault-desk&key=4%207%26%C3%B6";
    assert_eq!(asked.recv().await.as_deref(), Some(path));
}

#[tokio::test]
async fn only_a_daemon_can_say_that_there_is_no_claim() {
    // The operator asks after a destruction order. A daemon that has no record says so with 404
    // and JSON. A server that knows no such path says 404 too: taken for "no claim", it would have
    // the operator send an order again that ran.
    let line = [
        "claim",
        "4",
        "--caller",
        "a",
        "--service",
        "s",
        "--operator",
    ];
    let (address, _asked) = fake(404, "application/json", "{}").await;
    let none = run(&[&line[..], &[&address.to_string()]].concat()).await;
    assert_eq!(none.code, Some(1));
    assert!(none.err.contains("no claim of this key"), "{none:?}");
    let (address, _asked) = fake(404, "text/plain", "").await;
    let other = run(&[&line[..], &[&address.to_string()]].concat()).await;
    assert_eq!(other.code, Some(1));
    assert_eq!(
        other.err,
        format!("claim at {address}: answered 404 Not Found\n")
    );
}
