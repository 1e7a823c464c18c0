//! Why callers' connections are our own: hyper takes up a connection's second request when the
//! first is answered. When this test fails, the reason that docs/design/http.md gives is gone.

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

const WORK: Duration = Duration::from_millis(100);

#[tokio::test]
async fn hyper_runs_the_requests_of_a_pipeline_one_after_the_other() {
    let (mut caller, server) = tokio::io::duplex(65_536);
    let service = service_fn(|_: Request<Incoming>| async {
        sleep(WORK).await;
        Ok::<_, Infallible>(Response::new(Full::new(Bytes::from("done"))))
    });
    let mut builder = http1::Builder::new();
    builder.pipeline_flush(true);
    let serving = tokio::spawn(builder.serve_connection(TokioIo::new(server), service));
    let started = Instant::now();
    let request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let last = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let both = format!("{request}{last}");
    caller.write_all(both.as_bytes()).await.expect("written");
    let mut answers = String::new();
    let read = caller.read_to_string(&mut answers).await;
    read.expect("both answers");
    assert_eq!(answers.matches("done").count(), 2, "{answers}");
    assert!(started.elapsed() >= WORK * 2, "{:?}", started.elapsed());
    serving.await.expect("served").expect("no error");
}
