//! The HTTP adapter: ETag, If-Match, If-None-Match, and a long-poll watch.
//!
//! | call | request | answers |
//! |---|---|---|
//! | get | `GET /objects/KEY` | 200 with the value and `ETag: "17"`; 404 |
//! | put | `PUT /objects/KEY` with `If-Match: "17"` or `If-None-Match: *` | 200, 201 with `ETag`; 412 with the current `ETag` |
//! | delete | `DELETE /objects/KEY` with `If-Match` | 204; 404; 412 |
//! | list | `GET /objects?prefix=P` | 200 with [`text`] and the revision as `ETag` |
//! | watch | `GET /watch?prefix=P&since=R&wait_ms=W` | 200 with [`text`]; 410 when compacted |
//!
//! Each answer names the store's era in the header [`ERA`]. A version of an era above 0 is written
//! `"ERA.REVISION"`, and an object keeps that in which it was written.
//!
//! 429 and 503 say that nothing was done. Any other status counts as a garbled answer.

mod answer;
mod client;
mod peer;
pub mod text;

pub use answer::ERA;
pub use client::{Builder, Client};
pub use peer::{Failure, Peer};
