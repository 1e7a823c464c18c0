//! The role beside a target: takes calls off the link, passes them through the gate, relays them
//! to the target, and streams the answer back.
//!
//! Nothing reaches the target but through [`Server::call`]: it asks the [`gate::Gate`] for a
//! permit, gets a connection while it holds the permit, and only then dispatches. So a refusal
//! is certain to stand for a request that the target never saw.
//!
//! ```
//! use gate::Gate;
//! use target::Server;
//!
//! let target = "127.0.0.1:8081".parse()?;
//! let server = Server::builder("vault-desk".parse()?, target, Gate::builder(10).build())
//!     .max_depth(unit::Depth(9))
//!     .build();
//! assert_eq!(server.gate().report().running, 0);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod answer;
mod builder;
mod call;
mod connection;
mod life;
mod pool;
mod presence;
mod server;
mod stats;
mod verdict;
mod watch;

pub use builder::{Builder, HealthPath, Heartbeats};
pub use connection::Error;
pub use life::{Effect, Heartbeat, Life, Stage};
pub use server::Server;
pub use stats::Stats;
pub use watch::watch;
