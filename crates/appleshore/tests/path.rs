//! The whole path on real sockets: what a caller sees of each kind of request.

use http::Method;
use mesh::Mesh;

#[tokio::test]
async fn requests_are_answered_by_a_target() {
    let mesh = Mesh::builder().start().await;
    for index in 0..3 {
        let answer = mesh.get(index, "/echo/one").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.outcome, "ran");
        assert_eq!(answer.text(), "/echo/one ");
    }
}

#[tokio::test]
async fn bodies_stream_both_ways() {
    let mesh = Mesh::builder().start().await;
    let body = vec![b'b'; 1_000_000];
    let to = mesh.callers(1);
    let answer = mesh
        .client
        .send(to, Method::POST, "/echo/large", &[], body)
        .await;
    assert_eq!(
        (answer.status, answer.whole),
        (200, true),
        "{}",
        answer.reason
    );
    assert_eq!(answer.body.len(), "/echo/large ".len() + 1_000_000);
    let answer = mesh.get(0, "/stream/20/1").await;
    assert_eq!(answer.text().lines().count(), 20);
}

#[tokio::test]
async fn a_rule_refuses_before_any_target() {
    let mesh = Mesh::builder().start().await;
    let answer = mesh.get(0, "/closed/yard").await;
    assert_eq!((answer.status, answer.outcome.as_str()), (403, "not-run"));
    assert_eq!(answer.reason, "rule");
    assert_eq!(mesh.runs_of("/closed/yard"), 0);
}

#[tokio::test]
async fn nested_calls_inherit_and_are_bounded() {
    // A target calls out for each level, with the header it was given. Nine levels are served, the
    // tenth is refused: a loop between services ends by itself.
    let mesh = Mesh::builder()
        .settings(r#""limits": { "depth": 3 }"#)
        .start()
        .await;
    let answer = mesh.get(0, "/nest/nest/echo/deep").await;
    assert_eq!(
        (answer.status, answer.text().contains("/echo/deep")),
        (200, true),
        "{answer:?}"
    );
    let answer = mesh.get(0, "/nest/nest/nest/nest/echo/deeper").await;
    assert_eq!(answer.status, 508, "{answer:?}");
    assert_eq!(mesh.runs_of("/echo/deeper"), 0);
}

#[tokio::test]
async fn a_caller_can_not_pass_itself_off_as_a_nested_call() {
    // A caller from outside sends the header that a target copies. It counts for nothing: the
    // rules alone say how urgent the request is, and the target sees a token of its own call.
    let mesh = Mesh::builder().start().await;
    let token = "0".repeat(32);
    let headers = [("x-appleshore-call", token.as_str())];
    let to = mesh.callers(0);
    let answer = mesh
        .client
        .send(to, Method::GET, "/echo/forged", &headers, "")
        .await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[tokio::test]
async fn an_order_runs_once_and_is_answered_again() {
    // A member's firm sends the same slip three times, by way of three instances. The first runs;
    // the others get its answer, marked as run before. The same key with another slip is refused.
    let mesh = Mesh::builder().start().await;
    let first = mesh.order(0, "/order/slip", "k1", "box 7").await;
    assert_eq!(
        (first.status, first.outcome.as_str()),
        (200, "ran"),
        "{first:?}"
    );
    for index in [1, 2, 0] {
        let again = mesh.order(index, "/order/slip", "k1", "box 7").await;
        assert_eq!(
            (again.status, again.outcome.as_str()),
            (200, "already-run"),
            "{again:?}"
        );
        assert_eq!(again.body, first.body);
    }
    assert_eq!(mesh.runs_of("/order/slip"), 1);
    let other = mesh.order(1, "/order/slip", "k1", "box 8").await;
    assert_eq!(
        (other.status, other.reason.as_str()),
        (409, "key-mismatch"),
        "{other:?}"
    );
    let none = mesh.order(1, "/order/slip", "", "box 7").await;
    assert_eq!(
        (none.status, none.reason.as_str()),
        (400, "no-key"),
        "{none:?}"
    );
    assert_eq!(mesh.runs_of("/order/slip"), 1);
}

#[tokio::test]
async fn resends_join_the_run_that_is_under_way() {
    // A caller sends an order, loses patience, and sends it four times more while the first still
    // runs. All five get the one answer, and the target sees one run.
    let mesh = Mesh::builder().start().await;
    let sends = (0..5).map(|n| mesh.order(n % 3, "/sleep/300/order", "k2", "box 9"));
    let rules = mesh::RULES.replace("/order/**", "/sleep/**");
    mesh.put_rules(&rules).await;
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    let answers = futures_util::future::join_all(sends).await;
    assert!(
        answers.iter().all(|answer| answer.status == 200),
        "{answers:?}"
    );
    let ran = answers
        .iter()
        .filter(|answer| answer.outcome == "ran")
        .count();
    let again = answers
        .iter()
        .filter(|answer| answer.outcome == "already-run")
        .count();
    assert_eq!((ran, again), (1, 4), "{answers:?}");
    assert_eq!(mesh.runs_of("/sleep/300/order"), 1);
}
