//! From a status and its headers to a result.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use unit::{Era, Version};

use crate::{Kind, Object};

/// Names the era of the store in each answer.
pub const ERA: &str = "era";

/// Reads `"17"` as version 17.
pub(crate) fn version(headers: &HeaderMap) -> Option<Version> {
    let text = headers.get(header::ETAG)?.to_str().ok()?;
    let digits = text.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok()
}

fn must_version(response: &Response<Bytes>) -> Result<Version, Kind> {
    let cause = || Kind::Garbled("no ETag with a version".to_string());
    version(response.headers()).ok_or_else(cause)
}

/// Reads the era that an answer names. One that is no number is logged, and says nothing.
pub(crate) fn era(headers: &HeaderMap) -> Option<Era> {
    let value = headers.get(ERA)?;
    let era = value.to_str().ok().and_then(|text| text.parse().ok());
    if era.is_none() {
        log::warn!("store: an answer names the era {value:?}: expected a number.");
    }
    era
}

/// The statuses that mean the same for all calls.
fn failed(response: &Response<Bytes>) -> Kind {
    let status = response.status();
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Kind::NotWritten(format!("refused with {status}"))
        }
        StatusCode::PRECONDITION_FAILED => Kind::Conflict(version(response.headers())),
        StatusCode::GONE => Kind::Compacted,
        _ => Kind::Garbled(format!("status {status}")),
    }
}

pub(crate) fn got(key: &str, response: Response<Bytes>) -> Result<Option<Object>, Kind> {
    match response.status() {
        StatusCode::OK => Ok(Some(Object {
            key: key.to_string(),
            version: must_version(&response)?,
            value: response.into_body(),
        })),
        StatusCode::NOT_FOUND => Ok(None),
        _ => Err(failed(&response)),
    }
}

pub(crate) fn put(response: &Response<Bytes>) -> Result<Version, Kind> {
    match response.status() {
        StatusCode::OK | StatusCode::CREATED => must_version(response),
        _ => Err(failed(response)),
    }
}

pub(crate) fn deleted(response: &Response<Bytes>) -> Result<(), Kind> {
    match response.status() {
        StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
        _ => Err(failed(response)),
    }
}

pub(crate) fn parsed<T>(
    response: &Response<Bytes>,
    parse: fn(&[u8]) -> Result<T, String>,
) -> Result<T, Kind> {
    match response.status() {
        StatusCode::OK => parse(response.body()).map_err(Kind::Garbled),
        _ => Err(failed(response)),
    }
}
