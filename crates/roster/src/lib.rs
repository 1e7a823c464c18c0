//! The membership of the mesh: which instances exist, which are live or leaving, and who observes
//! whom.
//!
//! This crate makes decisions and does no I/O: it takes messages, the time and a seed, and returns
//! what to do. A [`Record`] announces where one instance is and in which [`State`]. Records merge
//! by a join, so daemons may receive them in any order and any number of times. A [`Roster`] holds
//! one record for each instance, and what this daemon alone knows: from whom it has received
//! something lately, and who has voted that an instance is silent. [`Shared`] puts a roster behind
//! locks and gives the threads that handle calls a snapshot to read.
//!
//! ```
//! use roster::{Merge, Policy, Record, Roster, State};
//! use tokio::time::Instant;
//! use unit::{Fingerprint, Incarnation};
//!
//! let record = |name: &str, port: u16| -> Result<Record, unit::Error> {
//!     Ok(Record {
//!         instance: name.parse()?,
//!         incarnation: Incarnation(1),
//!         state: State::Live,
//!         zone: "longbien".parse()?,
//!         region: "hanoi".to_string(),
//!         service: "vault-desk".parse()?,
//!         link: ([127, 0, 0, 1], port).into(),
//!         fingerprint: Fingerprint([0; 32]),
//!     })
//! };
//! let now = Instant::now();
//! let mut roster = Roster::new(now, record("desk-1", 7001)?, Policy::default(), 42);
//! let other = record("desk-2", 7002)?;
//! assert_eq!(roster.merge(now, other.clone()), Merge::New);
//! assert_eq!(roster.live(&other.service).len(), 2);
//!
//! // The other instance leaves: it stops being a target at once, without the platform.
//! let leaving = Record { state: State::Leaving, ..other.clone() };
//! assert_eq!(roster.merge(now, leaving), Merge::Changed);
//! assert_eq!(roster.live(&other.service).len(), 1);
//! # Ok::<(), unit::Error>(())
//! ```

mod ask;
mod dump;
mod entry;
pub mod heartbeat;
mod index;
mod listing;
mod observer;
mod own;
mod policy;
mod rank;
mod record;
mod review;
mod roster;
mod shared;
mod summary;
mod target;
mod tree;
mod vote;

pub use ask::Ask;
pub use dump::{Dump, Line};
pub use heartbeat::Beat;
pub use listing::Listing;
pub use policy::{Builder, Policy};
pub use record::{Merge, Record, State};
pub use review::Review;
pub use roster::Roster;
pub use shared::Shared;
pub use summary::{BUCKETS, Bucket, Exchange, Summary};
pub use target::Target;
pub use vote::{Finding, Verdict, Vote};
