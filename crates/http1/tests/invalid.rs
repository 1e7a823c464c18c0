//! Answers and trailers that the standard doesn't allow.

use bytes::BytesMut;
use http::Method;
use http1::{Body, Length, Piece, response};

fn status_is_read(status: &str) -> bool {
    let head = format!("HTTP/1.1 {status} Any\r\ncontent-length: 0\r\n\r\n");
    let read = response::parse(&mut BytesMut::from(head.as_str()), &Method::GET);
    matches!(read, Ok(Some(_)))
}

/// Whether a body in chunks that ends with these trailers is complete.
fn ends_with(trailers: &[u8]) -> bool {
    let mut bytes = BytesMut::from(&b"2\r\nok\r\n0\r\n"[..]);
    bytes.extend_from_slice(trailers);
    bytes.extend_from_slice(b"\r\n");
    let mut body = Body::of(Length::Chunked);
    loop {
        match body.next(&mut bytes) {
            Ok(Some(Piece::Data(_))) => {}
            Ok(Some(Piece::End)) => return true,
            Ok(None) | Err(_) => return false,
        }
    }
}

/// Guards against answers with a status that is none, which callers would get as it is.
#[test]
fn statuses_outside_the_standard_are_refused() {
    for status in ["000", "099", "20", "2000", "600", "999", "-20", "2x0"] {
        assert!(!status_is_read(status), "{status}");
    }
    for status in ["200", "418", "599"] {
        assert!(status_is_read(status), "{status}");
    }
}

/// Guards against bodies that end as complete behind lines that are no trailers.
#[test]
fn trailers_that_are_no_fields_end_no_body() {
    let malformed: [&[u8]; 8] = [
        b"na me: v\r\n",
        b"name : v\r\n",
        b": v\r\n",
        b"no colon\r\n",
        b"na\x01me: v\r\n",
        b"na\x00me: v\r\n",
        b"name: v\x00\r\n",
        b"name: v\r\n folded\r\n",
    ];
    for trailers in malformed {
        assert!(!ends_with(trailers), "{}", trailers.escape_ascii());
    }
    for trailers in [&b""[..], b"name: v\r\n", b"name:\r\nother: \tv w\r\n"] {
        assert!(ends_with(trailers), "{}", trailers.escape_ascii());
    }
}
