//! Workspaces: the customers of a deployment, with their keys, priorities and quotas.
//!
//! ```
//! use std::time::Duration;
//!
//! use unit::Rate;
//! use workspace::Quota;
//!
//! let quota = Quota { rate: Rate::of(174.0), burst: 174 };
//! assert_eq!(quota.limit(Duration::from_secs(5)), 1_044);
//! ```

mod quota;

pub use quota::Quota;
