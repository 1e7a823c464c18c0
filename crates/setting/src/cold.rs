//! The bound on the requests that a cold target gets.

use jsonc::{Reader, Value};
use unit::{Decimal, Rate};

const FIELDS: [&str; 2] = ["factor", "slack"];
/// A looser bound would have no limiting effect.
const MAX: f64 = 1_000_000.0;

/// The bound on the requests that a cold target gets within any second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// Multiplies the rate that the rules name for cold targets.
    pub factor: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Cold {
    /// The maximum number of requests within any second, for a target that bears `rate` while cold.
    ///
    /// ```
    /// use setting::Cold;
    /// use unit::Rate;
    ///
    /// let cold = Cold { factor: 1.5, slack: 8.0 };
    /// assert_eq!(cold.max_starts(Rate::of(8.7)), 21);
    /// ```
    pub fn max_starts(&self, rate: Rate) -> usize {
        let max = rate.per_second() * self.factor + self.slack;
        max.clamp(0.0, MAX) as usize
    }
}

/// Reads the bound. The platform may compute the values; empty ones mean that there is no bound.
pub(crate) fn read<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Cold> {
    let fields = reader.object(value, &FIELDS)?;
    let mut number = |name| {
        let value = reader.required(&fields, name)?;
        let text = reader.numeral(value)?;
        Some((value, text.to_string()))
    };
    let (factor, slack) = (number("factor")?, number("slack")?);
    if factor.1.is_empty() && slack.1.is_empty() {
        return None;
    }
    let mut decimal = |(value, text): (&Value<'t>, String)| {
        let found = text.parse::<Decimal>().ok();
        let found = found.filter(|found| (0.0..=MAX).contains(&found.get()));
        if found.is_none() {
            let cause = format!("{text:?} is out of range: expected a number from 0 to {MAX}");
            reader.fault_at(value, cause);
        }
        found.map(Decimal::get)
    };
    let (factor, slack) = (decimal(factor), decimal(slack));
    Some(Cold {
        factor: factor?,
        slack: slack?,
    })
}
