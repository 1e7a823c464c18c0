//! Nothing is left behind by callers that go away.

use std::time::Duration;

use appleshore::Part;
use http::Method;
use mesh::{Mesh, until};
use tokio::time::sleep;

/// Nothing but its caller ends a request within the time of a test.
const RULES: &str = r#"{
    "caller": { "header": "x-caller" },
    "rules": [
        { "name": "orders", "when": { "method": "POST" },
          "then": { "service": "desk", "once": { "header": "idempotency-key" }, "timeout": "5s" } },
        { "name": "rest",
          "then": { "service": "desk", "timeout": "1h", "retries": 0, "per_caller": 500 } }
    ]
}"#;

/// What the callers that go away have asked for.
const PATHS: [&str; 5] = [
    "/sleep/3600000/hung",
    "/stream/100000/10/slow",
    "/stream/2/3600000/paused",
    "/nest/sleep/3600000/below",
    "/big/20000000/large",
];

/// Sends each of [`PATHS`] by all instances, and some orders, then goes away in the middle.
async fn burst(mesh: &Mesh, round: usize) {
    let mut callers = Vec::new();
    for number in 0..90 {
        let (client, to) = (mesh.client.clone(), mesh.callers(number % 3));
        let path = PATHS[number % PATHS.len()];
        callers.push(tokio::spawn(async move {
            client.send(to, Method::GET, path, &[], "").await
        }));
    }
    for number in 0..10 {
        let (client, to) = (mesh.client.clone(), mesh.callers(number % 3));
        let key = format!("k-{round}-{number}");
        callers.push(tokio::spawn(async move {
            let headers = [("idempotency-key", key.as_str())];
            client
                .send(to, Method::POST, "/sleep/200/slip", &headers, "box 7")
                .await
        }));
    }
    sleep(Duration::from_millis(200)).await;
    callers.iter().for_each(tokio::task::JoinHandle::abort);
}

/// What one daemon still holds of requests: running, queued, open, and streams of calls.
fn held(mesh: &Mesh, index: usize) -> [u64; 4] {
    let daemon = mesh.daemon(index);
    let gate = daemon.dump(Part::Gate).state;
    let entry = daemon.dump(Part::Entry).state;
    let links = daemon.dump(Part::Links).state;
    let streams = links.as_array().into_iter().flatten();
    let streams = streams
        .filter_map(|link| link["open_streams"].as_u64())
        .sum();
    let count = |value: &serde_json::Value| value.as_u64().expect("a count");
    let queued = gate["report"]["queued"].as_array().into_iter().flatten();
    [
        count(&gate["report"]["running"]),
        queued.map(count).sum(),
        count(&entry["outcomes"]["open"]),
        streams,
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_go_away_leave_nothing_behind() {
    // More callers than there are slots ask for what never ends, and go away: while their requests
    // wait in queues, hang at targets, stream, pause inside an answer, or wait for nested calls.
    // Each daemon must give all of it back by itself; a leak of one slot a day stops a target.
    // Orders are run to their end, as somebody may ask after them, and then leave nothing either.
    let mesh = Mesh::builder().slots(4).rules(RULES).start().await;
    for round in 0..3 {
        burst(&mesh, round).await;
        for index in 0..3 {
            until("a daemon that holds nothing", || {
                held(&mesh, index) == [0; 4]
            })
            .await;
        }
    }
    until("targets that run nothing", || {
        (0..3).all(|index| mesh.target(index).running() == 0)
    })
    .await;
    for index in 0..3 {
        let answer = mesh.get(index, "/echo/after").await;
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"));
    }
}
