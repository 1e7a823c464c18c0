//! Sizes in bytes and rates per second.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// A number of bytes; the text form takes `B`, `KB`, `MB` and `GB` as powers of ten.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Size(u64);

/// Events per second, such as `300/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(f64);

const SUFFIXES: [(&str, u64); 4] = [
    ("GB", 1_000_000_000),
    ("MB", 1_000_000),
    ("KB", 1_000),
    ("B", 1),
];

impl Size {
    /// A size of `bytes` bytes.
    pub const fn of(bytes: u64) -> Size {
        Size(bytes)
    }

    /// The size in bytes.
    pub const fn bytes(self) -> u64 {
        self.0
    }
}

impl Rate {
    /// A rate of `events` per second.
    pub const fn of(events: f64) -> Rate {
        Rate(events)
    }

    /// Events per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let even = SUFFIXES
            .iter()
            .find(|(_, unit)| self.0 >= *unit && self.0.is_multiple_of(*unit));
        let (suffix, unit) = even.copied().unwrap_or(("B", 1));
        write!(f, "{}{suffix}", self.0 / unit)
    }
}

impl FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Size, Error> {
        let error = || Error::shape("a size", text, "a whole number and B, KB, MB or GB");
        let found = SUFFIXES.iter().find(|(suffix, _)| text.ends_with(suffix));
        let (suffix, unit) = found.ok_or_else(error)?;
        let number = text[..text.len() - suffix.len()].trim_end();
        let number: u64 = number.parse().map_err(|_| error())?;
        number.checked_mul(*unit).map(Size).ok_or_else(error)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Rate, Error> {
        let error = || Error::shape("a rate", text, "a number and '/s'");
        let number = text.strip_suffix("/s").ok_or_else(error)?;
        let number: f64 = number.trim_end().parse().map_err(|_| error())?;
        Some(number)
            .filter(|n| n.is_finite() && *n >= 0.0)
            .map(Rate)
            .ok_or_else(error)
    }
}

macro_rules! text {
    ($type:ident) => {
        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(text: String) -> Result<$type, Error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(value: $type) -> String {
                value.to_string()
            }
        }
    };
}

text!(Size);
text!(Rate);
