//! Heads and bodies of HTTP/1.1 as bytes in and bytes out, on httparse.
//!
//! hyper answers the requests of one connection one after the other: a request that was sent behind
//! another starts only when that one has its whole answer. And its client gives up a connection on
//! which an answer comes that nobody asked for, together with the request that is under way there.
//! Callers that pipeline would wait a whole service time each, and a late extra answer would turn
//! a request that may not be repeated into a doubt. So the connections to callers and targets are
//! our own; what stands here is only their framing, without any I/O. See `docs/design/http.md`.
//!
//! ```
//! use bytes::BytesMut;
//! use http1::{Body, Piece, request};
//!
//! let mut bytes = BytesMut::from("POST /slips HTTP/1.1\r\nhost: desk\r\ncontent-length: 2\r\n\r\nok");
//! let head = request::parse(&mut bytes, 8_192)?.expect("the head is whole");
//! assert_eq!(head.parts.uri.path(), "/slips");
//! let mut body = Body::of(head.length);
//! assert_eq!(body.next(&mut bytes)?, Some(Piece::Data("ok".into())));
//! assert_eq!(body.next(&mut bytes)?, Some(Piece::End));
//! # Ok::<(), http1::Fault>(())
//! ```

mod body;
mod encoder;
mod fault;
mod length;
pub mod request;
pub mod response;

pub use body::{Body, Piece, chunk, last_chunk};
pub use encoder::Encoder;
pub use fault::Fault;
pub use length::Length;

/// Most header fields of one head.
const MAX_FIELDS: usize = 128;
