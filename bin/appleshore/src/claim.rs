//! `appleshore claim`: the record of a request that runs at most once.

use std::fmt::Write;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Response, StatusCode, header};
use ledger::Record;
use unit::{Caller, Service, Span};

use crate::daemon::{Call, block_on};
use crate::error::Error;
use crate::output;

/// The content type of a daemon's own answers.
const JSON: &[u8] = b"application/json";

/// What `claim` takes.
#[derive(Debug, clap::Args)]
pub(crate) struct Arguments {
    /// The key as the caller sent it.
    key: String,
    /// The caller that sent it; keys count per caller.
    #[arg(long)]
    caller: Caller,
    /// The service that the rule sends such requests to.
    #[arg(long)]
    service: Service,
    /// The operator address of any daemon, such as 127.0.0.1:7401.
    #[arg(long)]
    operator: SocketAddr,
    /// How long the daemon may take to answer.
    #[arg(long, default_value = "5s")]
    timeout: Span,
}

/// Prints the record.
///
/// # Errors
///
/// [`Error::NoClaim`] when there is none, [`Error::Daemon`] when that can't be told.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let path = path(arguments);
    let call = Call {
        step: "claim",
        peer: arguments.operator,
        method: Method::GET,
        path: &path,
        limit: arguments.timeout.0,
    };
    let answer = block_on(call.send())?;
    match answer.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND if is_json(&answer) => {
            return Err(Error::NoClaim(arguments.operator));
        }
        _ => return Err(call.status(&answer)),
    }
    let record =
        serde_json::from_slice(answer.body()).map_err(|error| call.error(&error.to_string()))?;
    output::print(&text(arguments, &record))
}

/// Whether the daemon itself answered, and not the router that knows no such path.
///
/// A daemon of another version, or another server at this address, answers 404 to a path that it
/// does not know. Taken for "no claim", it would tell an operator that a destruction order never
/// ran, who would then send it again.
fn is_json(answer: &Response<Bytes>) -> bool {
    let kind = answer.headers().get(header::CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(JSON))
}

fn path(arguments: &Arguments) -> String {
    format!(
        "/claim?caller={}&service={}&key={}",
        encode(arguments.caller.as_str()),
        encode(arguments.service.as_str()),
        encode(&arguments.key)
    )
}

/// Percent-encodes all but the unreserved characters of RFC 3986.
fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string does not fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

fn text(arguments: &Arguments, record: &Record) -> String {
    let Record {
        token,
        caller,
        entry,
        rule,
        at,
        end,
        ..
    } = record;
    let mut lines = vec![
        format!("key      {}", arguments.key),
        format!("service  {}", arguments.service),
        format!("caller   {caller}"),
        format!("claimed  {at} at {entry} under rule {rule:?}, token {token}"),
    ];
    match end {
        Some(end) => {
            let target = end.target.as_ref().map(ToString::to_string);
            let target = target.unwrap_or_else(|| "not known".to_string());
            lines.push(format!("target   {target}"));
            lines.push(format!("ended    {}", end.at));
            lines.push(format!("outcome  {}{}", end.outcome, status(end.status)));
        }
        None => lines.push("ended    no end is on record: it runs, or its entry died".to_string()),
    }
    lines.push(String::new());
    lines.join("\n")
}

fn status(status: u16) -> String {
    match status {
        0 => ", no answer".to_string(),
        status => format!(", status {status}"),
    }
}
