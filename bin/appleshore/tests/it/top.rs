//! `appleshore top`, against small fakes of daemons' operator ports.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::kit::run;

fn report(running: u16, slow: bool) -> Value {
    json!({
        "running": running, "queued": [1, 2, 3], "limit": 8, "service_us": 20_000, "answered": 900,
        "pace": 250, "slow": slow, "closed": false, "hot": true,
    })
}

/// The dump of a part of daemon `name`; each look at the entry finds 20 more refused requests.
fn dump(name: &str, path: &str, looks: &AtomicU64) -> Option<Value> {
    let line = |instance: &str, age: Option<u64>, running: u16| {
        json!({
            "target": { "instance": instance, "zone": "longbien", "incarnation": 1, "leaving": false },
            "running": 1, "answered": 9, "failures": 0, "errors": 0.0, "report": report(running, false),
            "report_age_ms": age, "estimate_us": 12_345,
        })
    };
    let state = match path {
        "/dump/roster" => json!({ "me": name, "zone": "longbien", "instances": [] }),
        "/dump/gate" => json!({
            "report": report(7, true), "slots": 12, "paused": false, "down": false, "leaving": false,
        }),
        "/dump/entry" => {
            let looks = looks.fetch_add(1, Ordering::SeqCst);
            let age = if name == "a" { 400 } else { 30 };
            let targets = [line("b", Some(age), age as u16), line("c", None, 2)];
            json!({
                "outcomes": { "ran": 100, "not_run": 20 * looks, "unknown": 0, "already_run": 0, "open": 1 },
                "services": [{ "service": "desk", "choice": { "targets": targets }, "retries": {} }],
            })
        }
        "/dump/feed" if name == "b" => json!({
            "rules": "13",
            "rejected": { "version": "14", "cause": "line 1, column 9: no\nline 2", "seconds": 75 },
        }),
        "/dump/feed" => json!({ "rules": "14" }),
        _ => return None,
    };
    Some(json!({ "part": path, "state": state }))
}

async fn daemon(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let looks = Arc::new(AtomicU64::new(0));
    let service = service_fn(move |request: Request<Incoming>| {
        let dump = dump(name, request.uri().path(), &looks);
        let status = if dump.is_some() { 200 } else { 404 };
        let body = Bytes::from(dump.unwrap_or_default().to_string());
        let answer = Response::builder().status(status).body(Full::new(body));
        async { Ok::<_, Infallible>(answer.expect("an answer")) }
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let served =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service.clone());
            tokio::spawn(served);
        }
    });
    address
}

fn columns<'t>(text: &'t str, first: &str) -> Vec<&'t str> {
    let line = text.lines().find(|line| line.starts_with(first));
    line.unwrap_or_else(|| panic!("no {first:?} in {text}"))
        .split_whitespace()
        .collect()
}

#[tokio::test]
async fn one_view_shows_gates_and_targets() {
    let [a, b] = [daemon("a").await, daemon("b").await].map(|address| address.to_string());
    let view = run(&["top", &a, &b, "--once", "--every", "200ms"]).await;
    assert_eq!((view.code, view.err.as_str()), (Some(0), ""), "{view:?}");
    let row = columns(&view.out, "a ");
    assert_eq!(row[1..8], ["longbien", "7/8", "12", "1", "2", "3", "250%"]);
    assert_eq!((row[8], &row[10..]), ("0.0", &["slow", "hot"][..]));
    let refused: f64 = row[9].parse().expect("a rate");
    assert!(
        refused > 0.0 && refused <= 100.0,
        "20 in 200 ms or more: {refused}"
    );
    let rejected = view.out.lines().filter(|line| line.contains("rejects"));
    let rejected: Vec<&str> = rejected.collect();
    assert_eq!(
        rejected,
        ["b rejects rules 14 for 75s: line 1, column 9: no"]
    );
    // Both know of b, and the entry that has heard of it last is believed.
    let lines = view.out.lines().filter(|line| line.starts_with("desk"));
    assert_eq!(lines.count(), 2, "{}", view.out);
    let row = columns(&view.out, "desk             b");
    assert_eq!(row[3..9], ["1", "30/8", "6", "250%", "12.3ms", "30ms"]);
    assert_eq!(columns(&view.out, "desk             c")[8], "never");
}

#[tokio::test]
async fn real_daemons_are_understood() {
    let mesh = mesh::Mesh::builder().instances(2).start().await;
    let [a, b] = [0, 1].map(|index| mesh.operator(index).to_string());
    assert_eq!(mesh.get(0, "/echo/seen").await.status, 200);
    let view = run(&["top", &a, &b, "--once", "--every", "50ms"]).await;
    assert_eq!((view.code, view.err.as_str()), (Some(0), ""), "{view:?}");
    for row in ["desk-0 ", "desk-1 "] {
        assert_eq!(columns(&view.out, row)[1], "longbien", "{}", view.out);
    }
    let targets = view.out.lines().filter(|line| line.starts_with("desk  "));
    assert_eq!(targets.count(), 2, "{}", view.out);
}

#[tokio::test]
async fn a_daemon_that_is_gone_stands_beside_the_others() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let gone = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let a = daemon("a").await.to_string();
    let view = run(&["top", &gone, &a, "--once", "--every", "10ms"]).await;
    assert_eq!(view.code, Some(0), "{view:?}");
    let row = view.out.lines().find(|line| line.starts_with(&gone));
    assert!(
        row.is_some_and(|row| row.contains("top at")),
        "{}",
        view.out
    );
    assert_eq!(columns(&view.out, "a ")[1], "longbien");
    let alone = run(&["top", &gone, "--once", "--every", "10ms"]).await;
    assert_eq!(alone.code, Some(1));
    assert!(
        alone.err.starts_with(&format!("top at {gone}: ")),
        "{}",
        alone.err
    );
}

#[tokio::test]
async fn what_can_not_be_shown_is_said() {
    let a = daemon("a").await.to_string();
    let piped = run(&["top", &a]).await;
    assert_eq!(piped.code, Some(2), "{piped:?}");
    assert!(
        piped.err.contains("no terminal: expected one, or --once"),
        "{}",
        piped.err
    );
    let still = run(&["top", &a, "--once", "--every", "0s"]).await;
    assert_eq!(still.code, Some(2));
    assert!(
        still.err.contains("--every needs more than 0s"),
        "{}",
        still.err
    );
    assert_eq!(run(&["top"]).await.code, Some(2));
}
