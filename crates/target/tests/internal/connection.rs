//! Requests to a target whose bodies are shorter or longer than declared, and early answers.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use tokio::net::TcpListener;
use unit::Fingerprint;
use wire::{Dialer, Frame, Greeter, Greeting, Listener, Note, Peer, Receiver, Sender, Topic};

use super::*;

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const TEST_TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn greeter(name: &str) -> Greeter {
    let instance: unit::Instance = name.parse().expect("a name");
    Greeter {
        own: Arc::new(move || Greeting {
            instance: instance.clone(),
            fingerprint: Fingerprint([1; 32]),
            card: Vec::new(),
        }),
        heard: Arc::new(|_| ()),
        told: Arc::new(|_, _| ()),
    }
}

/// The entry's sender and the gate's receiver of one stream.
async fn stream() -> (Sender, Receiver) {
    let listener = Listener::plain((LOOPBACK, 0).into(), greeter("gate")).await;
    let listener = listener.expect("listens");
    let peer = Peer {
        instance: "gate".parse().expect("a name"),
        address: listener.address().expect("an address"),
        fingerprint: Fingerprint([1; 32]),
    };
    let accepted = tokio::spawn(async move {
        let handshake = listener.accept().await.expect("a peer");
        let link = handshake.finish().await.expect("a link");
        let mut stream = link.stream().await.expect("a stream");
        stream.receiver.recv().await.expect("the first frame");
        // The link lives as long as the test.
        tokio::spawn(async move {
            let _kept = (listener, link);
            std::future::pending::<()>().await;
        });
        stream.receiver
    });
    let dialer = Dialer::plain(greeter("entry"));
    let link = dialer.link(&peer).await.expect("a link");
    let mut sender = link.open().await.expect("a stream").sender;
    let first = Frame::Note(Note {
        topic: Topic::Load,
        payload: Bytes::new(),
    });
    sender.send(&first).await.expect("sent");
    tokio::spawn(async move {
        let _kept = (dialer, link);
        std::future::pending::<()>().await;
    });
    (sender, accepted.await.expect("a receiver"))
}

fn data(bytes: &'static [u8]) -> Frame {
    Frame::Data(Bytes::from_static(bytes))
}

/// A target that answers once it has read `after` bytes behind the head, and keeps its connection open;
/// returns a connection to it.
async fn connect(after: usize) -> Connection {
    let listener = TcpListener::bind((LOOPBACK, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut input = BytesMut::new();
        let end = |input: &[u8]| input.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        while end(&input).is_none_or(|end| input.len() < end + 4 + after) {
            stream.read_buf(&mut input).await.expect("bytes");
        }
        tokio::io::AsyncWriteExt::write_all(&mut stream, ANSWER)
            .await
            .expect("sent");
        std::future::pending::<()>().await;
    });
    Connection::open(address).await.expect("connected")
}

fn request(length: Option<usize>) -> Outgoing {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    if let Some(length) = length {
        headers.insert("content-length", HeaderValue::from(length));
    }
    Outgoing {
        method: Method::POST,
        uri: "/".to_string(),
        headers,
    }
}

/// Sends a request that declares `length`, and reads the answer.
async fn exchange(
    connection: &mut Connection,
    length: Option<usize>,
    content: Content,
) -> Result<(), Error> {
    let (request, dialect) = (request(length), Dialect::default());
    let exchanged = async {
        connection.send(&request, content, &dialect, || ()).await?;
        while connection.piece().await?.is_some() {}
        Ok(())
    };
    let exchanged = timeout(TEST_TIMEOUT, exchanged).await;
    exchanged.expect("an answer or an error in time")
}

/// A body of `frames`; without an end frame, the sender is dropped, which resets the stream.
async fn streamed(frames: &[Frame]) -> (Content, Option<Sender>) {
    let (mut sender, receiver) = stream().await;
    for frame in frames {
        sender.send(frame).await.expect("sent");
    }
    let ends = frames.last() == Some(&Frame::End);
    (Content::Streamed(receiver), ends.then_some(sender))
}

/// Guards against a target that takes the next request for the rest of a body, or the rest of a body for
/// a request: a body whose size is not the declared one must not end as complete.
#[tokio::test]
async fn bodies_of_another_size_than_declared_are_errors() {
    let piece = || data(b"hello");
    let cases: [&[Frame]; 5] = [
        &[Frame::End],
        &[piece(), Frame::End],
        &[piece(), piece(), piece(), Frame::End],
        &[],
        &[piece()],
    ];
    for frames in cases {
        let mut connection = connect(10).await;
        let (content, _sender) = streamed(frames).await;
        let sent = exchange(&mut connection, Some(10), content).await;
        assert!(matches!(sent, Err(Error::Body(_))), "{frames:?}: {sent:?}");
        assert!(!connection.is_reusable(), "{frames:?}");
    }
    let mut connection = connect(10).await;
    let (content, _sender) = streamed(&[piece(), piece(), Frame::End]).await;
    let sent = exchange(&mut connection, Some(10), content).await;
    assert!(sent.is_ok(), "{sent:?}");
    assert!(connection.is_reusable());
}

/// Guards against the same with a body in chunks, which is cut where its link ends without an end frame.
#[tokio::test]
async fn chunked_bodies_without_an_end_are_errors() {
    let mut connection = connect(1).await;
    let (content, _sender) = streamed(&[]).await;
    let sent = exchange(&mut connection, None, content).await;
    assert!(matches!(sent, Err(Error::Body(_))), "{sent:?}");
    assert!(!connection.is_reusable());
}

/// Guards against another request where the rest of a body is due, after an answer that came before the
/// complete body was sent.
#[tokio::test]
async fn connections_with_early_answers_are_not_reused() {
    for length in [Some(10), None] {
        let mut connection = connect(0).await;
        let (mut sender, receiver) = stream().await;
        sender.send(&data(b"hello")).await.expect("sent");
        let content = Content::Streamed(receiver);
        let sent = exchange(&mut connection, length, content).await;
        assert!(sent.is_ok(), "{sent:?}");
        assert!(!connection.is_reusable(), "{length:?}");
    }
}

/// Guards against a complete body in memory that is sent as complete although more was declared.
#[tokio::test]
async fn complete_bodies_of_another_size_are_errors() {
    for content in [
        Content::Empty,
        Content::Complete(Bytes::from_static(b"hello")),
    ] {
        let mut connection = connect(0).await;
        let sent = exchange(&mut connection, Some(10), content).await;
        assert!(matches!(sent, Err(Error::Body(_))), "{sent:?}");
        assert!(!connection.is_reusable());
    }
}

/// A target that reads the start of a request, sends `answer` and resets the connection; returns a
/// connection to it, and a future that resolves once the reset has been sent.
async fn connect_to_reset(answer: &'static [u8]) -> (Connection, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind((LOOPBACK, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let reset = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.read_u8().await.expect("the start of a request");
        tokio::io::AsyncWriteExt::write_all(&mut stream, answer)
            .await
            .expect("sent");
        stream.set_zero_linger().expect("a reset at the close");
    });
    let connection = Connection::open(address).await.expect("connected");
    (connection, reset)
}

/// Guards against a part of an answer that looks complete: the reset behind it is reported only once, to
/// the write of the request, and the body has no other end than that of its connection.
#[tokio::test]
async fn answers_cut_by_a_reset_during_an_upload_are_errors() {
    const UPLOAD: usize = 8 << 20;
    const PART: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nsome bytes";
    const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for _ in 0..40 {
        for (answer, is_whole) in [(PART, false), (WHOLE, true)] {
            let (mut connection, reset) = connect_to_reset(answer).await;
            let content = Content::Complete(Bytes::from(vec![0; UPLOAD]));
            let (request, dialect) = (request(Some(UPLOAD)), Dialect::default());
            let mut sending = Box::pin(connection.send(&request, content, &dialect, || ()));
            // The request fills the way to the target, and the reset comes before the next write.
            let poll = futures_util::poll!(sending.as_mut());
            assert!(poll.is_pending(), "{poll:?}");
            reset.await.expect("the target ends");
            let head = timeout(TEST_TIMEOUT, sending).await.expect("in time");
            if head.is_err() {
                continue;
            }
            let ended = loop {
                match timeout(TEST_TIMEOUT, connection.piece())
                    .await
                    .expect("in time")
                {
                    Ok(Some(_)) => {}
                    ended => break ended,
                }
            };
            assert!(is_whole || ended.is_err(), "a part ends as {ended:?}");
            assert!(!connection.is_reusable());
        }
    }
}
