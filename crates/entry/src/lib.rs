//! The part of the daemon that serves callers.
//!
//! An entry matches each request to a rule, claims its key if it may not be repeated, chooses a
//! target, forwards the request, and relays the answer.
//!
//! A request arrives by HTTP on one of two ports. On the callers' port the rules alone determine
//! how it is handled. On the outbound port, which only this instance's own target uses, a nested
//! call inherits urgency, caller, deadline and depth from the call that it belongs to. The first
//! matching rule determines the service, [`pick`] chooses the target, and the gate of the target's
//! daemon decides whether the request runs. The [`OUTCOME`] header of every answer gives the
//! outcome of the request.
//!
//! ```
//! use entry::{Reason, Refusal};
//! use unit::Outcome;
//!
//! let refusal = Refusal::not_run(Reason::Full).detail("all targets are full");
//! assert_eq!(refusal.outcome(), Outcome::NotRun);
//! assert_eq!(refusal.response().status(), 503);
//! ```

mod admission;
mod answer;
mod attempt;
mod attempts;
mod authentication;
mod builder;
mod connection;
mod credit;
mod grant;
mod handle;
mod initial_timeout;
mod job;
mod notices;
mod once;
mod origin;
mod paced;
mod port;
mod refusal;
mod request_body;
mod residence;
pub mod server;
pub mod share;
mod state;
mod stats;
mod upload;
mod upstream;
mod writing;

pub use admission::{Admission, Exceeded, QuotaAsk, Spent, Unconfirmed};
pub use answer::OUTCOME;
pub use builder::{Builder, Limits, Peers, Rules};
pub use initial_timeout::InitialTimeout;
pub use notices::Notices;
pub use once::{Claims, Granted, NoClaim, claim_key};
pub use origin::Origin;
pub use port::{ConnectionLimits, Handler, Port};
pub use refusal::{REASON, Reason, Refusal};
pub use state::{Count, Entry, InFlight};
pub use stats::Stats;
pub use upstream::Upstream;

/// The body of requests and answers: gotham's body type.
pub type Body = gotham::helpers::http::Body;
