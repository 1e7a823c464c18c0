//! `appleshore explain`: which rule a request meets, and why not the earlier ones.

use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::str::FromStr;

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use rule::{Document, Key, Request, Route, Then};
use unit::{Caller, Service, Span, Zone};

use crate::error::Error;
use crate::{file, output};

/// What stands for the zone where no rule asks for one.
const NO_ZONE: &str = "any";

/// What `explain` takes.
#[derive(Debug, clap::Args)]
pub(crate) struct Arguments {
    /// The rules document.
    file: PathBuf,
    /// The request's method.
    #[arg(long)]
    method: Method,
    /// The request's path as it is sent, without its query.
    #[arg(long)]
    path: String,
    /// The request's query as it is sent, without the `?`.
    #[arg(long)]
    query: Option<String>,
    /// A header field; may be given several times.
    #[arg(long = "header", value_name = "NAME=VALUE")]
    headers: Vec<Header>,
    /// The caller, in place of the one that the headers tell.
    #[arg(long)]
    caller: Option<Caller>,
    /// The zone of the daemon that receives the request.
    #[arg(long)]
    zone: Option<Zone>,
    /// The service whose own target sends the request; none for outside callers.
    #[arg(long)]
    service: Option<Service>,
    /// The address that the request comes from; it names a caller whom no header names.
    #[arg(long, default_value_t = IpAddr::V4(Ipv4Addr::LOCALHOST))]
    peer: IpAddr,
}

/// A header field of the request.
#[derive(Debug, Clone)]
struct Header {
    name: HeaderName,
    value: HeaderValue,
}

impl FromStr for Header {
    type Err = String;

    fn from_str(text: &str) -> Result<Header, String> {
        let (name, value) = text.split_once('=').ok_or("expected NAME=VALUE")?;
        Ok(Header {
            name: name.parse().map_err(|_| "no header name")?,
            value: value.parse().map_err(|_| "no header value")?,
        })
    }
}

/// Prints the explanation.
///
/// # Errors
///
/// [`Error::NoRule`] when the request meets no rule, faults of the file or the command line.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let document = file::rules(&arguments.file)?;
    let zone = zone(arguments, &document)?;
    let path = path(&arguments.path)?;
    let headers = headers(&arguments.headers);
    let caller = arguments.caller.clone();
    let caller = caller.unwrap_or_else(|| document.caller(&headers, arguments.peer));
    let request = Request {
        service: arguments.service.as_ref(),
        method: &arguments.method,
        path: &path,
        query: arguments.query.as_deref(),
        headers: &headers,
        caller: &caller,
        zone: &zone,
    };
    explain(&document, &request)
}

fn explain(document: &Document, request: &Request<'_>) -> Result<(), Error> {
    let explanation = document.explain(request);
    output::print(&format!("{explanation}\n"))?;
    let Some(rule) = document.decide(request) else {
        let cause = "the request is refused: not-run, no-rule";
        return Err(Error::NoRule(cause.to_string()));
    };
    let caller = request.caller;
    output::print(&format!("caller: {caller}\n{}", then(&rule.then, request)))
}

/// A rule that asks for the zone can't be judged without it, and we don't guess one.
fn zone(arguments: &Arguments, document: &Document) -> Result<Zone, Error> {
    if let Some(zone) = &arguments.zone {
        return Ok(zone.clone());
    }
    let mut rules = document.rules().iter();
    if let Some(rule) = rules.find(|rule| !rule.when.zones.is_empty()) {
        let cause = format!(
            "explain: rule {:?} asks for the zone: give --zone",
            rule.name
        );
        return Err(Error::Usage(cause));
    }
    NO_ZONE
        .parse()
        .map_err(|error: unit::Error| Error::Usage(error.to_string()))
}

fn path(raw: &str) -> Result<String, Error> {
    if raw.contains('?') {
        let cause = "explain: the path holds a '?': give the query with --query";
        return Err(Error::Usage(cause.to_string()));
    }
    let refused = |error| format!("the request is refused before any rule: malformed, {error}");
    rule::path::normalize(raw).map_err(|error| Error::NoRule(refused(error)))
}

fn headers(all: &[Header]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for Header { name, value } in all {
        headers.append(name, value.clone());
    }
    headers
}

fn then(then: &Then, request: &Request<'_>) -> String {
    match then {
        Then::Refuse(refuse) => {
            format!("refused with status {}: {}\n", refuse.status, refuse.reason)
        }
        Then::Route(route) => routed(route, request),
    }
}

fn routed(route: &Route, request: &Request<'_>) -> String {
    let Route {
        service,
        urgency,
        timeout,
        retries,
        ..
    } = route;
    let timeout = Span(*timeout);
    let once = route.once.as_ref().map(|key| once(key, request));
    format!(
        "goes to service {service}, {urgency}, timeout {timeout}, retries {retries}\n{}",
        once.unwrap_or_default()
    )
}

fn once(key: &Key, request: &Request<'_>) -> String {
    match key.find(request) {
        Ok(Some(found)) => format!("runs at most once for its key {found:?} in {key}\n"),
        Ok(None) => format!("refused, no-key: the rule asks for a key in {key}\n"),
        Err(error) => format!("refused, malformed: {error}\n"),
    }
}
