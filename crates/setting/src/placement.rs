//! How a daemon chooses among targets of several regions and of unlike speed.

use std::time::Duration;

use jsonc::{Reader, Value};
use unit::Span;

const FIELDS: [&str; 2] = ["region_delay", "uneven"];
/// Twice the delay half around the earth; a longer one is a mistake in the unit.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// How a daemon chooses among targets of several regions and of unlike speed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Placement {
    /// One-way network delay between regions, used until links have measured it, instead of the
    /// usual one.
    pub region_delay: Option<Duration>,
    /// Whether service times are learned by class of work and target, and a slot of the target is
    /// kept for short nested calls; `false` by default.
    pub uneven: bool,
}

pub(crate) fn read<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Placement> {
    let fields = reader.object(value, &FIELDS)?;
    let delay = fields.get("region_delay");
    let delay = delay.and_then(|value| delay_of(reader, value));
    let uneven = fields.get("uneven").and_then(|value| reader.flag(value));
    Some(Placement {
        region_delay: delay,
        uneven: uneven.unwrap_or(false),
    })
}

fn delay_of<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Duration> {
    let text = reader.text(value)?;
    let delay = text.parse::<Span>().ok().map(|span| span.0);
    let delay = delay.filter(|delay| *delay <= MAX_DELAY);
    if delay.is_none() {
        let cause = format!("{text:?} is not a delay: expected 0ms to 500ms, such as 8ms");
        reader.fault_at(value, cause);
    }
    delay
}
