//! Chooses targets at the entry, and keeps the budgets for load reports, retries and hedges.
//!
//! The code does no I/O; the time is passed in, and random numbers are seeded. One [`Pick`] serves
//! one service at one entry. [`Shared`] puts it under a lock and returns guards, so that a dropped
//! call counts as cancelled.
//!
//! ```
//! use std::time::Duration;
//!
//! use pick::{Answer, Kind, Need, Pick, Target};
//! use tokio::time::Instant;
//! use unit::{Incarnation, Report, Urgency};
//!
//! let now = Instant::now();
//! let mut pick = Pick::builder("longbien".parse()?)
//!     .network_delay(Duration::from_micros(1_500))
//!     .seed(7)
//!     .build();
//! let target = Target {
//!     instance: "vault-desk-1".parse()?,
//!     zone: "gialam".parse()?,
//!     region: "hanoi".to_string(),
//!     incarnation: Incarnation(1),
//!     leaving: false,
//!     evacuated: false,
//! };
//! pick.set_targets(now, &[target]);
//!
//! let chosen = pick.choose(now, &Need::of(Urgency::Urgent)).ok_or("no target")?;
//! pick.begin(now, &chosen);
//! let answer = Answer {
//!     latency: Duration::from_millis(9),
//!     kind: Kind::Ok,
//!     class: 0,
//!     report: Some(Report { running: 1, limit: 10, ..Report::default() }),
//! };
//! pick.end(now + answer.latency, &chosen, &answer);
//! assert_eq!(chosen.as_str(), "vault-desk-1");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod answer;
mod builder;
mod draw;
pub mod dump;
pub mod hedge;
mod home;
mod knee;
pub mod limit;
pub mod measure;
mod need;
mod pick;
mod record;
pub mod region;
pub mod retry;
mod round_robin;
mod score;
mod setting;
mod shared;
pub mod subset;
mod target;
mod tokens;
pub mod traffic;
mod transfer;
pub mod volume;
mod work;

pub use answer::{Answer, Kind};
pub use builder::Builder;
pub use dump::Dump;
pub use home::Moved;
pub use need::{Need, Preference};
pub use pick::Pick;
pub use round_robin::RoundRobin;
pub use setting::Setting;
pub use shared::{Basis, Guard, Shared};
pub use target::Target;
pub use transfer::Transfer;
