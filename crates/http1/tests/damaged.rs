//! Heads with damage of any kind, and heads that come in pieces.

use bytes::BytesMut;
use http::Method;
use http1::{request, response};
use proptest::prelude::*;
use proptest::test_runner::Config;

const MOST: usize = 1_024;

const REQUESTS: [&str; 4] = [
    "GET /a//b%2Fc?x=%20&&y HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nIdempotency-Key: k\r\n\r\n",
    "PUT /big HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
    "GET / HTTP/1.0\r\n\r\n",
];
const ANSWERS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.0 404 Not Found\r\n\r\n",
];

fn config() -> Config {
    let set = Config::default();
    Config {
        cases: set.cases.max(2_000),
        failure_persistence: None,
        ..set
    }
}

/// One of `heads` with some bytes replaced.
fn damaged(heads: &'static [&'static str]) -> impl Strategy<Value = Vec<u8>> {
    let change = (any::<prop::sample::Index>(), any::<u8>());
    let changes = proptest::collection::vec(change, 0..4);
    (proptest::sample::select(heads), changes).prop_map(|(head, changes)| {
        let mut bytes = head.as_bytes().to_vec();
        for (place, byte) in changes {
            let place = place.index(bytes.len());
            bytes[place] = byte;
        }
        bytes
    })
}

/// What a reader that gets `bytes` in two pieces makes of them; `None` while it wants more.
fn in_pieces<T, E>(
    bytes: &[u8],
    at: usize,
    parse: impl Fn(&mut BytesMut) -> Result<Option<T>, E>,
) -> (Result<Option<T>, E>, usize) {
    let mut read = BytesMut::from(&bytes[..at]);
    let first = parse(&mut read);
    if !matches!(first, Ok(None)) {
        // The rest may only add to what is left over.
        return (first, read.len() + bytes.len() - at);
    }
    read.extend_from_slice(&bytes[at..]);
    let whole = parse(&mut read);
    (whole, read.len())
}

proptest! {
    #![proptest_config(config())]

    /// A request that comes in two pieces is the one that comes at once, or is refused as it is.
    #[test]
    fn requests_in_pieces_are_read_alike(
        bytes in damaged(&REQUESTS), at in any::<prop::sample::Index>(),
    ) {
        let parse = |bytes: &mut BytesMut| request::parse(bytes, MOST);
        let (whole, left) = in_pieces(&bytes, 0, parse);
        let (pieces, left_of_pieces) = in_pieces(&bytes, at.index(bytes.len()), parse);
        match (whole, pieces) {
            (Ok(Some(whole)), Ok(Some(pieces))) => {
                prop_assert_eq!(whole.parts.method, pieces.parts.method);
                prop_assert_eq!(whole.parts.uri, pieces.parts.uri);
                prop_assert_eq!(whole.parts.headers, pieces.parts.headers);
                prop_assert_eq!((whole.length, whole.keep), (pieces.length, pieces.keep));
                prop_assert_eq!(left, left_of_pieces);
            }
            (Ok(None), Ok(None)) | (Err(_), Err(_)) => {}
            (whole, pieces) => prop_assert!(false, "whole {:?}, in pieces {:?}", whole, pieces),
        }
    }

    #[test]
    fn answers_in_pieces_are_read_alike(
        bytes in damaged(&ANSWERS), at in any::<prop::sample::Index>(),
    ) {
        let parse = |bytes: &mut BytesMut| response::parse(bytes, &Method::GET);
        let (whole, left) = in_pieces(&bytes, 0, parse);
        let (pieces, left_of_pieces) = in_pieces(&bytes, at.index(bytes.len()), parse);
        prop_assert_eq!(whole.is_err(), pieces.is_err());
        if let (Ok(whole), Ok(pieces)) = (whole, pieces) {
            prop_assert_eq!(&whole, &pieces);
            prop_assert_eq!(whole.map(|_| left), pieces.map(|_| left_of_pieces));
        }
    }
}
