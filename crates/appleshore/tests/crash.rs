//! Targets and daemons that die under their requests.

use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use mesh::{Answer, Mesh, until};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// All that is posted is an order.
const RULES: &str = r#"{
    "caller": { "header": "x-caller" },
    "rules": [
        { "name": "orders", "when": { "method": "POST" },
          "then": { "service": "desk", "once": { "header": "idempotency-key" }, "timeout": "8s" } },
        { "name": "rest",
          "then": { "service": "desk", "timeout": "8s" } }
    ]
}"#;

async fn start(instances: usize) -> Mesh {
    Mesh::builder()
        .instances(instances)
        .rules(RULES)
        .start()
        .await
}

/// Sends an order by instance 0 from a task of its own.
fn order(mesh: &Mesh, path: &'static str) -> JoinHandle<Answer> {
    let (client, to) = (mesh.client.clone(), mesh.callers(0));
    tokio::spawn(async move {
        let headers = [("idempotency-key", "k"), ("x-caller", "desk@clinic-7")];
        client.send(to, Method::POST, path, &headers, "box 7").await
    })
}

/// Sends a look-up by instance 0 from a task of its own.
fn look_up(mesh: &Mesh, path: &'static str) -> JoinHandle<Answer> {
    let (client, to) = (mesh.client.clone(), mesh.callers(0));
    tokio::spawn(async move { client.send(to, Method::GET, path, &[], "").await })
}

/// The instance whose target runs `path`, once one does.
async fn runner(mesh: &Mesh, path: &str) -> usize {
    until("the run", || mesh.runs_of(path) == 1).await;
    let runs = |index: &usize| mesh.target(*index).paths().contains_key(path);
    (0..3).find(runs).expect("a target runs it")
}

fn head(answer: &Answer) -> (u16, &str, &str) {
    (answer.status, &answer.outcome, &answer.reason)
}

#[tokio::test]
async fn an_answer_that_its_target_cuts_never_looks_complete() {
    // A target dies in the middle of its answer, of which the caller has the head or more. The
    // caller must see the answer break off: an orderly end would make half a list look whole.
    let mesh = start(3).await;
    for index in 0..3 {
        let answer = mesh.get(index, "/cut/list").await;
        assert!(!answer.whole, "{answer:?}");
        // What had not left yet when the target died is lost with the connection.
        assert!(
            "piece 0\npiece 1\n".starts_with(&answer.text()),
            "{answer:?}"
        );
    }
}

#[tokio::test]
async fn a_look_up_under_a_killed_target_is_served_elsewhere() {
    // A target is killed while it runs a look-up, before any byte of the answer. The look-up may be
    // repeated, so another target runs it, and the caller sees nothing but a longer wait.
    let mut mesh = start(3).await;
    let answer = look_up(&mesh, "/sleep/1000/look");
    let index = runner(&mesh, "/sleep/1000/look").await;
    mesh.kill_target(index).await;
    let answer = answer.await.unwrap();
    assert_eq!(head(&answer), (200, "ran", ""), "{answer:?}");
    assert_eq!(answer.text(), "/sleep/1000/look ");
    assert_eq!(mesh.runs_of("/sleep/1000/look"), 1);
}

#[tokio::test]
async fn an_order_under_a_killed_target_is_unknown_and_never_runs_again() {
    // A target is killed while it runs an order. Nobody can tell whether the order took effect, so
    // the caller is told "unknown", and no resend by any instance may run it: it could be twice.
    let mut mesh = start(3).await;
    let answer = order(&mesh, "/sleep/1000/slip");
    let index = runner(&mesh, "/sleep/1000/slip").await;
    mesh.kill_target(index).await;
    let answer = answer.await.unwrap();
    assert_eq!(head(&answer), (502, "unknown", "lost"), "{answer:?}");
    for index in 0..3 {
        let again = mesh.order(index, "/sleep/1000/slip", "k", "box 7").await;
        assert_eq!(again.outcome, "unknown", "{again:?}");
    }
    assert_eq!(
        mesh.runs_of("/sleep/1000/slip"),
        0,
        "no living target ran it"
    );
}

#[tokio::test]
async fn an_order_whose_answer_is_cut_is_unknown_and_never_runs_again() {
    // A target dies in the middle of the answer to an order. The entry has collected half of it,
    // and gives none of it away: the caller is told "unknown", and a resend does not run.
    let mesh = start(3).await;
    let answer = mesh.order(0, "/cut/slip", "k", "box 7").await;
    assert_eq!(head(&answer), (502, "unknown", "lost"), "{answer:?}");
    for index in 0..3 {
        let again = mesh.order(index, "/cut/slip", "k", "box 7").await;
        assert_eq!(again.outcome, "unknown", "{again:?}");
    }
    assert_eq!(mesh.runs_of("/cut/slip"), 1);
}

#[tokio::test]
async fn a_target_that_refuses_connections_leaves_no_doubt() {
    // A target is down, and its daemon is not. No connection comes about, so nothing is sent, and
    // "not run" is certain: requests, orders too, are served elsewhere or refused as not run. An
    // "unknown" here would block an order's key for nothing.
    let mut mesh = start(3).await;
    mesh.kill_target(1).await;
    for number in 0..30 {
        let path = format!("/echo/slip-{number}");
        let key = format!("k-{number}");
        let answer = mesh.order(number % 3, &path, &key, "box 7").await;
        let runs = mesh.runs_of(&path);
        match (answer.status, answer.outcome.as_str()) {
            (200, "ran") => assert_eq!(runs, 1),
            (503, "not-run") => assert_eq!(runs, 0),
            _ => panic!("{answer:?}"),
        }
    }
    for index in [0, 2] {
        mesh.kill_target(index).await;
    }
    let answer = mesh.order(0, "/echo/slip", "last", "box 7").await;
    assert_eq!((answer.status, answer.outcome.as_str()), (503, "not-run"));
    mesh.start_target(0).await;
    mesh.start_target(1).await;
    mesh.start_target(2).await;
    // The same key is free, since nothing ran.
    loop {
        let answer = mesh.order(0, "/echo/slip", "last", "box 7").await;
        if answer.status == 200 {
            break;
        }
        assert_eq!(answer.outcome, "not-run", "{answer:?}");
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(mesh.runs_of("/echo/slip"), 1);
}

#[tokio::test]
async fn an_order_under_a_killed_daemon_is_unknown_and_never_runs_again() {
    // The daemon beside a target is killed while the target runs an order; the target lives on and
    // may finish it. The answer's way is gone, and so is all that the gate knew. The caller must be
    // told "unknown" and never "not run", and a resend must not run the order again.
    let mut mesh = start(3).await;
    let (mut answer, mut path) = (None, "");
    for (number, tried) in ["/sleep/900/a", "/sleep/900/b", "/sleep/900/c"]
        .iter()
        .enumerate()
    {
        let (client, to) = (mesh.client.clone(), mesh.callers(0));
        let sent = tokio::spawn(async move {
            let key = format!("k-{number}");
            let headers = [
                ("idempotency-key", key.as_str()),
                ("x-caller", "desk@clinic-7"),
            ];
            client
                .send(to, Method::POST, tried, &headers, "box 7")
                .await
        });
        let index = runner(&mesh, tried).await;
        if index != 0 {
            mesh.kill_daemon(index);
            (answer, path) = (Some((number, sent)), tried);
            break;
        }
        sent.await.unwrap();
    }
    let (number, sent) = answer.expect("one order ran beside another daemon");
    let answer = sent.await.unwrap();
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
    let again = mesh.order(0, path, &format!("k-{number}"), "box 7").await;
    assert_eq!(again.outcome, "unknown", "{again:?}");
    assert_eq!(mesh.runs_of(path), 1);
}

#[tokio::test]
async fn an_order_whose_entry_is_killed_never_runs_again() {
    // The daemon that took an order is killed while a target runs it. The caller sees its
    // connection break and sends the order again by another instance. The claim is on record, and
    // nobody is left who knows the answer: the resend is told so and does not run.
    let mut mesh = start(3).await;
    let answer = order(&mesh, "/sleep/1000/slip");
    runner(&mesh, "/sleep/1000/slip").await;
    mesh.kill_daemon(0);
    let answer = answer.await.unwrap();
    assert_eq!(answer.status, 0, "{answer:?}");
    for index in [1, 2] {
        let again = mesh.order(index, "/sleep/1000/slip", "k", "box 7").await;
        let told = ["unknown", "already-run"].contains(&again.outcome.as_str());
        assert!(told, "{again:?}");
    }
    assert_eq!(mesh.runs_of("/sleep/1000/slip"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_targets_does_not_walk_through_the_fleet() {
    // One request crashes each target that runs it, and its caller sends it again and again, by all
    // instances. The gates must learn what crashes their targets, tell each other, and refuse it:
    // the other half of the fleet never sees it. Innocent callers ask beside it; what a crash took
    // from them is served again elsewhere.
    const INSTANCES: usize = 8;
    const PATH: &str = "/crash/land-file";
    let mesh = start(INSTANCES).await;
    let resends = async {
        for resend in 0..24 {
            mesh.get(resend % INSTANCES, PATH).await;
            sleep(Duration::from_millis(250)).await;
        }
    };
    let innocent = |caller: usize| {
        let mesh = &mesh;
        async move {
            let mut served = 0;
            for number in 0..40 {
                let path = format!("/sleep/100/{caller}-{number}");
                let answer = mesh.get((caller + number) % INSTANCES, &path).await;
                served += usize::from(answer.status == 200 && answer.whole);
            }
            served
        }
    };
    let (served, ()) = tokio::join!(join_all((0..10).map(innocent)), resends);
    let served: usize = served.into_iter().sum();
    assert!(
        served >= 380,
        "{served} of 400 innocent requests were served"
    );
    let last = mesh.get(0, PATH).await;
    assert_eq!(last.outcome, "not-run", "{last:?}");
    let reached = (0..INSTANCES).filter(|index| mesh.target(*index).paths().contains_key(PATH));
    let (reached, runs) = (reached.count(), mesh.runs_of(PATH));
    assert!(reached <= INSTANCES / 2, "{runs} runs at {reached} targets");
}
