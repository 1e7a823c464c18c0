//! Answers whose bodies don't have the length that their heads declare.

use std::sync::Arc;

use bytes::Bytes;
use entry::{Body, Handler};
use futures_util::{FutureExt, stream};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::world::{TEST_TIMEOUT, read_until, serve};

/// Declares ten bytes and answers with `pieces` of five.
fn answer(pieces: usize) -> Handler {
    answer_with(StatusCode::OK, pieces)
}

fn answer_with(status: StatusCode, pieces: usize) -> Handler {
    Arc::new(move |_, _: Request<Body>| {
        async move {
            let piece = || Ok(Frame::data(Bytes::from_static(b"hello")));
            let body = stream::iter((0..pieces).map(move |_| piece()));
            let mut response = Response::new(StreamBody::new(body).boxed_unsync());
            *response.status_mut() = status;
            let length = HeaderValue::from_static("10");
            response
                .headers_mut()
                .insert(header::CONTENT_LENGTH, length);
            response
        }
        .boxed()
    })
}

/// Guards against a caller that gets a part of the next answer in its own, or the rest of its own in the
/// next: the connection must end with an answer that is shorter or longer than declared.
#[tokio::test]
async fn answers_of_another_size_than_declared_end_the_connection() {
    let requests = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n".repeat(2);
    for pieces in [1, 3] {
        let (address, _stop) = serve(answer(pieces)).await;
        let mut stream = TcpStream::connect(address).await.expect("connected");
        stream.write_all(requests.as_bytes()).await.expect("sent");
        let mut all = Vec::new();
        let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut all)).await;
        // The connection may be reset.
        drop(read.expect("the connection ends in time"));
        let all = String::from_utf8_lossy(&all).into_owned();
        assert!(all.matches("HTTP/1.1").count() <= 1, "{all}");
        assert!(!all.contains("hellohellohello"), "{all}");
    }
    let (address, _stop) = serve(answer(2)).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(requests.as_bytes()).await.expect("sent");
    let first = read_until(&mut stream, "hellohello").await;
    if first.matches("hellohello").count() == 1 {
        read_until(&mut stream, "hellohello").await;
    }
}

/// Guards against a connection that ends behind a 304, which declares the length of a body that it
/// doesn't have.
#[tokio::test]
async fn answers_without_a_body_may_declare_a_length() {
    let (address, _stop) = serve(answer_with(StatusCode::NOT_MODIFIED, 0)).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    for _ in 0..2 {
        let request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
        stream.write_all(request).await.expect("sent");
        read_until(&mut stream, "\r\n\r\n").await;
    }
}
