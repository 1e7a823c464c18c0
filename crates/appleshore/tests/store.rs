//! The platform's store is down, slow, or loses answers.

use std::time::Duration;

use futures_util::future::join_all;
use mesh::{Answer, Mesh, until};
use tokio::time::sleep;

/// Asks until the answer is no refusal; each refusal on the way must be "not run".
async fn until_served(mut ask: impl AsyncFnMut() -> Answer) -> Answer {
    loop {
        let answer = ask().await;
        if answer.status == 200 {
            return answer;
        }
        assert_eq!(answer.outcome, "not-run", "{answer:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_daemon_that_starts_without_the_store_serves_once_it_is_back() {
    // The only instance is replaced during an outage of the store, so nobody can give it rules. It
    // must start nevertheless, say "not run" with a time to come back, and serve by itself once the
    // store is up.
    let mut mesh = Mesh::builder().instances(1).start().await;
    mesh.kill_daemon(0);
    mesh.platform.fault().down(true);
    mesh.start_daemon(0).await;
    let answer = mesh.get(0, "/echo/early").await;
    let head = (answer.status, answer.outcome.as_str());
    assert_eq!(head, (503, "not-run"), "{answer:?}");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    mesh.platform.fault().down(false);
    let answer = until_served(async || mesh.get(0, "/echo/late").await).await;
    assert_eq!(answer.outcome, "ran");
    assert_eq!(mesh.runs_of("/echo/early"), 0);
}

#[tokio::test]
async fn an_outage_stops_orders_and_nothing_else() {
    // The store goes down under a running mesh. Look-ups need nothing of it and are served on. An
    // order needs its claim confirmed: it is refused as not run, and nothing is guessed. Once the
    // store is back, the same key runs, and runs once.
    let mesh = Mesh::builder().start().await;
    mesh.platform.fault().down(true);
    for index in 0..3 {
        let answer = mesh.get(index, "/echo/look").await;
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"));
    }
    let orders = (0..3).map(|index| mesh.order(index, "/order/slip", "k", "box 7"));
    for answer in join_all(orders).await {
        let head = (answer.status, answer.outcome.as_str());
        assert_eq!(head, (503, "not-run"), "{answer:?}");
        assert_eq!(answer.reason, "no-claim");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    }
    assert_eq!(mesh.runs_of("/order/slip"), 0);
    mesh.platform.fault().down(false);
    let answer = until_served(async || mesh.order(1, "/order/slip", "k", "box 7").await).await;
    assert_eq!(answer.outcome, "ran", "{answer:?}");
    let again = mesh.order(2, "/order/slip", "k", "box 7").await;
    assert_eq!(again.outcome, "already-run", "{again:?}");
    assert_eq!(mesh.runs_of("/order/slip"), 1);
}

#[tokio::test]
async fn an_order_whose_claim_lands_late_is_free_again() {
    // The store holds all calls, and the claim's write is given up: the caller is told "not run".
    // Then the store goes on, and the held write takes effect. The claim of a request that nobody
    // will run must be released, or its key would be dead though nothing ran.
    let mesh = Mesh::builder().start().await;
    mesh.platform.fault().hold(true);
    let answer = mesh.order(0, "/order/slip", "k", "box 7").await;
    let head = (answer.status, answer.outcome.as_str());
    assert_eq!(head, (503, "not-run"), "{answer:?}");
    mesh.platform.fault().hold(false);
    let answer = until_served(async || mesh.order(1, "/order/slip", "k", "box 7").await).await;
    assert_eq!(answer.outcome, "ran", "{answer:?}");
    assert_eq!(mesh.runs_of("/order/slip"), 1);
}

#[tokio::test]
async fn lost_answers_of_the_store_make_no_second_run() {
    // The store takes the claims' writes and their answers get lost. The owner reads back and finds
    // its own write: the order runs once, and its caller gets the answer. Taken for a failure it
    // would block the key; written again it could run twice.
    let mesh = Mesh::builder().start().await;
    for number in 0..10 {
        mesh.platform.fault().lose_next(1);
        let path = format!("/order/slip-{number}");
        let key = format!("k-{number}");
        let answer = mesh.order(number % 3, &path, &key, "box 7").await;
        let head = (answer.status, answer.outcome.as_str());
        assert_eq!(head, (200, "ran"), "{answer:?}");
        assert_eq!(mesh.runs_of(&path), 1);
    }
}

#[tokio::test]
async fn lost_answers_at_random_make_no_second_run() {
    // A third of all writes loses its answer while orders come by all instances, each sent twice.
    // Whatever each caller is told, "not run" must mean that nothing ran, and no order may run twice.
    let mesh = Mesh::builder().start().await;
    mesh.platform.fault().lose_share(0.33, 7);
    let orders = (0..60).map(|number| {
        let mesh = &mesh;
        async move {
            let (path, key) = (
                format!("/order/{}", number / 2),
                format!("k-{}", number / 2),
            );
            mesh.order(number % 3, &path, &key, "box 7").await
        }
    });
    let answers = join_all(orders).await;
    for number in 0..30 {
        let runs = mesh.runs_of(&format!("/order/{number}"));
        let both = [&answers[2 * number], &answers[2 * number + 1]];
        let ran = both.iter().filter(|answer| answer.outcome == "ran").count();
        let known = both.iter().all(|answer| answer.outcome != "unknown");
        assert!(runs <= 1, "{number}: {runs} runs");
        assert!(ran as u64 <= runs, "{number}: {both:?}");
        assert!(!known || ran as u64 == runs, "{number}: {both:?}");
    }
}

#[tokio::test]
async fn a_slow_store_delays_orders_and_nothing_else() {
    // Each call of the store takes 150 ms. Orders wait for their claims and run, each once; look-ups
    // don't touch the store, and are served beside them.
    let mesh = Mesh::builder().start().await;
    mesh.platform.fault().slow(Duration::from_millis(150));
    let orders = (0..9).map(|number| {
        let mesh = &mesh;
        async move {
            let key = format!("k-{number}");
            mesh.order(number % 3, "/order/slip", &key, "box 7").await
        }
    });
    let look_ups = (0..30).map(|number| mesh.get(number % 3, "/echo/look"));
    let (orders, look_ups) = tokio::join!(join_all(orders), join_all(look_ups));
    for answer in orders.iter().chain(&look_ups) {
        let head = (answer.status, answer.outcome.as_str());
        assert_eq!(head, (200, "ran"), "{answer:?}");
    }
    assert_eq!(mesh.runs_of("/order/slip"), 9);
}

#[tokio::test]
async fn a_store_that_is_too_slow_refuses_orders_in_time() {
    // Each call of the store takes two seconds, and a claim needs some. The caller of an order is
    // not left to wait for its own deadline: it is refused as not run, with a time to come back.
    // Once the store is quick again, the same key runs once, though late writes of the claim land.
    let mesh = Mesh::builder().start().await;
    mesh.platform.fault().slow(Duration::from_secs(2));
    let answer = mesh.order(0, "/order/slip", "k", "box 7").await;
    let head = (answer.status, answer.outcome.as_str());
    assert_eq!(head, (503, "not-run"), "{answer:?}");
    assert_eq!(answer.reason, "no-claim");
    mesh.platform.fault().slow(Duration::ZERO);
    let answer = until_served(async || mesh.order(1, "/order/slip", "k", "box 7").await).await;
    assert_eq!(answer.outcome, "ran", "{answer:?}");
    assert_eq!(mesh.runs_of("/order/slip"), 1);
}

#[tokio::test]
async fn a_stop_during_an_outage_comes_to_its_end() {
    // An instance is stopped while the store is down. It can neither announce nor delete anything
    // there. What runs is finished, and the stop ends all the same: the operator must not wait for
    // the platform.
    let mut mesh = Mesh::builder().start().await;
    mesh.platform.fault().down(true);
    let (client, to) = (mesh.client.clone(), mesh.callers(1));
    let stream = tokio::spawn(async move {
        client
            .send(to, http::Method::GET, "/stream/10/50/slow", &[], "")
            .await
    });
    until("the stream", || mesh.runs_of("/stream/10/50/slow") == 1).await;
    mesh.take_daemon(1).drain().await;
    let answer = stream.await.unwrap();
    assert_eq!((answer.text().lines().count(), answer.whole), (10, true));
    for index in [0, 2] {
        let answer = until_served(async || mesh.get(index, "/echo/look").await).await;
        assert_eq!(answer.outcome, "ran");
    }
}
