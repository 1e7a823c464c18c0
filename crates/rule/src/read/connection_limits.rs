//! Reads the bounds on callers.

use std::time::Duration;

use jsonc::{Fields, Reader, Value};
use unit::{Size, Span};

use crate::ConnectionLimits;

const FIELDS: [&str; 4] = ["head", "body", "head_timeout", "idle"];

/// A longer time is most likely a unit mistaken for another.
const MAX_TIME: Duration = Duration::from_secs(3_600);

pub(super) fn connection_limits<'t>(
    reader: &mut Reader<'t>,
    value: &Value<'t>,
) -> Option<ConnectionLimits> {
    let fields = reader.object(value, &FIELDS)?;
    Some(ConnectionLimits {
        head: size(reader, &fields, "head"),
        body: size(reader, &fields, "body"),
        head_timeout: time(reader, &fields, "head_timeout"),
        idle: time(reader, &fields, "idle"),
    })
}

fn size<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, name: &str) -> Option<Size> {
    let value = fields.get(name)?;
    reader.parsed(value)
}

fn time<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, name: &str) -> Option<Duration> {
    let value = fields.get(name)?;
    let Span(time) = reader.parsed(value)?;
    if time.is_zero() || time > MAX_TIME {
        let cause = format!(
            "a {name} of {}: expected more than 0s and at most {}",
            Span(time),
            Span(MAX_TIME)
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(time)
}
