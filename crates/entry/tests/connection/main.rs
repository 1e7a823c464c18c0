//! Callers' connections: pipelining, bodies in chunks, disconnects, limits and the planned stop.

mod answer;
mod discard;
mod pressure;
mod stop;
mod upload;
mod world;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use entry::{Body, ConnectionLimits, Handler, Port};
use futures_util::FutureExt;
use http::Request;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::world::{TEST_TIMEOUT, clients, echo_path, limits, read_until, serve, text_response};

/// Guards against a pipelined request that waits for the service time of the previous one. The
/// answers must still be sent in the order of the requests.
#[tokio::test]
async fn pipelined_requests_run_concurrently() {
    let running = Arc::new(AtomicUsize::new(0));
    let max_running = Arc::new(AtomicUsize::new(0));
    let (count, max) = (running.clone(), max_running.clone());
    let handler: Handler = Arc::new(move |_, request: Request<Body>| {
        let (count, max) = (count.clone(), max.clone());
        async move {
            max.fetch_max(count.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            sleep(Duration::from_millis(100)).await;
            count.fetch_sub(1, Ordering::SeqCst);
            text_response(request.uri().path().to_string())
        }
        .boxed()
    });
    let (address, _stop) = serve(handler).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let requests = "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n";
    stream.write_all(requests.as_bytes()).await.expect("sent");
    let answers = read_until(&mut stream, "/second").await;
    assert_eq!(max_running.load(Ordering::SeqCst), 2, "ran concurrently");
    let first = answers.find("/first").expect("the first answer");
    assert!(first < answers.find("/second").expect("the second answer"));
}

/// Guards against a request that is not answered before its caller's deadline. Its body arrives in
/// many small chunks, the last of which fills the channel to the handler. The end of the body must
/// reach the handler nevertheless.
#[tokio::test]
async fn end_of_body_in_small_chunks_reaches_handler() {
    let handler: Handler = Arc::new(|_, request: Request<Body>| {
        async move {
            sleep(Duration::from_millis(50)).await;
            let body = request.into_body().collect().await.expect("a body");
            text_response(format!("got {}", body.to_bytes().len()))
        }
        .boxed()
    });
    let (address, _stop) = serve(handler).await;
    for chunks in 1..12 {
        let mut stream = TcpStream::connect(address).await.expect("connected");
        stream.set_nodelay(true).expect("TCP_NODELAY is set");
        let length = chunks * 64;
        let head = format!("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("sent");
        for _ in 0..chunks {
            sleep(Duration::from_millis(2)).await;
            stream.write_all(&[7; 64]).await.expect("sent");
        }
        read_until(&mut stream, &format!("got {length}")).await;
    }
}

/// Guards against a request that is read as part of the chunked body before it, and the reverse.
#[tokio::test]
async fn chunked_body_and_next_request_are_separated() {
    let handler: Handler = Arc::new(|_, request: Request<Body>| {
        async move {
            let path = request.uri().path().to_string();
            let body = request.into_body().collect().await.expect("a body");
            text_response(format!("{path} {}", body.to_bytes().len()))
        }
        .boxed()
    });
    let (address, _stop) = serve(handler).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let mut sent = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    for _ in 0..9 {
        sent.push_str("3\r\nabc\r\n");
    }
    sent.push_str("0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    stream.write_all(sent.as_bytes()).await.expect("sent");
    let answers = read_until(&mut stream, "/b 0").await;
    assert!(answers.contains("/a 27"), "{answers}");
}

/// Guards against a target that works on an answer that nobody reads. The caller disconnects while
/// its request runs and the buffer holds part of a pipelined one. The running request must be
/// dropped.
#[tokio::test]
async fn disconnect_cancels_running_request() {
    struct RunningGuard(Arc<AtomicUsize>);
    impl Drop for RunningGuard {
        fn drop(&mut self) {
            self.0.fetch_sub(1, Ordering::SeqCst);
        }
    }
    let running = Arc::new(AtomicUsize::new(0));
    let count = running.clone();
    let handler: Handler = Arc::new(move |_, _| {
        count.fetch_add(1, Ordering::SeqCst);
        let guard = RunningGuard(count.clone());
        async move {
            sleep(Duration::from_secs(600)).await;
            drop(guard);
            text_response(String::new())
        }
        .boxed()
    });
    let (address, _stop) = serve(handler).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let sent = "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHo";
    stream.write_all(sent.as_bytes()).await.expect("sent");
    let until = Instant::now() + TEST_TIMEOUT;
    while running.load(Ordering::SeqCst) == 0 && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        running.load(Ordering::SeqCst),
        1,
        "only the complete request runs"
    );
    drop(stream);
    while running.load(Ordering::SeqCst) == 1 && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(running.load(Ordering::SeqCst), 0, "the run was dropped");
}

/// Guards against heads that occupy a connection or memory without limit, and against refusals with
/// the wrong status: 400 if the head is malformed, 431 if too large, 408 if it takes too long.
#[tokio::test]
async fn malformed_large_and_slow_heads_are_refused() {
    let (address, _stop) = serve(echo_path()).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("sent");
    let answer = read_until(&mut stream, "\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let long = format!(
        "GET / HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n",
        "x".repeat(5_000)
    );
    stream.write_all(long.as_bytes()).await.expect("sent");
    let answer = read_until(&mut stream, "\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(b"GET / HT").await.expect("sent");
    let answer = read_until(&mut stream, "\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

/// Guards against a request that runs twice during a planned stop. If the answer to the first of two
/// pipelined requests closed the connection, its caller would resend the second one, although it
/// already runs.
#[tokio::test]
async fn stop_closes_connection_after_last_answer() {
    let (address, stop) = serve(echo_path()).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let requests = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    stream.write_all(requests.as_bytes()).await.expect("sent");
    sleep(Duration::from_millis(50)).await;
    stop.cancel();
    let mut all = String::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_string(&mut all)).await;
    read.expect("the connection closes in time")
        .expect("the answers are text");
    let first = all.find("/slow").expect("the first answer");
    assert!(!all[..first].contains("connection: close"), "{all}");
    assert!(all[first..].contains("connection: close"), "{all}");
    assert!(all.ends_with("/b"), "{all}");
}

/// Guards against connections that are closed with a request unread in them. The process is stopped
/// for longer than they may be idle, requests arrive meanwhile, and when it goes on both the timers
/// and the sockets are due.
#[tokio::test]
async fn requests_that_arrived_while_the_process_was_stopped_are_answered() {
    const CONNECTIONS: usize = 16;
    let idle = Duration::from_millis(100);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let port = Port {
        handler: echo_path(),
        limits: Arc::new(move || ConnectionLimits {
            idle_timeout: idle,
            ..limits()
        }),
        clients: clients(),
        stop: CancellationToken::new(),
    };
    tokio::spawn(port.serve(listener));
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream
            .write_all(b"GET /first HTTP/1.1\r\nhost: h\r\n\r\n")
            .await
            .expect("sent");
        read_until(&mut stream, "/first").await;
        streams.push(stream.into_std().expect("a socket"));
    }
    let caller = std::thread::spawn(move || {
        use std::io::Write;
        std::thread::sleep(idle * 2);
        for stream in &mut streams {
            stream
                .write_all(b"GET /second HTTP/1.1\r\nhost: h\r\n\r\n")
                .expect("sent");
        }
        streams
    });
    // The runtime has one thread, so this stops the connections as a stopped process would.
    let streams = caller.join().expect("the caller has sent");
    for stream in streams {
        let mut stream = TcpStream::from_std(stream).expect("a socket");
        read_until(&mut stream, "/second").await;
    }
}
