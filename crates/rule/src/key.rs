//! The idempotency key of a request that may run at most once.

use http::HeaderName;
use quick_error::quick_error;

use crate::{Request, percent};

/// The location of a request's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Key {
    /// In the header field with this name, in lower case.
    #[display("header {_0}")]
    Header(String),
    /// In the query parameter with this name.
    #[display("query parameter {_0}")]
    Query(String),
}

quick_error! {
    /// Why the key of a request can't be read; the entry answers 400 and the request never runs.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyError {
        /// The key is longer than [`Key::MAX`].
        TooLong(key: Key, bytes: usize) {
            display("{key}: {bytes} bytes are too many: at most {} are allowed", Key::MAX)
        }
        /// The header field or query parameter is given more than once.
        Repeated(key: Key) {
            display("{key}: given more than once")
        }
        /// The key is not valid UTF-8, is not percent-encoded correctly or has control characters.
        NotText(key: Key) {
            display("{key}: not readable text")
        }
    }
}

impl Key {
    /// Maximum length of a decoded key in bytes.
    pub const MAX: usize = 512;

    /// Returns the key of `request`; an empty key counts as absent.
    ///
    /// A query parameter is decoded as form data (percent-decoding, and `+` as a space), so that
    /// differently encoded copies of one key count as the same key and run only once.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is too long, not valid text or given more than once. Of several
    /// keys the target might use another one than the entry does, and a resend with the keys in
    /// another order would run again.
    pub fn find(&self, request: &Request<'_>) -> Result<Option<String>, KeyError> {
        let found = match self {
            Key::Header(name) => self.in_header(name, request)?,
            Key::Query(name) => self.in_query(name, request)?,
        };
        let found = found.filter(|text| !text.is_empty());
        match found {
            Some(text) if text.len() > Key::MAX => Err(KeyError::TooLong(self.clone(), text.len())),
            Some(text) if text.chars().any(char::is_control) => {
                Err(KeyError::NotText(self.clone()))
            }
            found => Ok(found),
        }
    }

    fn in_header(&self, name: &str, request: &Request<'_>) -> Result<Option<String>, KeyError> {
        let Ok(name) = HeaderName::from_bytes(name.as_bytes()) else {
            return Ok(None);
        };
        let mut values = request.headers.get_all(name).iter();
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(KeyError::Repeated(self.clone()));
        }
        let text = std::str::from_utf8(value.as_bytes());
        let text = text.map_err(|_| KeyError::NotText(self.clone()))?;
        Ok(Some(text.trim().to_string()))
    }

    fn in_query(&self, name: &str, request: &Request<'_>) -> Result<Option<String>, KeyError> {
        let mut found = None;
        for pair in request.query.unwrap_or_default().split('&') {
            let (raw, value) = pair.split_once('=').unwrap_or((pair, ""));
            if form_decode(raw).as_deref() != Some(name) {
                continue;
            }
            if found.is_some() {
                return Err(KeyError::Repeated(self.clone()));
            }
            let value = form_decode(value).ok_or_else(|| KeyError::NotText(self.clone()))?;
            found = Some(value.trim().to_string());
        }
        Ok(found)
    }
}

fn form_decode(text: &str) -> Option<String> {
    percent::decode(&text.replace('+', " "))
}
