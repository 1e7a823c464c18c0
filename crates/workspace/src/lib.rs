//! Workspaces: the customers of a deployment, with their keys, priorities and quotas.
//!
//! A [`Directory`] finds the workspace that a presented [`Key`] belongs to. It holds no key, only
//! the HMAC-SHA256 of each key under a [`Salt`].
//!
//! ```
//! use std::time::Duration;
//!
//! use unit::Rate;
//! use workspace::{Directory, Key, Quota, Salt, Workspace};
//!
//! let salt = Salt::of(b"the configuration");
//! let key = Key::new(b"k-174").expect("a key has at least one byte");
//! let quota = Quota { rate: Rate::of(174.0), burst: 174 };
//! assert_eq!(quota.limit(Duration::from_secs(5)), 1_044);
//!
//! let mut directory = Directory::new(salt);
//! let mut workspace = Workspace::named("pulo780".parse()?);
//! workspace.quota = Some(quota);
//! assert!(directory.add(workspace, &[salt.digest(&key)]).is_ok());
//! let found = directory.find(&key).map(|workspace| workspace.name.to_string());
//! assert_eq!(found.as_deref(), Some("pulo780"));
//! assert_eq!(format!("{key:?}"), "Key(hidden)");
//! # Ok::<(), unit::Error>(())
//! ```

mod directory;
mod key;
mod quota;

pub use directory::{Directory, Taken, Workspace};
pub use key::{Error, Key, KeyDigest, Salt};
pub use quota::Quota;
