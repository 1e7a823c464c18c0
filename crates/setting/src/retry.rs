//! The retry budget of the fleet's entries.

use jsonc::{Reader, Value};
use unit::Decimal;

const FIELDS: [&str; 2] = ["share", "saved"];
/// A larger budget would have no limiting effect; the same holds for [`MAX_SHARE`].
const MAX_SAVED: u64 = 1_000_000;
const MAX_SHARE: f64 = 1.0;

/// The budget of all entries together for retries to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Retry {
    /// Retries per request; 0.1 by default.
    pub share: f64,
    /// Additional retries within a few seconds; 20 for each entry by default.
    pub saved: Option<u32>,
}

impl Default for Retry {
    fn default() -> Retry {
        Retry {
            share: 0.1,
            saved: None,
        }
    }
}

pub(crate) fn read<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Retry> {
    let fields = reader.object(value, &FIELDS)?;
    let share = fields.get("share");
    let share = share.and_then(|value| budget(reader, value));
    let saved = fields.get("saved");
    let saved = saved.and_then(|value| budget(reader, value));
    Some(Retry {
        share: share.map_or(Retry::default().share, |share| share.get().min(MAX_SHARE)),
        // Rounding down and capping at the maximum are safe: fewer retries never exceed the budget.
        saved: saved
            .and_then(Decimal::down)
            .map(|saved| saved.min(MAX_SAVED) as u32),
    })
}

/// Reads one value of the budget. The platform may compute the value; an empty string means that
/// none is given.
fn budget<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Decimal> {
    let text = reader.numeral(value).filter(|text| !text.is_empty())?;
    let found = text.parse::<Decimal>();
    let found = found.ok().filter(|found| found.get() >= 0.0);
    if found.is_none() {
        let cause = format!("{text:?} is not a budget: expected a number that is not negative");
        reader.fault_at(value, cause);
    }
    found
}
