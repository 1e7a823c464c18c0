//! A load balancer for servers whose load shifts in milliseconds: a library of coordination parts.
//!
//! One [`Daemon`] runs beside each target. It serves callers ([`entry`]), guards its target
//! ([`target`] behind a [`gate`]), and shares rules and roster with the others ([`feed`],
//! [`roster`]). Each part is a crate that can be embedded alone; this crate puts them together.
//!
//! Following a request: [`entry`] matches the first [`rule`], [`pick`] chooses a target, the
//! [`wire`] carries the call, the [`gate`] lets it through, [`target`] relays it.
//!
//! ```no_run
//! use appleshore::Daemon;
//! use setting::Setting;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let setting = Setting::parse(Setting::example())?;
//! let daemon = Daemon::start(setting).await?;
//! daemon.drain().await;
//! # Ok(())
//! # }
//! ```

mod assembly;
mod claims;
mod client_metric;
mod daemon;
mod directory;
mod dump;
mod error;
mod evacuated;
pub mod file;
mod inbound;
mod keeper;
mod leaves;
mod links;
pub mod logging;
mod measuring;
mod metric;
mod notice;
mod operator;
mod port;
mod profile;
mod quota;
mod region_metric;
mod state;
mod suspicion;
mod target_metric;

pub use daemon::Daemon;
pub use dump::{Dump, Part};
pub use error::Error;
pub use leaves::Leaves;
pub use profile::{Links, Profile};

pub use {
    dialect, entry, feed, gate, held, ledger, nest, pick, roster, rule, setting, store, target,
    unit, wire, workspace,
};
