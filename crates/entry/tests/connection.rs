//! Callers' connections: pipelines, bodies in pieces, callers that leave, and bounds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use entry::{Body, ConnectionLimits, Handler, Port};
use futures_util::FutureExt;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use unit::Size;

const SOON: Duration = Duration::from_secs(5);

fn limits() -> ConnectionLimits {
    ConnectionLimits {
        head: Size::of(4_096),
        head_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_secs(60),
        connections: 16,
    }
}

/// Serves `handler`; the port lives as long as the test's runtime.
async fn serve(handler: Handler) -> (SocketAddr, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = CancellationToken::new();
    let port = Port {
        handler,
        limits: Arc::new(limits),
        stop: stop.clone(),
    };
    tokio::spawn(port.serve(listener));
    (address, stop)
}

fn text(text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    Response::new(body.boxed_unsync())
}

/// Answers with the path, `/slow` after a wait and all others at once.
fn by_path() -> Handler {
    Arc::new(|_, request: Request<Body>| {
        async move {
            let path = request.uri().path().to_string();
            if path == "/slow" {
                sleep(Duration::from_millis(300)).await;
            }
            text(path)
        }
        .boxed()
    })
}

async fn read_until(stream: &mut TcpStream, wanted: &str) -> String {
    let mut all = Vec::new();
    let read = async {
        let mut piece = [0; 1_024];
        while !String::from_utf8_lossy(&all).contains(wanted) {
            let count = stream.read(&mut piece).await.expect("bytes");
            assert!(
                count > 0,
                "the connection ended: {}",
                String::from_utf8_lossy(&all)
            );
            all.extend_from_slice(&piece[..count]);
        }
    };
    timeout(SOON, read).await.expect("an answer in time");
    String::from_utf8_lossy(&all).into_owned()
}

/// A caller sends a second request before the first is answered. It must not wait for the first's
/// service time, and its answer comes second all the same.
#[tokio::test]
async fn pipelined_requests_run_side_by_side() {
    let running = Arc::new(AtomicUsize::new(0));
    let most = Arc::new(AtomicUsize::new(0));
    let (now, peak) = (running.clone(), most.clone());
    let handler: Handler = Arc::new(move |_, request: Request<Body>| {
        let (now, peak) = (now.clone(), peak.clone());
        async move {
            peak.fetch_max(now.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            sleep(Duration::from_millis(100)).await;
            now.fetch_sub(1, Ordering::SeqCst);
            text(request.uri().path().to_string())
        }
        .boxed()
    });
    let (address, _stop) = serve(handler).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let requests = "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n";
    stream.write_all(requests.as_bytes()).await.expect("sent");
    let answers = read_until(&mut stream, "/second").await;
    assert_eq!(most.load(Ordering::SeqCst), 2, "both ran at once");
    let first = answers.find("/first").expect("the first answer");
    assert!(first < answers.find("/second").expect("the second answer"));
}

/// A body comes in many small pieces, and the last of them fills the handler's channel. The end of
/// the body must reach the handler all the same: else the request is never answered, and its caller
/// waits until its deadline.
#[tokio::test]
async fn body_in_small_pieces_ends() {
    let handler: Handler = Arc::new(|_, request: Request<Body>| {
        async move {
            sleep(Duration::from_millis(50)).await;
            let body = request.into_body().collect().await.expect("a body");
            text(format!("got {}", body.to_bytes().len()))
        }
        .boxed()
    });
    let (address, _stop) = serve(handler).await;
    for pieces in 1..12 {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.set_nodelay(true).expect("no delay");
        let length = pieces * 64;
        let head = format!("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("sent");
        for _ in 0..pieces {
            sleep(Duration::from_millis(2)).await;
            stream.write_all(&[7; 64]).await.expect("sent");
        }
        read_until(&mut stream, &format!("got {length}")).await;
    }
}

#[tokio::test]
async fn chunked_body_and_next_request_are_told_apart() {
    let handler: Handler = Arc::new(|_, request: Request<Body>| {
        async move {
            let path = request.uri().path().to_string();
            let body = request.into_body().collect().await.expect("a body");
            text(format!("{path} {}", body.to_bytes().len()))
        }
        .boxed()
    });
    let (address, _stop) = serve(handler).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let mut sent = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    for _ in 0..9 {
        sent.push_str("3\r\nabc\r\n");
    }
    sent.push_str("0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    stream.write_all(sent.as_bytes()).await.expect("sent");
    let answers = read_until(&mut stream, "/b 0").await;
    assert!(answers.contains("/a 27"), "{answers}");
}

/// The caller closes while its request runs, and more bytes of a pipelined one lie in the buffer.
/// The run must be dropped, or the target works on for nobody.
#[tokio::test]
async fn caller_that_leaves_cancels_what_runs() {
    struct Alive(Arc<AtomicUsize>);
    impl Drop for Alive {
        fn drop(&mut self) {
            self.0.fetch_sub(1, Ordering::SeqCst);
        }
    }
    let alive = Arc::new(AtomicUsize::new(0));
    let count = alive.clone();
    let handler: Handler = Arc::new(move |_, _| {
        count.fetch_add(1, Ordering::SeqCst);
        let guard = Alive(count.clone());
        async move {
            sleep(Duration::from_secs(600)).await;
            drop(guard);
            text(String::new())
        }
        .boxed()
    });
    let (address, _stop) = serve(handler).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let sent = "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHo";
    stream.write_all(sent.as_bytes()).await.expect("sent");
    let until = Instant::now() + SOON;
    while alive.load(Ordering::SeqCst) == 0 && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(alive.load(Ordering::SeqCst), 1, "the whole request runs");
    drop(stream);
    while alive.load(Ordering::SeqCst) == 1 && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(alive.load(Ordering::SeqCst), 0, "the run was dropped");
}

#[tokio::test]
async fn malformed_and_endless_heads_are_refused() {
    let (address, _stop) = serve(by_path()).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("sent");
    let answer = read_until(&mut stream, "\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let long = format!(
        "GET / HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n",
        "x".repeat(5_000)
    );
    stream.write_all(long.as_bytes()).await.expect("sent");
    let answer = read_until(&mut stream, "\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(b"GET / HT").await.expect("sent");
    let answer = read_until(&mut stream, "\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

/// The first of two pipelined requests is answered while the daemon stops. An answer that closes the
/// connection would make its caller send the second again, though it runs here.
#[tokio::test]
async fn stop_closes_behind_the_last_answer() {
    let (address, stop) = serve(by_path()).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let requests = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    stream.write_all(requests.as_bytes()).await.expect("sent");
    sleep(Duration::from_millis(50)).await;
    stop.cancel();
    let mut all = String::new();
    let read = timeout(SOON, stream.read_to_string(&mut all)).await;
    read.expect("the connection ends").expect("text");
    let first = all.find("/slow").expect("the first answer");
    assert!(!all[..first].contains("connection: close"), "{all}");
    assert!(all[first..].contains("connection: close"), "{all}");
    assert!(all.ends_with("/b"), "{all}");
}
