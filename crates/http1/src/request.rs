//! Heads of requests.

use bytes::{Buf, BytesMut};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version, header};

use crate::{Fault, Length, MAX_FIELDS};

/// The head of a request.
#[derive(Debug)]
pub struct Head {
    /// Method, target and header fields.
    pub parts: Parts,
    /// How the body ends.
    pub length: Length,
    /// Whether the connection may carry further requests.
    pub keep: bool,
}

/// Takes a head of at most `most` bytes out of `bytes`; `None` when more bytes are needed.
///
/// # Errors
///
/// [`Fault::LongHead`], [`Fault::Head`] or [`Fault::Length`]. Nothing that follows on the
/// connection can be trusted then.
pub fn parse(bytes: &mut BytesMut, most: usize) -> Result<Option<Head>, Fault> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let status = parsed
        .parse(bytes)
        .map_err(|cause| Fault::Head(cause.to_string()))?;
    let httparse::Status::Complete(end) = status else {
        return match bytes.len() > most {
            true => Err(Fault::LongHead(most)),
            false => Ok(None),
        };
    };
    if end > most {
        return Err(Fault::LongHead(most));
    }
    let parts = parts(&parsed)?;
    bytes.advance(end);
    let length = Length::of(&parts.headers)?.unwrap_or(Length::Empty);
    if parts.version == Version::HTTP_10 && length == Length::Chunked {
        return Err(Fault::Length("chunks in HTTP/1.0"));
    }
    let keep = keeps(&parts.headers, parts.version);
    Ok(Some(Head {
        parts,
        length,
        keep,
    }))
}

fn parts(parsed: &httparse::Request<'_, '_>) -> Result<Parts, Fault> {
    let bad = |cause: String| Fault::Head(cause);
    let method = parsed.method.unwrap_or_default();
    let method = Method::from_bytes(method.as_bytes()).map_err(|e| bad(e.to_string()))?;
    let target = parsed.path.unwrap_or_default();
    let uri: Uri = target.parse().map_err(|e| bad(format!("target: {e}")))?;
    let version = match parsed.version {
        Some(0) => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    let headers = headers(parsed.headers)?;
    let hosts = headers.get_all(header::HOST).iter().count();
    if hosts > 1 || hosts == 0 && version == Version::HTTP_11 {
        return Err(bad(format!("{hosts} hosts, expected one")));
    }
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = method;
    parts.uri = uri;
    parts.version = version;
    parts.headers = headers;
    Ok(parts)
}

pub(crate) fn headers(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, Fault> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let name = name.map_err(|e| Fault::Head(e.to_string()))?;
        let value = HeaderValue::from_bytes(field.value);
        let value = value.map_err(|e| Fault::Head(format!("{name}: {e}")))?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Whether a message with these fields leaves its connection open.
pub(crate) fn keeps(headers: &HeaderMap, version: Version) -> bool {
    let named = |wanted: &str| {
        let values = headers.get_all(header::CONNECTION).into_iter();
        let texts = values.filter_map(|value| value.to_str().ok());
        texts
            .flat_map(|text| text.split(','))
            .any(|name| name.trim().eq_ignore_ascii_case(wanted))
    };
    match version {
        Version::HTTP_10 => named("keep-alive"),
        _ => !named("close"),
    }
}

/// Writes the head of a request; a length is added to `headers`, which hold none of their own.
pub fn write(
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    length: Length,
    out: &mut BytesMut,
) {
    out.extend_from_slice(method.as_str().as_bytes());
    out.extend_from_slice(b" ");
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    fields(headers, length, out);
}

/// Writes header fields, the length and the empty line behind them.
pub(crate) fn fields(headers: &HeaderMap, length: Length, out: &mut BytesMut) {
    for (name, value) in headers {
        if *name == header::CONTENT_LENGTH || *name == header::TRANSFER_ENCODING {
            continue;
        }
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    match length {
        Length::Sized(size) => {
            out.extend_from_slice(format!("content-length: {size}\r\n").as_bytes());
        }
        Length::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        Length::Empty | Length::Close => {}
    }
    out.extend_from_slice(b"\r\n");
}
