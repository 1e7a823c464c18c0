//! A small stand-in for the platform's object API, with faults that can be switched on.
//!
//! It is for tests, benches and the quickstart only: objects live in memory. A [`Platform`] is
//! reached through memory ([`Platform::store`]) or over HTTP ([`serve`]); both pass the same
//! faults. Each client has a name, and its own [`Fault`] beside that of the whole platform.
//!
//! ```
//! use bytes::Bytes;
//! use standin::Platform;
//! use store::Condition;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), store::Error> {
//! let platform = Platform::builder().open();
//! let store = platform.store_named("daemon-3");
//! platform.fault_of("daemon-3").lose_next(1);
//! let lost = store.put("a", Bytes::from("1"), Condition::Absent).await;
//! assert!(lost.is_err_and(|error| error.may_have_written()));
//! assert!(store.get("a").await?.is_some());
//! # Ok(())
//! # }
//! ```

mod fault;
mod link;
mod memory;
mod platform;
mod server;

pub use fault::{Away, Fault};
pub use platform::{Builder, Platform, Snapshot};
pub use server::{Handle, serve};
