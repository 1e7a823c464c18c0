//! Lengths of time as operators write them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Error;

/// A length of time, such as `250ms` or `2s`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::From,
    derive_more::Into,
)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub Duration);

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Span, Error> {
        let span = humantime::parse_duration(text);
        let error = |_| Error::shape("a length of time", text, "such as 250ms, 2s or 5m");
        span.map(Span).map_err(error)
    }
}

impl TryFrom<String> for Span {
    type Error = Error;

    fn try_from(text: String) -> Result<Span, Error> {
        text.parse()
    }
}

impl From<Span> for String {
    fn from(span: Span) -> String {
        span.to_string()
    }
}
