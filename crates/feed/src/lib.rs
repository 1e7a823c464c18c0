//! How rules and roster reach every daemon.
//!
//! [`Current`] holds the rules in force: versions only rise, and a document that does not parse
//! never replaces one that does.
//!
//! ```
//! use feed::Current;
//! use unit::Version;
//!
//! let current = Current::default();
//! let text = r#"{ "rules": [{ "name": "all", "then": { "service": "desk" } }] }"#;
//! current.offer(Version(7), text)?;
//! assert!(current.offer(Version(8), "{ broken").is_err());
//! assert_eq!(current.get().map(|rules| rules.version), Some(Version(7)));
//! # Ok::<(), feed::Error>(())
//! ```

mod current;
mod error;
mod follow;

pub use current::{Current, Offer, Rules};
pub use error::Error;
pub use follow::{Follow, announce};
