//! Distributes rules, roster and evacuations to every daemon.
//!
//! A [`Feed`] is the part of one daemon. Three daemons of each zone watch the platform and relay
//! what they read down a fan-out tree to the rest of the zone. Heartbeats carry the digest of the
//! roster and the version of the rules, so that a daemon that the tree has missed detects this
//! within seconds and fetches what it lacks from a neighbour. Only a daemon that receives nothing
//! at all reads from the platform. Messages are carried by a closure ([`Carrier`]): over links in a
//! daemon ([`over`]), in memory in tests.
//!
//! [`Current`] holds the rules in force. Their version never decreases, and a document that does
//! not parse never replaces one that does.
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
mod carrier;
mod confirm;
mod count;
mod current;
mod era;
mod error;
mod evacuations;
mod fallback;
mod feed;
mod fetch;
mod heartbeat;
mod job;
mod leave;
mod message;
mod note;
mod packed;
mod platform;
mod relay;
mod repair;
mod rules;
mod rules_watch;
mod stats;
mod sync;
mod watch;

pub use builder::{Builder, Pace};
pub use carrier::{Carrier, CarrierFuture, over, peer};
pub use confirm::{Confirm, Confirmations, Confirmed, Unconfirmed};
pub use count::{Flow, MESSAGE_OVERHEAD, PACKET_OVERHEAD};
pub use current::{Current, Offer, Rejected, Rules, UNREADABLE};
pub use error::Error;
pub use feed::{Dump, Feed, RejectedState};
pub use fetch::{Ask, Piece};
pub use message::{Answer, Kind, MAX_RECORDS, Message, Page, Push, Update};
pub use packed::Packed;
pub use rules::MAX_PUSHED_BYTES;
pub use stats::Stats;
pub use watch::FLEET_KNOWN;
