//! How rules and roster reach every daemon.
//!
//! A [`Feed`] does one daemon's part. Three daemons of each zone watch the platform; what they
//! read goes down a fan-out tree to the rest of the zone. Beats carry the digest of the roster and
//! the version of the rules, so that a daemon that the tree has missed finds out within seconds
//! and fetches what it lacks from a neighbour. Only one that hears nothing at all asks the
//! platform. How messages are carried is a closure ([`Carrier`]): links in a daemon ([`over`]),
//! memory in tests.
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
//! current.offer(Version::of(7), text)?;
//! assert!(current.offer(Version::of(8), "{ broken").is_err());
//! assert_eq!(current.get().map(|rules| rules.version), Some(Version::of(7)));
//! # Ok::<(), feed::Error>(())
//! ```

mod announce;
mod builder;
mod carry;
mod count;
mod current;
mod era;
mod error;
mod fallback;
mod feed;
mod fetch;
mod job;
mod leave;
mod message;
mod note;
mod packed;
mod platform;
mod pulse;
mod relay;
mod repair;
mod rules;
mod stats;
mod sync;
mod watch;

pub use builder::{Builder, Pace};
pub use carry::{Carried, Carrier, over, peer};
pub use count::{Flow, MESSAGE, PACKET};
pub use current::{Current, Offer, Rules};
pub use error::Error;
pub use feed::{Dump, Feed};
pub use fetch::{Ask, Piece};
pub use message::{Answer, Kind, LOT, Message, News, Page, Push};
pub use packed::Packed;
pub use rules::SHORT;
pub use stats::Stats;
