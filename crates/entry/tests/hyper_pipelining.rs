//! The reason why the entry has its own server for callers' connections: hyper starts a pipelined
//! request only after it has answered the previous one.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep};

const SERVICE_TIME: Duration = Duration::from_millis(100);

/// If this test fails, hyper serves pipelined requests concurrently, and this reason no longer
/// holds.
#[tokio::test]
async fn hyper_serves_pipelined_requests_serially() {
    let (mut caller, server) = tokio::io::duplex(65_536);
    let service = service_fn(|_: Request<Incoming>| async {
        sleep(SERVICE_TIME).await;
        Ok::<_, Infallible>(Response::new(Full::new(Bytes::from("done"))))
    });
    let mut builder = http1::Builder::new();
    builder.pipeline_flush(true);
    let serving = tokio::spawn(builder.serve_connection(TokioIo::new(server), service));
    let started = Instant::now();
    let request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let last = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let both = format!("{request}{last}");
    caller
        .write_all(both.as_bytes())
        .await
        .expect("the requests are written");
    let mut answers = String::new();
    let read = caller.read_to_string(&mut answers).await;
    read.expect("both answers are read");
    assert_eq!(answers.matches("done").count(), 2, "{answers}");
    assert!(
        started.elapsed() >= SERVICE_TIME * 2,
        "{:?}",
        started.elapsed()
    );
    serving
        .await
        .expect("the server task completes")
        .expect("the connection is served without an error");
}
