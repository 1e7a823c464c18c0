//! Answers that come over slow links.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use store::http::{Failure, Peer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

const PIECE: usize = 10_000;
const GAP: Duration = Duration::from_millis(500);
const LIMIT: Duration = Duration::from_secs(2);

/// A server that promises ten pieces, and sends `pieces` of them with gaps between them.
async fn server(pieces: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        let mut head = [0; 1_024];
        let read = stream.read(&mut head).await.expect("reads");
        assert!(read > 0);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 10 * PIECE);
        stream.write_all(head.as_bytes()).await.expect("writes");
        for _ in 0..pieces {
            sleep(GAP).await;
            stream.write_all(&[7; PIECE]).await.expect("writes");
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn get(address: SocketAddr) -> Result<Bytes, Failure> {
    let peer = Peer::new(address, LIMIT, LIMIT);
    let request = Request::get(format!("http://{address}/objects/config/main"));
    let request = request.body(Full::default()).expect("a request");
    Ok(peer.send(request, LIMIT).await?.into_body())
}

/// Guards against large objects that are given up over links on which they take longer than a call may.
#[tokio::test]
async fn an_answer_that_still_comes_is_not_given_up() {
    let body = get(server(10).await).await.expect("comes whole");
    assert_eq!(body.len(), 10 * PIECE);
}

/// Guards against calls that wait for ever for the rest of an answer.
#[tokio::test]
async fn an_answer_that_stops_coming_is_given_up() {
    let began = Instant::now();
    let failure = get(server(2).await).await.expect_err("stops");
    assert!(matches!(failure, Failure::Cut(_)), "{failure:?}");
    assert!(began.elapsed() >= 2 * GAP, "{:?}", began.elapsed());
}
