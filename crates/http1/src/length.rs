//! How the end of a message's body is told.

use http::{HeaderMap, header};

use crate::Fault;

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// There is no body.
    Empty,
    /// The body has so many bytes.
    Sized(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with its connection; only answers may be so.
    Close,
}

impl Length {
    /// The length that header fields give, if they give one.
    ///
    /// # Errors
    ///
    /// [`Fault::Length`] for fields that two parties could read in different ways: one of them
    /// would take a part of this body for the next request.
    pub fn of(headers: &HeaderMap) -> Result<Option<Length>, Fault> {
        let chunked = is_chunked(headers)?;
        let sized = size(headers)?;
        match (chunked, sized) {
            (true, Some(_)) => Err(Fault::Length("both a length and chunks")),
            (true, None) => Ok(Some(Length::Chunked)),
            (false, Some(0)) => Ok(Some(Length::Empty)),
            (false, Some(size)) => Ok(Some(Length::Sized(size))),
            (false, None) => Ok(None),
        }
    }
}

fn is_chunked(headers: &HeaderMap) -> Result<bool, Fault> {
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(value) = values.next() else {
        return Ok(false);
    };
    let only = values.next().is_none() && value.as_bytes().eq_ignore_ascii_case(b"chunked");
    only.then_some(true)
        .ok_or(Fault::Length("a transfer encoding other than chunked"))
}

fn size(headers: &HeaderMap) -> Result<Option<u64>, Fault> {
    let mut found = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let text = value.to_str().unwrap_or_default();
        let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let size: Option<u64> = text.parse().ok().filter(|_| digits);
        let size = size.ok_or(Fault::Length("a length that is no number"))?;
        if found.is_some_and(|other| other != size) {
            return Err(Fault::Length("two lengths"));
        }
        found = Some(size);
    }
    Ok(found)
}
