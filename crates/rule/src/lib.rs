//! Routing rules: parsing, checking, matching and explanation.
//!
//! An operator writes an ordered list of rules, each with conditions (`when`) and an action
//! (`then`). The first rule that matches a request decides how the request is handled. This crate
//! does no I/O: it parses a document from text, takes a request as borrowed parts and returns the
//! matching [`Rule`].
//!
//! ```
//! use http::{HeaderMap, Method};
//! use rule::{Document, Request, Then};
//!
//! let document = Document::parse(
//!     r#"{
//!         "caller": { "header": "x-caller" },
//!         "rules": [
//!             {
//!                 "name": "destruction", // Runs at most once.
//!                 "when": { "method": "POST", "path": "/vault/destroy/*" },
//!                 "then": { "service": "vault-desk", "once": { "header": "idempotency-key" } }
//!             },
//!             { "name": "rest", "then": { "refuse": { "status": 404, "reason": "No such page." } } }
//!         ]
//!     }"#,
//! )?;
//! assert!(document.check().is_empty());
//!
//! let headers = HeaderMap::new();
//! let caller = document.caller(&headers, [10, 0, 0, 7].into());
//! let path = rule::path::normalize("/vault//destroy/41")?;
//! let request = Request {
//!     service: None,
//!     method: &Method::POST,
//!     path: &path,
//!     query: None,
//!     headers: &headers,
//!     caller: &caller,
//!     zone: &"longbien".parse()?,
//! };
//! let rule = document.decide(&request).expect("the last rule matches everything");
//! assert_eq!(rule.name, "destruction");
//! assert!(matches!(&rule.then, Then::Route(route) if route.once.is_some()));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod connection_limits;
mod document;
mod explain;
mod index;
mod key;
pub mod path;
pub mod pattern;
mod percent;
mod read;
mod request;
mod shadow;
mod target;
mod then;
mod when;

pub use connection_limits::ConnectionLimits;
pub use document::{Document, Rule};
pub use explain::{Explanation, Mismatch};
pub use jsonc::{Error, Fault, Position};
pub use key::{Key, KeyError};
pub use request::Request;
pub use shadow::Warning;
pub use target::Target;
pub use then::{Preference, Refusal, Route, Then, WeightedService};
pub use when::{Field, Header, When};
