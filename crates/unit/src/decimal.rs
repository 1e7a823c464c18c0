//! Numbers as other systems write them.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// A number as another system writes it: whole, a fraction or with an exponent, and always finite.
///
/// Another system's count may come as `30.7`, where it has worked the count out. Who reads it says
/// which way it is rounded: what may be used is rounded down, what is needed is rounded up.
///
/// ```
/// use unit::Decimal;
///
/// let saved: Decimal = "30.7".parse()?;
/// assert_eq!(saved.down(), Some(30));
/// assert_eq!("1.5e3".parse::<Decimal>()?.whole(), Some(1_500));
/// # Ok::<(), unit::Error>(())
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::Into,
)]
#[serde(try_from = "f64", into = "f64")]
pub struct Decimal(f64);

/// The first number above which not each whole number has a place in an `f64`.
const EXACT: f64 = 9_007_199_254_740_992.0;

impl Decimal {
    /// The next whole number below; none for a negative number. Huge ones end at `u64::MAX`.
    pub fn down(self) -> Option<u64> {
        (self.0 >= 0.0).then_some(self.0 as u64)
    }

    /// The next whole number above; none for a negative number. Huge ones end at `u64::MAX`.
    pub fn up(self) -> Option<u64> {
        Decimal(self.0.ceil()).down()
    }

    /// The number itself, if it is whole, not negative and exact.
    pub fn whole(self) -> Option<u64> {
        let whole = self.0.fract() == 0.0 && self.0 < EXACT;
        self.down().filter(|_| whole)
    }

    /// The number as an `f64`.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Decimal {
    type Error = Error;

    fn try_from(number: f64) -> Result<Decimal, Error> {
        if number.is_finite() {
            return Ok(Decimal(number));
        }
        Err(Error::shape(
            "a number",
            &number.to_string(),
            "a finite one",
        ))
    }
}

impl FromStr for Decimal {
    type Err = Error;

    fn from_str(text: &str) -> Result<Decimal, Error> {
        let number = text.parse::<f64>().ok();
        let number = number.and_then(|number| Decimal::try_from(number).ok());
        number.ok_or_else(|| Error::shape("a number", text, "such as 12, 0.5 or 1e3"))
    }
}
