//! The daemon's role beside a target: receives calls from the link, admits them through the gate,
//! sends them to the target, and streams the answers back.
//!
//! Requests reach the target only through [`Server::call`]. It gets a permit from the
//! [`gate::Gate`], takes a connection while it holds the permit, and only then dispatches the
//! request. So a refusal by the gate guarantees that the target never received the request.
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
mod heartbeat;
mod leave;
mod life;
mod max_rate;
mod pool;
mod presence;
mod run;
mod server;
mod stats;
mod upload;
mod verdict;
mod warmth;
mod watch;

pub use builder::{Builder, ColdLimits, ColdTarget, HealthPath, Heartbeats, Link};
pub use connection::Error;
pub use heartbeat::{Effect, Heartbeat};
pub use life::{Life, Stage};
pub use max_rate::{Exchange, MaxRate};
pub use run::Run;
pub use server::Server;
pub use stats::Stats;
pub use warmth::{Source, Warmth};
pub use watch::watch;
