//! What the clients of one process make it hold, bounded in sum.
//!
//! A bound on each connection doesn't bound a process: its clients choose how many connections they
//! open. A [`Table`] counts what all of them hold, in buffers of this process and of its sockets, in
//! requests that are under way and in answers that wait to be read. Two marks bound the sum:
//!
//! - Above the high-water mark, half of the limit, [`Client::has_share`] tells a connection with more
//!   than an equal share to begin nothing further (backpressure).
//! - Above the limit, new requests are refused, and connections that wait for their clients are closed,
//!   first the one that holds most (load shedding).
//!
//! Connections are bounded too. When all are taken, the one that has waited longest for its client
//! makes room for the next one.
//!
//! ```
//! use clients::{Limits, Table, Wait};
//! use unit::Size;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let table = Table::new(Limits {
//!     memory: Size::of(100_000),
//!     connections: 2,
//! });
//! let careless = table.connect().await.expect("room");
//! let answers = careless.try_hold(90_000).expect("room");
//! careless.update(10_000, Wait::Output);
//!
//! // The client that leaves its answers unread pays for the next one.
//! let other = table.connect().await.expect("room");
//! assert!(other.try_hold(20_000).is_some());
//! careless.closed().await;
//! # drop(answers);
//! # }
//! ```

mod core;
mod table;

pub use crate::core::{Core, Id, Limits, Wait};
pub use crate::table::{Client, Count, Hold, Table};
