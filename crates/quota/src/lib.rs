//! Quotas of workspaces over a fleet, as decisions without I/O.
//!
//! A token is the right to admit one request in each sliding window. A [`Lender`] is the allocator of
//! some workspaces and lends their tokens for a limited time; a [`Borrower`] is the side of one daemon
//! that spends them. The [`List`] in the store names the allocators, and a [`Review`] decides when it
//! has to be written again. Moments are of a clock that counts the time for which the machine was
//! suspended ([`Moment`]), and never leave their process.
//!
//! ```
//! use std::time::Duration;
//!
//! use quota::Setting;
//! use unit::Rate;
//! use workspace::Quota;
//!
//! let setting = Setting { window: Duration::from_secs(5), overage: 0.1, slack: 20 };
//! let limit = setting.limit(&Quota { rate: Rate::of(174.0), burst: 174 });
//! assert_eq!(limit, 1_044);
//! // With a fleet of at most 120 daemons, each has two tokens of its own.
//! assert_eq!(setting.share(limit, 120), 2);
//! assert_eq!(setting.lendable(limit, 120), 804);
//! ```

mod borrower;
mod contact;
mod demand;
mod fill;
mod lender;
mod list;
mod message;
mod moment;
mod pacer;
mod pool;
mod purse;
mod review;
mod setting;

pub use borrower::{Borrower, Take};
pub use fill::fill;
pub use lender::Lender;
pub use list::{List, Member};
pub use message::{Age, Answer, Ask, Holding, Item, Pace, Record, Reply, Transfer};
pub use moment::Moment;
pub use purse::Usage;
pub use review::{Daemon, Review, View};
pub use setting::{ALLOCATOR_TIMEOUT, AUTHORITY, LEASE, RENEWAL, Setting};
