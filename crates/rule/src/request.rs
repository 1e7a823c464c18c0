//! What the rules see of a request.

use http::{HeaderMap, Method};
use unit::{Caller, Service, Zone};

/// A request as the entry that received it sees it.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The service whose own target sent this over the outbound port; `None` for outside callers.
    pub service: Option<&'a Service>,
    /// The method.
    pub method: &'a Method,
    /// The path in the form that [`path::normalize`](crate::path::normalize) gives.
    pub path: &'a str,
    /// The raw query, without the `?`.
    pub query: Option<&'a str>,
    /// The header fields.
    pub headers: &'a HeaderMap,
    /// The caller, as [`Document::caller`](crate::Document::caller) tells it.
    pub caller: &'a Caller,
    /// The zone of the entry.
    pub zone: &'a Zone,
}
