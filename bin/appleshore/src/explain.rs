//! `appleshore explain`: which rule a request meets, and why not the earlier ones.

use std::io::{self, Read};
use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::str::FromStr;

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use rule::{Document, Key, Request, Route, Then};
use unit::{Caller, Service, Span, Zone};
use workspace::Workspace;
use zeroize::Zeroizing;

use crate::error::Error;
use crate::{file, output};

/// What stands for the zone where no rule asks for one.
const NO_ZONE: &str = "any";

/// Longest key in bytes that is read.
const MAX_KEY: usize = 8_192;

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
    /// Reads the key of a workspace from standard input, and tells which workspace it belongs to. An
    /// argument would show the key to everybody who lists the processes.
    #[arg(long)]
    key_stdin: bool,
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
    let workspace = match arguments.key_stdin {
        true => Some(workspace(&document, io::stdin())?),
        false => None,
    };
    let caller = arguments.caller.clone();
    let caller = caller.or_else(|| workspace.map(|workspace| Caller::from(&workspace.name)));
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
    explain(&document, &request, workspace)
}

fn explain(
    document: &Document,
    request: &Request<'_>,
    workspace: Option<&Workspace>,
) -> Result<(), Error> {
    let explanation = document.explain(request);
    output::print(&format!("{explanation}\n"))?;
    let Some(rule) = document.decide(request) else {
        let cause = "the request is refused: not-run, no-rule";
        return Err(Error::NoRule(cause.to_string()));
    };
    let caller = request.caller;
    let access = match &rule.then {
        Then::Route(route) => access(document, route, workspace),
        Then::Refuse(_) => String::new(),
    };
    output::print(&format!(
        "caller: {caller}\n{}{access}",
        then(&rule.then, request, workspace)
    ))
}

/// The workspace that the key read from `input` belongs to. A line end behind the key is no part of it.
fn workspace(document: &Document, input: impl Read) -> Result<&Workspace, Error> {
    let mut text = Zeroizing::new(String::with_capacity(MAX_KEY));
    let read = input.take(MAX_KEY as u64).read_to_string(&mut text);
    read.map_err(|_| Error::Usage("explain: standard input is no text".to_string()))?;
    let Some(workspaces) = document.workspaces() else {
        let cause = "explain: the document has no workspaces, so that no key is read";
        return Err(Error::Usage(cause.to_string()));
    };
    let key = workspace::Key::new(text.trim_ascii().as_bytes());
    let key = key.ok_or_else(|| Error::Usage("explain: no key on standard input".to_string()))?;
    workspaces.find(&key).ok_or_else(|| {
        let cause = "the request is refused: not-run, no-workspace: the key is unknown";
        Error::NoRule(cause.to_string())
    })
}

/// Whether the request needs a key, and what is known of its workspace.
fn access(document: &Document, route: &Route, workspace: Option<&Workspace>) -> String {
    if document.workspaces().is_none() {
        return String::new();
    }
    if route.public {
        return "public: no key is needed or read\n".to_string();
    }
    let Some(workspace) = workspace else {
        return "needs the key of a workspace, unless it serves a running call\n".to_string();
    };
    let none = || "none".to_string();
    let priority = workspace.priority.map_or_else(none, |one| one.to_string());
    let quota = workspace.quota.map_or_else(none, |quota| {
        format!("{} with burst {}", quota.rate, quota.burst)
    });
    let regions = workspace
        .regions
        .as_ref()
        .map_or("all".to_string(), |regions| {
            let names: Vec<String> = regions.iter().map(ToString::to_string).collect();
            names.join(", ")
        });
    let name = &workspace.name;
    format!("workspace {name}: priority {priority}, quota {quota}, regions {regions}\n")
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

fn then(then: &Then, request: &Request<'_>, workspace: Option<&Workspace>) -> String {
    match then {
        Then::Refuse(refuse) => {
            format!("refused with status {}: {}\n", refuse.status, refuse.reason)
        }
        Then::Route(route) => routed(route, request, workspace),
    }
}

fn routed(route: &Route, request: &Request<'_>, workspace: Option<&Workspace>) -> String {
    let Route {
        service,
        timeout,
        retries,
        ..
    } = route;
    let timeout = Span(*timeout);
    let workspace = workspace.filter(|_| !route.public);
    let urgency = route.urgency_for(workspace);
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
