//! Callers that send ahead, leave answers unread, or come when there is no memory left.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use clients::Table;
use entry::{Body, ConnectionLimits, Handler};
use futures_util::{FutureExt, stream};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout};
use unit::Size;

use crate::world::{TEST_TIMEOUT, clients, limits, read_until, serve, serve_for, text_response};

const REQUEST: &str = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

fn table(bytes: u64) -> Table {
    Table::new(clients::Limits {
        memory: Size::of(bytes),
        connections: 16,
    })
}

/// Counts requests in `runs`, and answers each once `open` has a permit for it.
fn answer_when_open(runs: &Arc<AtomicUsize>, open: &Arc<Semaphore>) -> Handler {
    let (runs, open) = (runs.clone(), open.clone());
    Arc::new(move |_, _: Request<Body>| {
        runs.fetch_add(1, Ordering::SeqCst);
        let open = open.clone();
        async move {
            open.acquire().await.expect("never closed").forget();
            text_response("done".to_string())
        }
        .boxed()
    })
}

async fn until_runs(runs: &AtomicUsize, count: usize) {
    let until = Instant::now() + TEST_TIMEOUT;
    while runs.load(Ordering::SeqCst) < count {
        assert!(Instant::now() < until, "{count} requests run");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a caller that reads nothing and has request after request served.
#[tokio::test]
async fn no_request_is_served_behind_unread_answers() {
    const ANSWER: usize = 4 << 20;
    let runs = Arc::new(AtomicUsize::new(0));
    let count = runs.clone();
    let handler: Handler = Arc::new(move |_, _: Request<Body>| {
        count.fetch_add(1, Ordering::SeqCst);
        let body = Full::new(Bytes::from(vec![b'a'; ANSWER])).map_err(|never| match never {});
        async { Response::new(body.boxed_unsync()) }.boxed()
    });
    let (address, _stop) = serve(handler).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(REQUEST.as_bytes()).await.expect("sent");
    until_runs(&runs, 1).await;
    stream
        .write_all(REQUEST.repeat(9).as_bytes())
        .await
        .expect("sent");
    sleep(Duration::from_millis(200)).await;
    assert_eq!(runs.load(Ordering::SeqCst), 1, "its answer is unread");
    let mut bytes = 0;
    let mut input = vec![0; 64 << 10];
    while bytes < 10 * ANSWER {
        let read = timeout(TEST_TIMEOUT, stream.read(&mut input)).await;
        let read = read.expect("in time").expect("bytes");
        assert!(read > 0, "the connection ended");
        bytes += read;
    }
    assert_eq!(runs.load(Ordering::SeqCst), 10, "all are served in the end");
}

/// Guards against a caller that takes all the memory by what it sends ahead, and against requests that run
/// although their caller is told that they were not read.
#[tokio::test]
async fn requests_beyond_a_share_are_left_unread() {
    const SENT: usize = 20;
    let (runs, open) = (Arc::default(), Arc::new(Semaphore::new(0)));
    let handler = answer_when_open(&runs, &open);
    let (address, _stop) = serve_for(handler, limits(), table(400_000)).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream
        .write_all(REQUEST.repeat(SENT).as_bytes())
        .await
        .expect("sent");
    until_runs(&runs, 1).await;
    open.add_permits(SENT);
    let mut all = String::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_string(&mut all)).await;
    read.expect("the connection ends")
        .expect("answers are text");
    let answers = all.matches("HTTP/1.1 200").count();
    assert_eq!(answers, runs.load(Ordering::SeqCst), "all that ran: {all}");
    assert!((1..SENT).contains(&answers), "{answers} answers");
    let last = all.rfind("HTTP/1.1").expect("an answer");
    assert!(all[last..].contains("connection: close"), "{all}");
    assert!(!all[..last].contains("connection: close"), "{all}");
}

/// Guards against a process that takes requests for which it has no memory, and against callers that
/// aren't told when to come back.
#[tokio::test]
async fn requests_without_memory_are_refused() {
    let (runs, open) = (Arc::default(), Arc::new(Semaphore::new(0)));
    let handler = answer_when_open(&runs, &open);
    let (address, _stop) = serve_for(handler, limits(), table(70_000)).await;
    let mut first = TcpStream::connect(address).await.expect("connected");
    first.write_all(REQUEST.as_bytes()).await.expect("sent");
    until_runs(&runs, 1).await;
    let mut second = TcpStream::connect(address).await.expect("connected");
    second.write_all(REQUEST.as_bytes()).await.expect("sent");
    let answer = read_until(&mut second, "\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    for field in ["retry-after: 1", "outcome: not-run", "connection: close"] {
        assert!(answer.contains(field), "{field}: {answer}");
    }
    assert_eq!(runs.load(Ordering::SeqCst), 1, "a refused request runs");
    open.add_permits(2);
    read_until(&mut first, "done").await;
    drop(first);
    let mut third = TcpStream::connect(address).await.expect("connected");
    third.write_all(REQUEST.as_bytes()).await.expect("sent");
    read_until(&mut third, "done").await;
}

/// Guards against answers that are held for ever for a caller that reads nothing.
#[tokio::test]
async fn a_caller_that_takes_no_byte_is_closed() {
    let held = Arc::new(());
    let guard = held.clone();
    let handler: Handler = Arc::new(move |_, _: Request<Body>| {
        let guard = guard.clone();
        let piece = Bytes::from(vec![b'a'; 64 << 10]);
        let endless = stream::repeat_with(move || {
            let _held = &guard;
            Ok(Frame::data(piece.clone()))
        });
        async { Response::new(StreamBody::new(endless).boxed_unsync()) }.boxed()
    });
    let impatient = ConnectionLimits {
        idle_timeout: Duration::from_millis(200),
        ..limits()
    };
    let (address, _stop) = serve_for(handler, impatient, clients()).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(REQUEST.as_bytes()).await.expect("sent");
    let until = Instant::now() + TEST_TIMEOUT;
    let answers = || Arc::strong_count(&held) - 2;
    while answers() == 0 && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(answers(), 1, "it is answered");
    while answers() == 1 && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(answers(), 0, "the answer is dropped");
}
