//! The role that serves callers: match, claim, choose, relay, answer.
//!
//! A request comes in by HTTP on one of two ports. On the callers' port it begins with nothing but
//! what the rules make of it; on the outbound port, where only this instance's own target calls, a
//! nested call inherits urgency, caller, deadline and depth from the call that it serves. The
//! first rule that matches names the service; [`pick`] names the target; the daemon beside it
//! decides whether the request runs. Every answer says in the [`OUTCOME`] header what became of
//! the request.
//!
//! ```
//! use entry::{Reason, Refusal};
//! use unit::Outcome;
//!
//! let refusal = Refusal::not_run(Reason::Full).detail("all targets are full");
//! assert_eq!(refusal.outcome(), Outcome::NotRun);
//! assert_eq!(refusal.response().status(), 503);
//! ```

mod answer;
mod attempt;
mod attempts;
mod builder;
mod connection;
mod handle;
mod initial_timeout;
mod job;
mod once;
mod origin;
mod port;
mod refusal;
mod request_body;
pub mod server;
mod state;
mod stats;
mod upstream;

pub use answer::OUTCOME;
pub use builder::{Builder, Limits, Peers, Rules};
pub use initial_timeout::InitialTimeout;
pub use once::{Claims, Granted, NoClaim, claim_key};
pub use origin::Origin;
pub use port::{Bounds, Handler, Port};
pub use refusal::{REASON, Reason, Refusal};
pub use state::{Count, Entry, InFlight};
pub use stats::Stats;
pub use upstream::Upstream;

/// The body of requests and answers, as gotham has it.
pub type Body = gotham::helpers::http::Body;
