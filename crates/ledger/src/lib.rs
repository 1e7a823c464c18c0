//! At-most-once claims for non-idempotent requests, batched into conditional writes.
//!
//! A non-idempotent request is claimed by its key before it runs. The ledger distributes keys over
//! shards. Each shard has one head object in the platform's store; claims that arrive while a write
//! is in flight are batched into the next write. A claim is granted only after the store has
//! confirmed its write.
//!
//! Heads are not protected by leases. Each write of a head is conditional on the version that its
//! writer has read, so that of two concurrent owners only one succeeds. The other one reloads the
//! head before it answers.
//!
//! Large heads are sealed into segments. The owner keeps eight bytes per key of them in memory.
//!
//! ```
//! use std::time::Duration;
//!
//! use ledger::{Claim, Claimed, Ledger};
//! use standin::Platform;
//! use tokio::time::Instant;
//! use unit::{Digest, Token};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let platform = Platform::builder().open();
//! let ledger = Ledger::builder(platform.store()).shards(2).open();
//! let claim = Claim {
//!     key: Digest::of(b"clinic-7/destroy/4711"),
//!     body: Digest::of(b"{}"),
//!     caller: "desk-3@clinic-7".parse()?,
//!     token: Token(1),
//!     entry: "vault-desk-2".parse()?,
//!     deadline: Instant::now() + Duration::from_secs(1),
//!     rule: "destroy".to_string(),
//! };
//! assert_eq!(ledger.claim(claim.clone()).await?, Claimed::Granted);
//! let resend = Claim { token: Token(2), ..claim };
//! assert!(matches!(ledger.claim(resend).await?, Claimed::Running(_)));
//! # Ok(())
//! # }
//! ```

mod build;
mod claim;
mod driver;
mod dump;
mod error;
mod grant;
mod head;
mod index;
mod ledger;
mod load;
pub mod message;
mod owner;
mod peek;
mod recent;
mod request;
mod setting;
mod shard;
mod slot;

pub use claim::{Claim, Claimed, End, Ended, Moment, Record};
pub use dump::{Count, Dump, ShardDump};
pub use error::{Error, Kind, Step};
pub use ledger::Ledger;
pub use setting::Builder;
