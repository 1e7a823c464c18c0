//! Each caller gets its own whole answer, whatever comes back first.

use std::collections::BTreeSet;

use futures_util::future::join_all;
use http::Method;
use mesh::{Answer, Mesh};

const CALLS: usize = 1_000;

/// Bodies of 0 bytes to about 140 KB: whole in one frame, in several, and streamed.
fn body(call: usize) -> String {
    let length = [0, 10, 1_000, 30_000, 70_000, 140_000][call % 6];
    format!("call {call} ").repeat(length / 10)
}

/// Later calls sleep shorter, so that targets answer out of order.
fn path(call: usize) -> String {
    format!("/sleep/{}/call-{call}", (CALLS - call) % 50)
}

async fn send(mesh: &Mesh, call: usize) -> Answer {
    let to = mesh.callers(call % 3);
    let caller = format!("desk@member-{}", call % 20);
    let headers = [("x-caller", caller.as_str())];
    let client = &mesh.client;
    client
        .send(to, Method::PUT, &path(call), &headers, body(call))
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn each_of_a_thousand_calls_gets_its_own_answer() {
    // A thousand callers ask at once, by three instances. Targets answer out of order, and answers
    // of all sizes share the same links. Each caller must see the one body that names its request,
    // to its last byte; a mixed-up or shortened answer would name another one or end too early.
    let rules = mesh::RULES.replace(
        "\"timeout\": \"5s\"",
        "\"timeout\": \"60s\", \"retries\": 9",
    );
    let mesh = Mesh::builder().slots(400).rules(&rules).start().await;
    let answers = join_all((0..CALLS).map(|call| send(&mesh, call))).await;
    for (call, answer) in answers.iter().enumerate() {
        let expected = format!("{} {}", path(call), body(call));
        let head = (answer.status, answer.outcome.as_str(), answer.whole);
        assert_eq!(head, (200, "ran", true), "{call}: {}", answer.reason);
        assert!(answer.text() == expected, "call {call} got another answer");
    }
    let targets = answers
        .iter()
        .map(|answer| answer.headers["x-appleshore-target"].clone());
    let targets: BTreeSet<String> = targets
        .filter_map(|name| name.to_str().ok().map(str::to_string))
        .collect();
    assert_eq!(targets.len(), 3, "all targets answered: {targets:?}");
    let runs: u64 = (0..CALLS).map(|call| mesh.runs_of(&path(call))).sum();
    assert_eq!(runs, CALLS as u64);
}
