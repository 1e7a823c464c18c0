//! How requests of workspaces are counted over the fleet.

use std::time::Duration;

use jsonc::{Reader, Value};
use unit::{Decimal, Span};

const FIELDS: [&str; 3] = ["window", "overage", "slack"];
const MIN_WINDOW: Duration = Duration::from_millis(100);
const MAX_WINDOW: Duration = Duration::from_secs(60);
/// A larger overage or slack would have no limiting effect.
const MAX_OVERAGE: f64 = 10.0;
const MAX_SLACK: u64 = 1_000_000;

/// How requests of workspaces are counted over the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// The length of the sliding window.
    pub window: Duration,
    /// The part of the limit by which the fleet may exceed it.
    pub overage: f64,
    /// Requests by which the fleet may exceed the limit beyond that.
    pub slack: u32,
}

pub(crate) fn read<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Quota> {
    let fields = reader.object(value, &FIELDS)?;
    let window = reader.required(&fields, "window");
    let window = window.and_then(|value| window_length(reader, value));
    let overage = reader.required(&fields, "overage");
    let overage = overage.and_then(|value| number(reader, value, MAX_OVERAGE));
    let slack = reader.required(&fields, "slack");
    let slack = slack.and_then(|value| number(reader, value, MAX_SLACK as f64));
    Some(Quota {
        window: window?,
        overage: overage?.get(),
        // Rounding down is safe: fewer requests never exceed the hard limit.
        slack: u32::try_from(slack?.down()?).ok()?,
    })
}

fn window_length<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Duration> {
    let Span(window) = reader.parsed(value)?;
    if !(MIN_WINDOW..=MAX_WINDOW).contains(&window) {
        let cause = format!(
            "a window of {}: expected {} to {}",
            Span(window),
            Span(MIN_WINDOW),
            Span(MAX_WINDOW)
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(window)
}

fn number<'t>(reader: &mut Reader<'t>, value: &Value<'t>, max: f64) -> Option<Decimal> {
    let text = reader.numeral(value)?;
    let found = text.parse::<Decimal>().ok();
    let found = found.filter(|found| (0.0..=max).contains(&found.get()));
    if found.is_none() {
        let cause = format!("{text:?} is out of range: expected a number from 0 to {max}");
        reader.fault_at(value, cause);
    }
    found
}
