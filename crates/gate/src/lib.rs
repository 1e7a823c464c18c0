//! Admission control for one target: slots, queues, fairness, deadlines, tokens and suspects.
//!
//! All requests to a target pass through its gate, so the gate's count of running and waiting
//! requests is exact. [`Core`] implements the decisions without clocks, locks or tasks. [`Gate`]
//! wraps it for tokio, with a [`Permit`] that is awaited and guards that release slots when
//! dropped. The crate does no I/O.
//!
//! ```
//! use std::time::Duration;
//!
//! use gate::{End, Gate, Request};
//! use tokio::time::Instant;
//! use unit::{Digest, Token, Urgency};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let gate = Gate::builder(10).build();
//! let request = Request {
//!     token: Token(7),
//!     urgency: Urgency::Urgent,
//!     caller: "clerk@court".parse()?,
//!     weight: 1,
//!     deadline: Instant::now() + Duration::from_millis(200),
//!     kind: Digest::of_parts(&[b"GET", b"/land-file/88"]),
//!     nested: false,
//!     goal: None,
//!     class: 0,
//!     elsewhere: false,
//!     bulk: false,
//!     delivery: None,
//! };
//! let permit = gate.admit(request).await?;
//! let running = permit.dispatch();
//! // Send the request to the target here.
//! let latency = running.since().elapsed();
//! running.finish(End::Answered { latency });
//! assert_eq!(gate.report().running, 0);
//! # Ok(())
//! # }
//! ```

mod builder;
mod core;
mod dump;
mod ending;
mod forecast;
mod history;
mod knee;
mod lane;
mod latency;
mod limit;
mod pace;
mod permit;
mod quarantine;
mod refusal;
mod request;
mod schedule;
mod shell;
mod short;
mod slowdown;
mod starts;
mod suspect;
mod target;
mod throttle;
mod token;
mod verdict;
mod warmup;
mod window;

pub use builder::Builder;
pub use core::Core;
pub use dump::Dump;
pub use lane::Waiting;
pub use limit::Law;
pub use permit::{Permit, Running};
pub use refusal::Refusal;
pub use request::{End, Id, Request};
pub use shell::{Condition, Gate};
pub use short::NestedSlot;
pub use suspect::Suspicion;
pub use throttle::Throttle;
pub use token::{Fence, Status};
pub use unit::Cause;
pub use verdict::{Event, Verdict};
pub use warmup::{ColdStart, Warmup};
