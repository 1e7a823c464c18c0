//! Heads of answers.

use bytes::{Buf, BytesMut};
use http::{HeaderMap, Method, StatusCode, Version};

use crate::request::{fields, headers, keeps};
use crate::{Fault, Length, MAX_FIELDS};

/// Longest head of an answer that is read.
const MAX_HEAD: usize = 64 << 10;

/// Highest status of an answer.
const MAX_STATUS: u16 = 599;

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The status.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// How the body ends.
    pub length: Length,
    /// Whether the connection may carry further requests.
    pub keep: bool,
}

/// Takes the head of the answer to a request of `method` out of `bytes`; `None` when more bytes
/// are needed. Interim answers are passed over.
///
/// # Errors
///
/// [`Fault::LongHead`], [`Fault::Head`] or [`Fault::Length`]; the connection is of no more use.
pub fn parse(bytes: &mut BytesMut, method: &Method) -> Result<Option<Head>, Fault> {
    while let Some(head) = one(bytes, method)? {
        if !head.status.is_informational() {
            return Ok(Some(head));
        }
    }
    Ok(None)
}

fn one(bytes: &mut BytesMut, method: &Method) -> Result<Option<Head>, Fault> {
    let mut space = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut space);
    let parsed_head = parsed
        .parse(bytes)
        .map_err(|cause| Fault::Head(cause.to_string()))?;
    let httparse::Status::Complete(end) = parsed_head else {
        return match bytes.len() > MAX_HEAD {
            true => Err(Fault::LongHead(MAX_HEAD)),
            false => Ok(None),
        };
    };
    let status = status(parsed.code.unwrap_or_default())?;
    let headers = headers(parsed.headers)?;
    let version = match parsed.version {
        Some(0) => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    bytes.advance(end);
    let length = match is_bodiless(status, method) {
        true => Length::Empty,
        false => Length::of(&headers)?.unwrap_or(Length::Close),
    };
    let keep = keeps(&headers, version) && length != Length::Close;
    Ok(Some(Head {
        status,
        headers,
        length,
        keep,
    }))
}

/// The status of an answer. [`StatusCode`] takes those of 600 to 999 too, which no HTTP defines.
fn status(code: u16) -> Result<StatusCode, Fault> {
    let known = (100..=MAX_STATUS).contains(&code);
    let status = StatusCode::from_u16(code).ok().filter(|_| known);
    status.ok_or_else(|| Fault::Head(format!("status {code}: expected 100 to {MAX_STATUS}")))
}

/// Whether an answer with this status to a request of `method` has no body, whatever length its head
/// declares.
pub fn is_bodiless(status: StatusCode, method: &Method) -> bool {
    let never = status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    never || *method == Method::HEAD
}

/// Writes the head of an answer to a request of `method`.
///
/// A body of no bytes is given a length all the same, or the caller would wait for its end.
pub fn write(
    status: StatusCode,
    headers: &HeaderMap,
    length: Length,
    method: &Method,
    out: &mut BytesMut,
) {
    let reason = status.canonical_reason().unwrap_or("");
    out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    let length = match (is_bodiless(status, method), length) {
        (true, _) => Length::Empty,
        (false, Length::Empty) => Length::Sized(0),
        (false, length) => length,
    };
    fields(headers, length, out);
}
