//! The parts of a request that rules match on.

use http::{HeaderMap, Method};
use unit::{Caller, Service, Zone};

/// The parts of a request that rules match on, as received by an entry.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The service whose target sent the request over the outbound port; `None` for outside
    /// callers.
    pub service: Option<&'a Service>,
    /// The method.
    pub method: &'a Method,
    /// The path, as returned by [`path::normalize`](crate::path::normalize), or the raw path if
    /// [`Document::matches_raw_paths`](crate::Document::matches_raw_paths).
    pub path: &'a str,
    /// The raw query, without the `?`.
    pub query: Option<&'a str>,
    /// The header fields.
    pub headers: &'a HeaderMap,
    /// The caller, as returned by [`Document::caller`](crate::Document::caller).
    pub caller: &'a Caller,
    /// The zone of the entry.
    pub zone: &'a Zone,
}
