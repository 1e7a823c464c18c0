//! Claims for requests that may not be repeated, grouped into conditional updates.
//!
//! A request that may not be repeated is claimed by its key before it runs. The ledger spreads the
//! keys over shards. Each shard has one head object in the platform's store; the claims that
//! arrive while a write is on its way go into the next write together. A claim is granted only
//! after the store has confirmed its write.
//!
//! No lease guards the heads. Whoever writes a head names the version that it has read, so that of
//! two owners only one can write, and the other one loads the head anew before it answers.
//!
//! Large heads are sealed into segments, of which the owner keeps eight bytes a key in memory.
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
