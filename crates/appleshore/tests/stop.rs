//! A planned stop under load cuts nothing off.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use appleshore::Part;
use futures_util::future::join_all;
use http::Method;
use mesh::{Answer, Client, Mesh, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Callers that ask without a pause.
const CALLERS: usize = 24;

/// Requests that run for long, sent by each instance before the stop.
const LONG: usize = 15;

/// Within this time whatever the gate had let through has reached its target.
const SETTLE: Duration = Duration::from_millis(300);

/// One request of the load, with what its caller saw.
struct Seen {
    path: String,
    answer: Answer,
}

/// Callers that ask all instances in turn until they are told to end.
struct Load {
    end: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Seen>>>,
}

impl Load {
    fn start(mesh: &Mesh) -> Load {
        let end = Arc::new(AtomicBool::new(false));
        let to: Vec<SocketAddr> = (0..3).map(|index| mesh.callers(index)).collect();
        let caller =
            |caller| tokio::spawn(ask(mesh.client.clone(), to.clone(), caller, end.clone()));
        let callers = (0..CALLERS).map(caller).collect();
        Load { end, callers }
    }

    async fn end(self) -> Vec<Seen> {
        self.end.store(true, Ordering::SeqCst);
        let seen = join_all(self.callers).await;
        seen.into_iter()
            .flat_map(|seen| seen.expect("no caller panics"))
            .collect()
    }
}

async fn ask(
    client: Client,
    to: Vec<SocketAddr>,
    caller: usize,
    end: Arc<AtomicBool>,
) -> Vec<Seen> {
    let mut seen = Vec::new();
    while !end.load(Ordering::SeqCst) {
        let path = format!("/sleep/5/load-{caller}-{}", seen.len());
        let to = to[seen.len() % to.len()];
        let answer = client.send(to, Method::GET, &path, &[], "").await;
        seen.push(Seen { path, answer });
    }
    seen
}

/// Sends `path` by each instance, [`LONG`] times, each with a number of its own at the end.
fn send_long(mesh: &Mesh, path: &str) -> Vec<JoinHandle<Answer>> {
    let send = |number: usize| {
        let (client, to) = (mesh.client.clone(), mesh.callers(number % 3));
        let path = format!("{path}-{number}");
        tokio::spawn(async move { client.send(to, Method::GET, &path, &[], "").await })
    };
    (0..3 * LONG).map(send).collect()
}

/// The answers of requests sent by [`send_long`], in their order.
async fn answers(sent: Vec<JoinHandle<Answer>>) -> Vec<Answer> {
    let answers = join_all(sent).await;
    answers
        .into_iter()
        .map(|answer| answer.expect("no caller panics"))
        .collect()
}

fn target(answer: &Answer) -> &str {
    let name = answer.headers.get("x-appleshore-target");
    name.and_then(|name| name.to_str().ok()).unwrap_or("")
}

fn runs(mesh: &Mesh) -> u64 {
    (0..3).map(|index| mesh.target(index).runs()).sum()
}

/// Requests that the gate of instance `index` lets run at once.
fn limit(mesh: &Mesh, index: usize) -> u64 {
    let state = mesh.daemon(index).dump(Part::Gate).state;
    state["report"]["limit"].as_u64().expect("a count")
}

/// Begins a planned stop of instance 1, and waits until its gate refuses.
async fn stop(mesh: &mut Mesh) -> JoinHandle<()> {
    let operator = mesh.operator(1);
    let drained = tokio::spawn(mesh.take_daemon(1).drain());
    let client = mesh.client.clone();
    loop {
        let dump = client
            .send(operator, Method::GET, "/dump/gate", &[], "")
            .await;
        if dump.text().contains("\"leaving\": true") {
            return drained;
        }
        sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing_off() {
    // Callers ask all instances without a pause, slow streams run, and targets are about to make
    // nested calls, when an operator stops instance 1. What runs at its target, and what it relays
    // for others, comes to its end. New work there is refused as not run or served by others; a
    // connection may be refused, but then the request has run nowhere. A request that is held at its target
    // keeps instance 1 from ending before it has been asked once more.
    let mut mesh = Mesh::builder().slots(60).start().await;
    let load = Load::start(&mesh);
    // A cold gate lets few in at first; all long ones shall be under way at the stop.
    until("warm gates", || {
        (0..3).all(|index| limit(&mesh, index) == 60)
    })
    .await;
    let streams = send_long(&mesh, "/stream/40/50/slow");
    let nests = send_long(&mesh, "/later/1000/echo/below");
    let (client, to) = (mesh.client.clone(), mesh.callers(1));
    let held = tokio::spawn(async move { client.send(to, Method::GET, "/hold/on", &[], "").await });
    until("the held one", || {
        (0..3).any(|index| mesh.target(index).paths().contains_key("/hold/on"))
    })
    .await;
    until("the long ones", || {
        let long = |path: &str| path.starts_with("/stream") || path.starts_with("/later");
        let paths = (0..3).flat_map(|index| mesh.target(index).paths().into_keys());
        paths.filter(|path| long(path)).count() == 6 * LONG
    })
    .await;

    let drained = stop(&mut mesh).await;
    sleep(SETTLE).await;
    let (own, all) = (mesh.target(1).runs(), runs(&mesh));
    let refused = mesh.get(1, "/echo/late").await;
    let head = (refused.status, refused.outcome.as_str());
    assert_eq!(head, (503, "not-run"), "{refused:?}");
    assert_eq!(refused.reason, "leaving");
    (0..3).for_each(|index| mesh.target(index).release());
    assert_eq!(held.await.unwrap().status, 200);
    drained.await.unwrap();
    let streams = answers(streams).await;
    let nests = answers(nests).await;
    let seen = load.end().await;

    for (number, answer) in streams.iter().enumerate() {
        let lines = answer.text().lines().count();
        assert_eq!((lines, answer.whole), (40, true), "{number}: {answer:?}");
    }
    for (number, answer) in nests.iter().enumerate() {
        let text = answer.text();
        let below = format!("/echo/below-{number} ");
        assert!(answer.status == 200 && text.contains(&below), "{answer:?}");
    }
    let at_one = nests.iter().filter(|answer| target(answer) == "desk-1");
    assert!(at_one.count() > 0, "the stopped gate ran some");
    let mut paths = BTreeMap::new();
    for (path, runs) in (0..3).flat_map(|index| mesh.target(index).paths()) {
        *paths.entry(path).or_insert(0) += runs;
    }
    for Seen { path, answer } in seen {
        let runs = paths.get(&path).copied().unwrap_or(0);
        match (answer.status, answer.outcome.as_str()) {
            (200, "ran") => assert!(answer.whole && runs == 1, "{path}: {answer:?}"),
            (503, "not-run") | (0, "") => assert_eq!(runs, 0, "{path}: {answer:?}"),
            _ => panic!("{path}: {answer:?}"),
        }
    }
    assert_eq!(mesh.target(1).runs(), own, "sent after the notice");
    assert!(runs(&mesh) > all, "the others served on");
    let gone = mesh.get(1, "/echo/gone").await;
    assert_eq!(gone.status, 0, "{gone:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_under_way_end_before_a_planned_stop() {
    // Orders run when the instance that they came by stops. Each caller gets its answer, and the
    // ends are on record before the exit: a resend by another instance is told that it ran.
    let rules = mesh::RULES.replace("/order/**", "/sleep/**");
    let mut mesh = Mesh::builder().rules(&rules).start().await;
    let send = |key: usize| {
        let (client, to) = (mesh.client.clone(), mesh.callers(1));
        tokio::spawn(async move {
            let key = format!("stop-{key}");
            let headers = [
                ("idempotency-key", key.as_str()),
                ("x-caller", "desk@clinic-7"),
            ];
            client
                .send(to, Method::POST, "/sleep/700/order", &headers, "box 7")
                .await
        })
    };
    let orders: Vec<_> = (0..10).map(send).collect();
    until("the orders", || mesh.runs_of("/sleep/700/order") == 10).await;
    stop(&mut mesh).await.await.unwrap();
    for (key, answer) in answers(orders).await.iter().enumerate() {
        let head = (answer.status, answer.outcome.as_str());
        assert_eq!(head, (200, "ran"), "{key}: {answer:?}");
        let key = format!("stop-{key}");
        let again = mesh.order(0, "/sleep/700/order", &key, "box 7").await;
        assert_eq!(again.outcome, "already-run", "{key}: {again:?}");
    }
    assert_eq!(mesh.runs_of("/sleep/700/order"), 10);
}

/// A caller by instance 1 that asks for an answer of `size` bytes and reads none of it.
async fn stalled(mesh: &Mesh, size: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    let to = mesh.callers(1);
    let mut caller = socket.connect(to).await.expect("instance 1 listens");
    let head = format!("GET /big/{size}/slow HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    let sent = caller.write_all(head.as_bytes()).await;
    sent.expect("instance 1 reads");
    sleep(SETTLE).await;
    caller
}

fn open(mesh: &Mesh) -> u64 {
    let state = mesh.daemon(1).dump(Part::Entry).state;
    state["outcomes"]["open"].as_u64().expect("a count")
}

/// About the largest answer that instance 1 takes whole into its buffers for a stalled caller.
async fn buffered(mesh: &Mesh) -> usize {
    let (mut fits, mut too_large) = (0, 16_000_000);
    while too_large - fits > 10_000 {
        let size = (fits + too_large) / 2;
        let caller = stalled(mesh, size).await;
        if open(mesh) == 0 {
            fits = size;
        } else {
            too_large = size;
        }
        drop(caller);
        until("the end of the call", || open(mesh) == 0).await;
    }
    fits
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_read_slowly_are_not_cut_off() {
    // Callers stop reading. Their answers have left the target and the link, and the tails lie in
    // buffers of instance 1, which then stops. Nothing counts as under way any more, but an exit
    // now would throw the tails away: the stop must wait until the callers have them.
    let mesh = Mesh::builder().slots(100).start().await;
    let most = buffered(&mesh).await;
    let sizes = (1..=40).map(|step| most.saturating_sub(step * 8_000));
    let callers = sizes.map(|size| {
        let mesh = &mesh;
        async move { (size, stalled(mesh, size).await) }
    });
    let mut callers = join_all(callers).await;
    callers.reverse();
    while open(&mesh) > 0 {
        // This one was too large: it would hold up the stop for all others.
        drop(callers.pop());
        sleep(SETTLE).await;
    }
    let mut mesh = mesh;
    let drained = stop(&mut mesh).await;
    sleep(Duration::from_secs(4)).await;
    for (size, mut caller) in callers {
        let mut answer = Vec::new();
        let read = caller.read_to_end(&mut answer).await;
        assert!(read.is_ok(), "{size}: {read:?}");
        let body = answer.iter().rev().take_while(|byte| **byte == b'x');
        assert_eq!(body.count(), size, "bytes of an answer");
    }
    drained.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_last_instance_records_the_end_of_its_order() {
    // The only instance stops while it runs an order. Nobody is live any more who could own the
    // key, and the end must be on record all the same: the next life tells the caller that it ran.
    let rules = mesh::RULES.replace("/order/**", "/sleep/**");
    let mut mesh = Mesh::builder().instances(1).rules(&rules).start().await;
    let (client, to) = (mesh.client.clone(), mesh.callers(0));
    let sent = tokio::spawn(async move {
        let headers = [("idempotency-key", "k"), ("x-caller", "desk@clinic-7")];
        client
            .send(to, Method::POST, "/sleep/300/slip", &headers, "box 7")
            .await
    });
    until("the order runs", || mesh.runs_of("/sleep/300/slip") == 1).await;
    mesh.take_daemon(0).drain().await;
    assert_eq!(sent.await.unwrap().outcome, "ran");
    mesh.start_daemon(0).await;
    mesh.ready().await;
    let again = mesh.order(0, "/sleep/300/slip", "k", "box 7").await;
    assert_eq!(again.outcome, "already-run", "{again:?}");
    assert_eq!(mesh.runs_of("/sleep/300/slip"), 1);
}
