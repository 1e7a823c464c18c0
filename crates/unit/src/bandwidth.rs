//! The rate of a link.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Decimal, Error};

/// Bits per second; the text form takes `kbit/s`, `Mbit/s` and `Gbit/s` as powers of ten.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Bandwidth(u64);

const SUFFIXES: [(&str, u64); 4] = [
    ("Gbit/s", 1_000_000_000),
    ("Mbit/s", 1_000_000),
    ("kbit/s", 1_000),
    ("bit/s", 1),
];

impl Bandwidth {
    /// A rate of `bits` per second; 0 counts as 1.
    pub const fn of_bits(bits: u64) -> Bandwidth {
        Bandwidth(if bits == 0 { 1 } else { bits })
    }

    /// Bits per second.
    pub const fn bits_per_second(self) -> u64 {
        self.0
    }

    /// Bytes that pass in `time`.
    pub fn bytes_in(self, time: Duration) -> f64 {
        self.0 as f64 / 8.0 * time.as_secs_f64()
    }

    /// Time that `bytes` take.
    pub fn time_of_bytes(self, bytes: f64) -> Duration {
        let time = Duration::try_from_secs_f64(bytes * 8.0 / self.0 as f64);
        time.unwrap_or(Duration::MAX)
    }
}

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let even = SUFFIXES
            .iter()
            .find(|(_, unit)| self.0 >= *unit && self.0.is_multiple_of(*unit));
        let (suffix, unit) = even.copied().unwrap_or(("bit/s", 1));
        write!(f, "{}{suffix}", self.0 / unit)
    }
}

impl FromStr for Bandwidth {
    type Err = Error;

    fn from_str(text: &str) -> Result<Bandwidth, Error> {
        let error = || Error::shape("a bandwidth", text, "a number and kbit/s, Mbit/s or Gbit/s");
        let found = SUFFIXES.iter().find(|(suffix, _)| text.ends_with(suffix));
        let (suffix, unit) = found.ok_or_else(error)?;
        let number = text[..text.len() - suffix.len()].trim_end();
        let number: Decimal = number.parse().map_err(|_| error())?;
        let bits = (number.get() * *unit as f64).round();
        let fits = (1.0..=1e15).contains(&bits);
        fits.then_some(Bandwidth(bits as u64)).ok_or_else(error)
    }
}

impl TryFrom<String> for Bandwidth {
    type Error = Error;

    fn try_from(text: String) -> Result<Bandwidth, Error> {
        text.parse()
    }
}

impl From<Bandwidth> for String {
    fn from(value: Bandwidth) -> String {
        value.to_string()
    }
}
