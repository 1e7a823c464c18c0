//! Answers that the standard doesn't allow.

use bytes::BytesMut;
use http::Method;
use http1::response;

fn status_is_read(status: &str) -> bool {
    let head = format!("HTTP/1.1 {status} Any\r\ncontent-length: 0\r\n\r\n");
    let read = response::parse(&mut BytesMut::from(head.as_str()), &Method::GET);
    matches!(read, Ok(Some(_)))
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
