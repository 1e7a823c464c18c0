//! The platform's object API: a plain struct of closures, its HTTP adapter, and the call budget.
//!
//! A [`Store`] holds objects under text keys. Each write is conditional on the object's
//! [`Version`](unit::Version), and one revision counter rises over all keys. The closures behind a
//! store may speak HTTP ([`http::Client`]), or may be a memory stand-in in tests.
//!
//! A failed write says whether it may have taken effect ([`Error::may_have_written`]). No part of
//! this crate repeats a write that may have been written: only the caller can tell, by reading
//! back, whether it was.
//!
//! ```
//! use bytes::Bytes;
//! use store::{Condition, Store};
//!
//! # async fn example(store: Store) -> Result<(), store::Error> {
//! let first = store.put("rules/one", Bytes::from("a"), Condition::Absent).await?;
//! store.put("rules/one", Bytes::from("b"), Condition::Match(first)).await?;
//! let stale = store.put("rules/one", Bytes::from("c"), Condition::Match(first)).await;
//! assert!(stale.is_err_and(|error| error.is_conflict()));
//! # Ok(())
//! # }
//! ```

mod api;
mod backoff;
mod bucket;
mod era;
mod error;
pub mod http;
mod meter;
mod object;

pub use api::{Boxed, Calls, Store};
pub use backoff::Backoff;
pub use bucket::Bucket;
pub use era::{Eras, Sent};
pub use error::{Error, Kind, Step};
pub use meter::{Count, Meter};
pub use object::{
    Change, Condition, Consistency, Deletion, Listing, MAX_KEY, MAX_VALUE, Object, check_key,
};
