//! A port on loopback, and what its callers read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clients::Table;
use entry::{Body, ConnectionLimits, Handler, Port};
use futures_util::FutureExt;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use unit::Size;

/// Maximum time to wait for an answer or a change of state.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(5);

pub fn limits() -> ConnectionLimits {
    ConnectionLimits {
        head: Size::of(4_096),
        head_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_secs(60),
    }
}

/// Room for the clients of one test.
pub fn clients() -> Table {
    Table::new(clients::Limits {
        memory: Size::of(64_000_000),
        connections: 16,
    })
}

/// Serves `handler` on a port of the loopback interface until the test's runtime stops.
pub async fn serve(handler: Handler) -> (SocketAddr, CancellationToken) {
    serve_with(handler, limits()).await
}

/// The same with other limits.
pub async fn serve_with(
    handler: Handler,
    limits: ConnectionLimits,
) -> (SocketAddr, CancellationToken) {
    serve_for(handler, limits, clients()).await
}

/// The same with a table of its own.
pub async fn serve_for(
    handler: Handler,
    limits: ConnectionLimits,
    clients: Table,
) -> (SocketAddr, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = CancellationToken::new();
    let port = Port {
        handler,
        limits: Arc::new(move || limits),
        clients,
        stop: stop.clone(),
    };
    tokio::spawn(port.serve(listener));
    (address, stop)
}

pub fn text_response(text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    Response::new(body.boxed_unsync())
}

/// Answers with the request's path: `/slow` after a delay, all others immediately.
pub fn echo_path() -> Handler {
    Arc::new(|_, request: Request<Body>| {
        async move {
            let path = request.uri().path().to_string();
            if path == "/slow" {
                sleep(Duration::from_millis(300)).await;
            }
            text_response(path)
        }
        .boxed()
    })
}

/// Reads until the answers contain `wanted`, and returns all that was read.
pub async fn read_until(stream: &mut TcpStream, wanted: &str) -> String {
    let mut all = Vec::new();
    let read = async {
        let mut buffer = [0; 1_024];
        while !String::from_utf8_lossy(&all).contains(wanted) {
            let count = stream.read(&mut buffer).await.expect("bytes");
            assert!(
                count > 0,
                "the connection ended: {}",
                String::from_utf8_lossy(&all)
            );
            all.extend_from_slice(&buffer[..count]);
        }
    };
    timeout(TEST_TIMEOUT, read)
        .await
        .expect("the answer arrives in time");
    String::from_utf8_lossy(&all).into_owned()
}
