//! Lengths of time as operators write them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Decimal, Error};

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
        let span = humantime::parse_duration(text).ok();
        let span = span.or_else(|| one_unit(text)).map(Span);
        span.ok_or_else(|| Error::shape("a length of time", text, "such as 250ms, 2s or 5m"))
    }
}

/// Units in which a fraction of time may be given, and how many of them a second has.
const UNITS: [(&str, f64); 4] = [("us", 1e6), ("ms", 1e3), ("s", 1.0), ("m", 1.0 / 60.0)];

/// A number of one unit, as another system works it out: `1500.5ms` or `1.5e3ms`.
fn one_unit(text: &str) -> Option<Duration> {
    let (number, a_second) = UNITS
        .iter()
        .find_map(|(unit, a_second)| Some((text.strip_suffix(unit)?, a_second)))?;
    let number: Decimal = number.parse().ok()?;
    Duration::try_from_secs_f64(number.get() / a_second).ok()
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
