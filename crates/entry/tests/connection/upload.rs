//! Bodies of requests whose callers leave before the end.

use std::sync::Arc;

use entry::{Body, Handler};
use futures_util::FutureExt;
use http::Request;
use http_body_util::BodyExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::world::{TEST_TIMEOUT, serve, text_response};

/// How a body ended for the task that read it: its size, or the error.
type Ended = Result<usize, String>;

/// Reads bodies in tasks of their own, which go on when the caller leaves, and reports their ends.
fn read_bodies(ended: mpsc::UnboundedSender<Ended>) -> Handler {
    Arc::new(move |_, request: Request<Body>| {
        let ended = ended.clone();
        let read = tokio::spawn(async move {
            let body = request.into_body().collect().await;
            let read = body.map(|body| body.to_bytes().len());
            drop(ended.send(read.map_err(|error| error.to_string())));
        });
        async move {
            drop(read.await);
            text_response("read".to_string())
        }
        .boxed()
    })
}

/// Sends `head` and `parts`, leaves, and returns how the body ended.
async fn end_after(head: &str, parts: &[&[u8]]) -> Ended {
    let (ended, mut ends) = mpsc::unbounded_channel();
    let (address, _stop) = serve(read_bodies(ended)).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(head.as_bytes()).await.expect("sent");
    for part in parts {
        stream.write_all(part).await.expect("sent");
    }
    drop(stream);
    let end = timeout(TEST_TIMEOUT, ends.recv()).await;
    end.expect("the body ends in time").expect("one body")
}

/// Guards against a body that looks complete because its caller has left in the middle: the request
/// would run with a part of it.
#[tokio::test]
async fn abandoned_bodies_end_with_an_error() {
    let piece = [b'a'; 1_000];
    let sized = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n";
    for count in 0..5 {
        let end = end_after(sized, &vec![&piece[..]; count]).await;
        assert!(end.is_err(), "{count} of 5 pieces looked complete: {end:?}");
    }
    assert_eq!(end_after(sized, &[&piece[..]; 5]).await, Ok(5_000));
}

/// Guards against the same with a body in chunks, whose caller leaves behind any byte of its framing.
#[tokio::test]
async fn abandoned_chunks_end_with_an_error() {
    let chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    let body = b"5;x=y\r\nhello\r\n3\r\nabc\r\n0\r\nTrailer: t\r\n\r\n";
    for count in 0..body.len() {
        let end = end_after(chunked, &[&body[..count]]).await;
        assert!(end.is_err(), "{count} bytes looked complete: {end:?}");
    }
    assert_eq!(end_after(chunked, &[body]).await, Ok(8));
}
