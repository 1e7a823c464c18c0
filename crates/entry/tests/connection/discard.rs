//! Bodies that pause in their framing, and bodies that nobody wants.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use entry::{Body, ConnectionLimits, Handler};
use futures_util::FutureExt;
use http::Request;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::world::{TEST_TIMEOUT, limits, read_until, serve, serve_with, text_response};

const CHUNKED: &[u8] = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The framing of a body in chunks.
const BODY: &[u8] = b"5;x=y\r\nhello\r\n3\r\nabc\r\n0\r\nTrailer: t\r\n\r\n";

/// Limits under which no pause of a test is too long.
fn patient() -> ConnectionLimits {
    ConnectionLimits {
        head_timeout: TEST_TIMEOUT * 2,
        ..limits()
    }
}

/// Answers each request without reading its body.
fn refuse() -> Handler {
    Arc::new(|_, request: Request<Body>| {
        drop(request);
        async { text_response("refused".to_string()) }.boxed()
    })
}

/// Answers each request once its body has ended.
fn collect() -> Handler {
    Arc::new(|_, request: Request<Body>| {
        async {
            let body = request.into_body().collect().await;
            let size = body.map_or(0, |body| body.to_bytes().len());
            text_response(format!("got {size}"))
        }
        .boxed()
    })
}

/// Runs `scenario` on one thread, and fails if a loop that makes no progress keeps it from finishing.
fn finish(name: &str, scenario: impl Future<Output = ()> + Send + 'static) {
    let (done, finished) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(scenario);
        let _ = done.send(());
    });
    let ended = finished.recv_timeout(TEST_TIMEOUT);
    assert!(ended.is_ok(), "{name}: {ended:?}");
}

/// Guards against an instance that stands still: a client pauses in the framing of a body that nobody
/// reads any more.
#[test]
fn pauses_in_refused_bodies_stop_nobody() {
    for count in 0..BODY.len() {
        finish(&format!("pause behind {count} bytes"), async move {
            let (address, _stop) = serve_with(refuse(), patient()).await;
            let mut stream = TcpStream::connect(address).await.expect("connected");
            stream.write_all(CHUNKED).await.expect("sent");
            stream.write_all(&BODY[..count]).await.expect("sent");
            read_until(&mut stream, "refused").await;
            sleep(Duration::from_millis(20)).await;
            let mut other = TcpStream::connect(address).await.expect("connected");
            let request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
            other.write_all(request).await.expect("sent");
            read_until(&mut other, "refused").await;
            stream.write_all(&BODY[count..]).await.expect("sent");
            stream.write_all(request).await.expect("sent");
            read_until(&mut stream, "refused").await;
        });
    }
}

/// Guards against a processor that is busy for as long as a client pauses in the framing of a body that
/// is being read.
#[test]
fn pauses_in_served_bodies_cost_no_work() {
    for count in 0..BODY.len() {
        finish(&format!("pause behind {count} bytes"), async move {
            let (address, _stop) = serve(collect()).await;
            let mut stream = TcpStream::connect(address).await.expect("connected");
            stream.write_all(CHUNKED).await.expect("sent");
            stream.write_all(&BODY[..count]).await.expect("sent");
            // On a paused clock time passes only while no task is ready.
            tokio::time::pause();
            sleep(Duration::from_secs(1)).await;
            tokio::time::resume();
            stream.write_all(&BODY[count..]).await.expect("sent");
            read_until(&mut stream, "got 8").await;
        });
    }
}

/// Guards against a client that keeps its connection busy with a body that was refused: slowly, and at
/// full speed.
#[tokio::test]
async fn refused_bodies_without_end_end_their_connection() {
    for (size, pause) in [(1, 10), (64 << 10, 0)] {
        let (address, _stop) = serve(refuse()).await;
        let mut stream = TcpStream::connect(address).await.expect("connected");
        stream.write_all(CHUNKED).await.expect("sent");
        let (mut reader, mut writer) = stream.split();
        let chunk = [
            format!("{size:x}\r\n").as_bytes(),
            &vec![b'a'; size],
            b"\r\n",
        ]
        .concat();
        let sent = async {
            while writer.write_all(&chunk).await.is_ok() {
                sleep(Duration::from_millis(pause)).await;
            }
        };
        let read = async {
            let mut answer = Vec::new();
            // The connection may be reset once the answer has arrived.
            while reader
                .read_buf(&mut answer)
                .await
                .is_ok_and(|count| count > 0)
            {}
            String::from_utf8_lossy(&answer).into_owned()
        };
        let ended = timeout(TEST_TIMEOUT, async { tokio::join!(sent, read) }).await;
        let (_, answer) = ended.expect("the connection ends in time");
        assert!(answer.ends_with("refused"), "{answer}");
    }
}
