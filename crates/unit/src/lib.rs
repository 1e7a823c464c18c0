//! Ids, sizes, rates and the few enums that every part speaks.
//!
//! Each id is a newtype over text or a number, with [`Display`](std::fmt::Display) and
//! [`FromStr`](std::str::FromStr), so that an instance can't be passed where a zone is meant.
//!
//! ```
//! use unit::{Rate, Size, Urgency, Zone};
//!
//! let zone: Zone = "longbien".parse()?;
//! assert_eq!(zone.to_string(), "longbien");
//! assert_eq!("64MB".parse::<Size>()?.bytes(), 64_000_000);
//! assert_eq!("300/s".parse::<Rate>()?.per_second(), 300.0);
//! assert!(Urgency::Urgent < Urgency::Routine);
//! # Ok::<(), unit::Error>(())
//! ```

mod cause;
mod decimal;
mod error;
mod name;
mod number;
mod outcome;
mod report;
mod size;
mod span;
mod urgency;
mod version;

pub use cause::Cause;
pub use decimal::Decimal;
pub use error::Error;
pub use name::{Caller, Instance, Member, Region, Service, Workspace, Zone};
pub use number::{Depth, Digest, Fingerprint, Incarnation, Token};
pub use outcome::Outcome;
pub use report::Report;
pub use size::{Rate, Size};
pub use span::Span;
pub use urgency::Urgency;
pub use version::{Era, Version};
