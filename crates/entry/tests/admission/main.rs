//! Requests of workspaces at an entry whose gate is a script: what is asked of them, in which order, and
//! whether they get their credit back.

mod world;

use std::time::Duration;

use bytes::Bytes;
use entry::{Body, Exceeded, OUTCOME, Origin, REASON, Unconfirmed};
use futures_util::stream;
use http::Request;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame as Piece;
use tokio::sync::mpsc;
use tokio::time::Instant;
use unit::{Token, Urgency};

use world::{
    Deed, KEY, Verdict, header, names, nested, outside, parsed, prefix_rules, rules_of, world,
    world_with,
};

/// Guards against credit that is lost for requests that have not run, and against credit that is returned
/// for requests that may have.
#[tokio::test]
async fn credit_is_returned_only_if_the_request_has_not_run() {
    let cases = [
        (Deed::Answer, "ran", 1),
        (Deed::Lose, "unknown", 1),
        (Deed::Decline, "not-run", 0),
        (Deed::Full, "not-run", 0),
    ];
    for (deed, outcome, spent) in cases {
        let world = world(deed).await;
        let answer = world.keyed("/a").await;
        assert_eq!(header(&answer, OUTCOME), outcome);
        assert_eq!((world.spent(), world.asks()), (spent, 1), "{outcome}");
    }
}

/// Guards against a caller that sends requests beyond its quota by disconnecting from each.
#[tokio::test]
async fn credit_of_a_request_that_is_abandoned_while_it_may_run_is_kept() {
    let mut world = world(Deed::Hang).await;
    let entry = world.entry.clone();
    let request = Request::get("/a").header("authorization", format!("Bearer {KEY}"));
    let request = request.body(Body::default()).expect("a valid request");
    let sent = tokio::spawn(async move { entry.handle(outside(), request).await });
    world.calls.recv().await.expect("the call");
    sent.abort();
    assert!(sent.await.is_err());
    assert_eq!(world.spent(), 1);
}

/// Guards against a request without a known key, or of an unconfirmed configuration, that costs quota,
/// and against a request over the quota that reaches a gate.
#[tokio::test]
async fn checks_come_in_order_and_nothing_is_sent() {
    let mut world = world(Deed::Answer).await;
    let unconfirmed = Unconfirmed {
        age: Some(Duration::from_secs(5)),
        retry_after: Duration::from_millis(2_300),
    };
    let exceeded = Exceeded {
        retry_after: Duration::from_millis(4_100),
    };
    *world.admission.lock() = Verdict {
        unconfirmed: Some(unconfirmed),
        exceeded: Some(exceeded),
        ..Verdict::default()
    };
    let none = world.send(outside(), "/a", &[]).await;
    assert_eq!(
        (none.status().as_u16(), header(&none, REASON)),
        (401, "no-workspace")
    );
    assert_eq!(header(&none, "www-authenticate"), "Bearer");
    let old = world.keyed("/a").await;
    assert_eq!(
        (old.status().as_u16(), header(&old, REASON)),
        (503, "unconfirmed")
    );
    assert_eq!(header(&old, "retry-after"), "2.300");
    assert_eq!(world.asks(), 0);
    let key = format!("Bearer {KEY}");
    let headers = [("authorization", key.as_str()), ("x-left", "900")];
    let old = world.send(outside(), "/a", &headers).await;
    // A confirmation may come at any time, so the caller is told to come back while it has time.
    assert_eq!(header(&old, "retry-after"), "0.300");
    world.admission.lock().unconfirmed = None;
    let over = world.send(outside(), "/a", &headers).await;
    assert_eq!(
        (over.status().as_u16(), header(&over, REASON)),
        (429, "quota")
    );
    // An earlier retry would be refused too, also if the caller's time is up before.
    assert_eq!(header(&over, "retry-after"), "4.100");
    assert_eq!(header(&over, OUTCOME), "not-run");
    assert_eq!(world.asks(), 1);
    assert!(world.calls.try_recv().is_err(), "nothing was sent");
    let stats = world.entry.stats();
    let counts = [&stats.no_workspace, &stats.unconfirmed, &stats.over_quota];
    assert_eq!(counts.map(|count| count.get()), [1, 2, 1]);
}

/// Guards against a wait for credit that takes more of the caller's time than the page allows.
#[tokio::test]
async fn wait_for_credit_is_an_eighth_of_the_objective_at_most() {
    let world = world(Deed::Answer).await;
    let key = format!("Bearer {KEY}");
    let cases: [(&str, &str, u64); 3] = [
        ("/quick", "2000", 50),
        ("/a", "2000", 150),
        ("/a", "20", 20),
    ];
    for (at, (path, left, most)) in cases.into_iter().enumerate() {
        let before = Instant::now();
        let headers = [("authorization", key.as_str()), ("x-left", left)];
        world.send(outside(), path, &headers).await;
        let latest = world.asks.lock()[at].latest;
        let after = Instant::now();
        let most = Duration::from_millis(most);
        assert!(
            latest >= before + most && latest <= after + most,
            "{path} {left}"
        );
    }
}

/// Guards against a request that runs after its caller has given up, because it has waited for credit.
#[tokio::test]
async fn wait_for_credit_is_taken_from_the_time_of_the_caller() {
    let mut world = world(Deed::Answer).await;
    let wait = Duration::from_millis(100);
    world.admission.lock().wait = wait;
    let key = format!("Bearer {KEY}");
    let headers = [("authorization", key.as_str()), ("x-left", "900")];
    world.send(outside(), "/a", &headers).await;
    let call = world.calls.recv().await.expect("the call");
    assert!(
        call.remaining <= Duration::from_millis(900) - wait,
        "{:?}",
        call.remaining
    );
}

/// Guards against a key on a link, and against requests that are told apart by something else than their
/// workspace.
#[tokio::test]
async fn call_has_the_workspace_and_never_the_key() {
    let mut world = world(Deed::Answer).await;
    let key = format!("Bearer {KEY}");
    let headers = [
        ("authorization", key.as_str()),
        ("x-workspace", "other"),
        ("x-kept", "1"),
    ];
    world.send(outside(), "/a", &headers).await;
    let call = world.calls.recv().await.expect("the call");
    assert_eq!(names(&call), ["x-kept", "x-workspace"]);
    assert_eq!(call.headers[1].value, b"pulo");
    assert_eq!(
        (call.caller.as_str(), call.urgency, call.bulk),
        ("pulo", Urgency::Urgent, false)
    );
    let shown = format!("{call:?}");
    assert!(!shown.contains(KEY), "{shown}");
    world.send(outside(), "/open", &headers).await;
    let call = world.calls.recv().await.expect("the call");
    assert_eq!(names(&call), ["x-kept"]);
    assert_eq!(
        (call.caller.as_str(), call.urgency, call.bulk),
        ("127.0.0.1", Urgency::Routine, true)
    );
    assert_eq!(world.asks(), 1, "a public route counts against no quota");
}

/// Guards against a request without a key that takes the name of a workspace, and with it the workspace's share
/// at gates and the answers to its claimed requests.
#[tokio::test]
async fn caller_without_a_key_cannot_name_itself_as_a_workspace() {
    let mut world = world(Deed::Answer).await;
    for (name, caller) in [
        ("pulo", "127.0.0.1"),
        (" pulo ", "127.0.0.1"),
        ("clinic-7", "clinic-7"),
    ] {
        world.send(outside(), "/open", &[("x-caller", name)]).await;
        let call = world.calls.recv().await.expect("the call");
        assert_eq!(call.caller.as_str(), caller, "{name:?}");
    }
}

/// Guards against a caller that names headers in `Connection` and so has the name of its workspace removed
/// from the call after the entry has set it.
#[tokio::test]
async fn caller_cannot_have_the_name_of_its_workspace_dropped() {
    let mut world = world(Deed::Answer).await;
    let key = format!("Bearer {KEY}");
    for connection in ["x-workspace", "close, X-Workspace", "authorization"] {
        let headers = [
            ("authorization", key.as_str()),
            ("connection", connection),
            ("x-workspace", "other"),
        ];
        world.send(outside(), "/a", &headers).await;
        let call = world.calls.recv().await.expect("the call");
        assert_eq!(names(&call), ["x-workspace"], "{connection}");
        assert_eq!(call.headers[0].value, b"pulo", "{connection}");
    }
}

/// Guards against a caller that begins requests while its key is known and completes their bodies long
/// after the key was removed or the daemon was cut off.
#[tokio::test]
async fn key_is_checked_again_before_the_request_is_sent() {
    let removed = rules_of(b"removed", "k-new");
    let changed = rules_of(b"changed", KEY);
    let moved = changed.replace("pulo", "other");
    let unconfirmed = Some(Unconfirmed {
        age: Some(Duration::from_secs(5)),
        retry_after: Duration::from_secs(1),
    });
    let cases = [
        ("/a", Some(&removed), None, "no-workspace"),
        ("/a", Some(&moved), None, "no-workspace"),
        ("/a", None, unconfirmed, "unconfirmed"),
        ("/a", Some(&changed), None, ""),
        ("/open", Some(&removed), unconfirmed, ""),
    ];
    for (path, document, verdict, reason) in cases {
        let mut world = world(Deed::Answer).await;
        let (body, pieces) = mpsc::channel::<Bytes>(1);
        let pieces = stream::unfold(pieces, |mut pieces| async move {
            let piece = pieces.recv().await?;
            Some((Ok(Piece::data(piece)), pieces))
        });
        let request = Request::post(path).header("authorization", format!("Bearer {KEY}"));
        let request = request.body(StreamBody::new(pieces).boxed_unsync());
        let entry = world.entry.clone();
        let request = request.expect("a valid request");
        let sent = tokio::spawn(async move { entry.handle(outside(), request).await });
        body.send("begun".into()).await.expect("the body is read");
        // There is room again once the entry reads the body, which it does after it has checked the key.
        drop(body.reserve().await.expect("the body is read"));
        if let Some(document) = document {
            *world.document.lock() = parsed(document);
        }
        world.admission.lock().unconfirmed = verdict;
        drop(body);
        let answer = sent.await.expect("no panic");
        let called = world.calls.try_recv().is_ok();
        assert_eq!(header(&answer, REASON), reason, "{path}");
        assert_eq!(called, reason.is_empty(), "{path} {reason}");
        let outcome = if called { "ran" } else { "not-run" };
        assert_eq!(header(&answer, OUTCOME), outcome, "{path} {reason}");
        let kept = u64::from(called && path == "/a");
        assert_eq!(world.spent(), kept, "{path} {reason}");
    }
}

/// Guards against a path that a public route matches as it was sent, and that the target reads as one that
/// needs a key.
#[tokio::test]
async fn path_with_two_readings_is_not_public() {
    let world = world_with(Deed::Answer, &prefix_rules()).await;
    let hidden = [
        "/orders/1",
        "/orders",
        "/a/../orders/1",
        "/a/%2e%2e/orders/1",
        "/a/..;x/orders/1",
        "//orders/1",
        "/%6frders/1",
        "/orders;x/1",
        "/orders%2f1",
        "/a%2f..%2forders/1",
        "/%256frders/1",
        "/a/..%5corders/1",
        "http://desk/a/../orders/1",
    ];
    let mut served = Vec::new();
    for path in hidden {
        let answer = world.send(outside(), path, &[]).await;
        if answer.status().as_u16() != 401 {
            served.push(path);
        }
    }
    assert_eq!(served, Vec::<&str>::new());
    let public = [
        "/",
        "/a",
        "/a/",
        "/a//b",
        "/a%20b/;c=d",
        "/caf%c3%a9",
        "/a?b=/../orders/",
    ];
    for path in public {
        let answer = world.send(outside(), path, &[]).await;
        assert_eq!(answer.status().as_u16(), 200, "{path}");
    }
}

/// Guards against a nested call that is refused or counted, which would waste the run that waits for it,
/// and against one that passes with a wrong key.
#[tokio::test]
async fn nested_call_belongs_to_the_caller_of_its_parent() {
    let mut world = world(Deed::Answer).await;
    world.admission.lock().unconfirmed = Some(Unconfirmed {
        age: None,
        retry_after: Duration::from_secs(1),
    });
    let (running, origin) = nested();
    let answer = world
        .send(origin.clone(), "/a", &[("x-workspace", "pulo")])
        .await;
    assert_eq!(header(&answer, OUTCOME), "ran");
    let call = world.calls.recv().await.expect("the call");
    assert_eq!(
        (call.caller.as_str(), call.urgency),
        ("desk@clinic-7", Urgency::Batch)
    );
    assert!(names(&call).is_empty(), "{:?}", call.headers);
    assert_eq!(world.asks(), 0);
    let wrong = world
        .send(origin.clone(), "/a", &[("authorization", "Bearer k-0")])
        .await;
    assert_eq!(wrong.status().as_u16(), 401);
    world.admission.lock().unconfirmed = None;
    let key = format!("Bearer {KEY}");
    world.send(origin, "/a", &[("authorization", &key)]).await;
    let call = world.calls.recv().await.expect("the call");
    assert_eq!(
        (call.caller.as_str(), call.urgency),
        ("pulo", Urgency::Urgent)
    );
    assert_eq!((names(&call), world.asks()), (vec!["x-workspace"], 1));
    drop(running);
}

/// Guards against the answer 401 to a proper nested call whose daemon has restarted under its parent: its
/// sender would take the key for wrong and not send the call again.
#[tokio::test]
async fn call_of_an_unknown_parent_is_told_to_come_back() {
    let world = world(Deed::Answer).await;
    let lost = world.send(outside(), "/a", &[("x-attempt", "a1.2")]).await;
    assert_eq!(
        (lost.status().as_u16(), header(&lost, REASON)),
        (503, "no-workspace")
    );
    assert_eq!(header(&lost, OUTCOME), "not-run");
    assert!(!header(&lost, "retry-after").is_empty());
    assert_eq!(header(&lost, "www-authenticate"), "");
    let token = Token(9).to_string();
    let lost = world
        .send(Origin::Nested(None), "/a", &[(nest::HEADER, &token)])
        .await;
    assert_eq!(lost.status().as_u16(), 503);
    let wrong = [("x-attempt", "a1.2"), ("authorization", "Bearer k-0")];
    let wrong = world.send(outside(), "/a", &wrong).await;
    assert_eq!(wrong.status().as_u16(), 401);
    let alone = world.send(Origin::Nested(None), "/a", &[]).await;
    assert_eq!(alone.status().as_u16(), 401);
}
