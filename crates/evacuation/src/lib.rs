//! Which availability zones are evacuated.
//!
//! An operator evacuates a zone by an object in the platform's store and ends the evacuation by
//! deleting it. A [`Table`] holds the newest [`Record`] of each zone. Records are merged by version,
//! so daemons agree whatever the order in which records arrive, and an ended evacuation never comes
//! back. The crate does no I/O.
//!
//! ```
//! use evacuation::{Record, Table};
//! use unit::Version;
//!
//! let mut table = Table::default();
//! let zone: unit::Zone = "longbien".parse()?;
//! let begun = Record { zone: zone.clone(), version: Version::of(7), evacuated: true };
//! assert!(table.merge(&begun));
//! assert!(table.is_evacuated(&zone));
//!
//! // A listing at revision 9 that lacks the zone ends the evacuation.
//! let ended = table.apply_listing(&[], Version::of(9));
//! assert_eq!(ended.len(), 1);
//! assert!(!table.merge(&begun), "an old record changes nothing");
//! assert!(!table.is_evacuated(&zone));
//! # Ok::<(), unit::Error>(())
//! ```

mod record;
mod shared;
mod table;

pub use record::Record;
pub use shared::{Shared, Zones};
pub use table::{MAX_ZONES, Table};
