//! Requests that arrive while their connection is about to close.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use entry::{Body, Handler};
use futures_util::{FutureExt, stream};
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::world::{TEST_TIMEOUT, echo_path, read_until, serve};

/// Answers with `Connection: close` and a body in pieces, as an instance does that stops, and counts the
/// requests that it begins.
fn answer_slowly(begun: Arc<AtomicUsize>) -> Handler {
    Arc::new(move |_, _: Request<Body>| {
        begun.fetch_add(1, Ordering::SeqCst);
        async {
            let pieces = stream::unfold(0, |count| async move {
                sleep(Duration::from_millis(20)).await;
                let piece = Frame::data(Bytes::from(format!("piece {count};")));
                (count < 10).then_some((Ok(piece), count + 1))
            });
            let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            response
        }
        .boxed()
    })
}

/// Guards against a planned stop that drops requests which it has passed on: those that arrive while
/// the last answer is written, whose head already says that the connection closes.
#[tokio::test]
async fn requests_behind_the_last_answer_are_not_begun() {
    let begun = Arc::new(AtomicUsize::new(0));
    let (address, _stop) = serve(answer_slowly(begun.clone())).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let mut answer = read_until(&mut stream, "piece 2").await;
    stream.write_all(request).await.expect("sent");
    let rest = timeout(TEST_TIMEOUT, stream.read_to_string(&mut answer)).await;
    rest.expect("the connection closes in time").expect("text");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(begun.load(Ordering::SeqCst), 1, "requests begun");
}

/// Guards against a stop that closes idle connections whose next request has already arrived.
#[tokio::test]
async fn requests_that_arrived_before_the_stop_are_answered() {
    const CONNECTIONS: usize = 16;
    let (address, stop) = serve(echo_path()).await;
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.expect("connected");
        let request = b"GET /first HTTP/1.1\r\nHost: h\r\n\r\n";
        stream.write_all(request).await.expect("sent");
        read_until(&mut stream, "/first").await;
        streams.push(stream.into_std().expect("a socket"));
    }
    // The runtime has one thread, so the connections see the request and the stop at the same time.
    for stream in &mut streams {
        use std::io::Write;
        let request = b"GET /second HTTP/1.1\r\nHost: h\r\n\r\n";
        stream.write_all(request).expect("sent");
    }
    stop.cancel();
    for stream in streams {
        let mut stream = TcpStream::from_std(stream).expect("a socket");
        read_until(&mut stream, "/second").await;
    }
}
