//! Bodies whose framing never ends.

use bytes::BytesMut;
use http1::{Body, Fault, Length};

/// Bytes that are more than any bound on a part of the framing.
const MANY: usize = 1 << 20;

/// Reads a body in chunks that begins with `start` and goes on with `rest` until there is an error;
/// `None` if there is none.
fn read(start: &[u8], rest: &[u8]) -> Option<Fault> {
    let mut body = Body::of(Length::Chunked);
    let mut bytes = BytesMut::from(start);
    let mut sent = 0;
    while sent < MANY {
        loop {
            match body.next(&mut bytes) {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(fault) => return Some(fault),
            }
        }
        bytes.extend_from_slice(rest);
        sent += rest.len();
    }
    None
}

/// Guards against connections that are read for as long as their peer sends: in the size of a chunk, in
/// one trailer, and in ever more trailers.
#[test]
fn framing_without_end_is_an_error() {
    for (start, rest) in [
        ("", "1"),
        ("5;", "x"),
        ("2\r\nok\r\n0\r\n", "x"),
        ("2\r\nok\r\n0\r\n", "x-more: more\r\n"),
    ] {
        let fault = read(start.as_bytes(), rest.as_bytes());
        assert!(
            matches!(fault, Some(Fault::Chunk(_))),
            "{start:?} {rest:?}: {fault:?}"
        );
    }
}
