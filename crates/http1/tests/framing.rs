//! Heads and bodies, in pieces of any size, and what must be refused.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use http1::{Body, Fault, Length, Piece, request, response};
use proptest::prelude::*;

const MOST: usize = 1_024;

fn head(text: &str) -> Result<Option<request::Head>, Fault> {
    request::parse(&mut BytesMut::from(text), MOST)
}

fn read(body: &mut Body, bytes: &mut BytesMut) -> Result<Vec<u8>, Fault> {
    let mut all = Vec::new();
    while let Some(Piece::Data(data)) = body.next(bytes)? {
        all.extend_from_slice(&data);
    }
    Ok(all)
}

#[test]
fn target_stays_as_sent() {
    let head = head("GET /a//b%2Fc?x=%20&&y HTTP/1.1\r\nHost: h\r\n\r\n");
    let head = head.expect("a head").expect("a whole one");
    let target = head.parts.uri.path_and_query().expect("a target");
    assert_eq!(target.as_str(), "/a//b%2Fc?x=%20&&y");
    assert!(head.keep);
}

/// Two parties that read a length in different ways would see different requests: a part of this
/// body is then taken for a request that nobody sent. So whatever is open to doubt is refused.
#[test]
fn doubtful_lengths_are_refused() {
    let doubtful = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: \r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ];
    for fields in doubtful {
        let found = head(&format!("POST / HTTP/1.1\r\nHost: h\r\n{fields}\r\n"));
        assert!(
            matches!(found, Err(Fault::Length(_))),
            "{fields}: {found:?}"
        );
    }
}

#[test]
fn malformed_heads_are_refused() {
    let malformed = [
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
        "G\0T / HTTP/1.1\r\nHost: a\r\n\r\n",
        "\u{16}\u{3}\u{1} hello\r\n\r\n",
    ];
    for text in malformed {
        assert!(matches!(head(text), Err(Fault::Head(_))), "{text:?}");
    }
}

#[test]
fn long_heads_are_refused_before_their_end() {
    let long = format!("GET / HTTP/1.1\r\nHost: h\r\nX: {}", "x".repeat(MOST));
    assert!(matches!(head(&long), Err(Fault::LongHead(MOST))));
}

#[test]
fn chunks_are_checked() {
    let mut body = Body::of(Length::Chunked);
    let mut bytes = BytesMut::from("3\r\nabc\r\n0\r\nx-trailer: 1\r\n\r\nGET ");
    assert_eq!(read(&mut body, &mut bytes).as_deref(), Ok(&b"abc"[..]));
    assert!(body.is_done());
    assert_eq!(&bytes[..], b"GET ", "the next request stays");
    let mut body = Body::of(Length::Chunked);
    let mut bytes = BytesMut::from("3\r\nabcd\r\n0\r\n\r\n");
    assert!(matches!(read(&mut body, &mut bytes), Err(Fault::Chunk(_))));
}

/// A body that ends too soon must never look complete, or a shorter answer is taken for the whole.
#[test]
fn cut_bodies_are_told() {
    for length in [Length::Sized(5), Length::Chunked] {
        let mut body = Body::of(length);
        let mut bytes = BytesMut::from("3\r\na");
        read(&mut body, &mut bytes).expect("a part");
        assert_eq!(body.finish(), Err(Fault::Cut));
    }
    let mut open = Body::of(Length::Close);
    read(&mut open, &mut BytesMut::from("abc")).expect("all");
    assert_eq!(open.finish(), Ok(()));
}

#[test]
fn answers_without_body_take_none() {
    let mut bytes = BytesMut::from("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    let head = response::parse(&mut bytes, &Method::GET);
    let head = head.expect("a head").expect("a whole one");
    assert_eq!(
        (head.status, head.length),
        (StatusCode::NO_CONTENT, Length::Empty)
    );
    let mut bytes = BytesMut::from("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n");
    let head = response::parse(&mut bytes, &Method::HEAD);
    assert_eq!(head.expect("a head").expect("whole").length, Length::Empty);
}

#[test]
fn open_answers_close() {
    let mut bytes = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nabc");
    let head = response::parse(&mut bytes, &Method::GET);
    let head = head.expect("a head").expect("a whole one");
    assert_eq!((head.length, head.keep), (Length::Close, false));
}

proptest! {
    /// However a connection cuts a message into pieces, the body that is read is the one written.
    #[test]
    fn pieces_make_the_body(data in prop::collection::vec(any::<u8>(), 1..300), cut in 1usize..40) {
        let mut wire = BytesMut::new();
        for part in data.chunks(37) {
            http1::chunk(part, &mut wire);
        }
        http1::last_chunk(&mut wire);
        let mut body = Body::of(Length::Chunked);
        let mut bytes = BytesMut::new();
        let mut found = Vec::new();
        for piece in wire.chunks(cut) {
            bytes.extend_from_slice(piece);
            found.extend(read(&mut body, &mut bytes)?);
        }
        prop_assert!(body.is_done());
        prop_assert_eq!(found, data);
    }

    /// Bytes of any kind give an answer and no panic.
    #[test]
    fn garbage_is_no_panic(data in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut bytes = BytesMut::from(&data[..]);
        let _ = request::parse(&mut bytes, MOST);
        let mut bytes = BytesMut::from(&data[..]);
        let _ = response::parse(&mut bytes, &Method::GET);
        let _ = Body::of(Length::Chunked).next(&mut BytesMut::from(&data[..]));
    }
}

#[test]
fn heads_are_written_as_they_are_read() {
    let mut headers = HeaderMap::new();
    headers.insert("host", "desk".parse().expect("a value"));
    let mut out = BytesMut::new();
    request::write(&Method::POST, "/a?b", &headers, Length::Sized(3), &mut out);
    out.extend_from_slice(b"abc");
    let head = request::parse(&mut out, MOST)
        .expect("a head")
        .expect("whole");
    assert_eq!(head.length, Length::Sized(3));
    assert_eq!(out.freeze(), Bytes::from_static(b"abc"));
    let mut out = BytesMut::new();
    response::write(
        StatusCode::OK,
        &HeaderMap::new(),
        Length::Empty,
        &Method::GET,
        &mut out,
    );
    let head = response::parse(&mut out, &Method::GET)
        .expect("a head")
        .expect("whole");
    assert_eq!((head.length, head.keep), (Length::Empty, true));
}
