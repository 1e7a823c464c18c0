//! Parses the limits on what callers may send.

use std::time::Duration;

use jsonc::{Fields, Reader, Value};
use unit::{Size, Span};

use crate::ConnectionLimits;

const FIELDS: [&str; 4] = ["head", "body", "head_timeout", "idle"];

/// Maximum of the time limits; a longer time is most likely a mistaken unit.
const MAX_DURATION: Duration = Duration::from_secs(3_600);

pub(super) fn connection_limits<'t>(
    reader: &mut Reader<'t>,
    value: &Value<'t>,
) -> Option<ConnectionLimits> {
    let fields = reader.object(value, &FIELDS)?;
    Some(ConnectionLimits {
        head: size(reader, &fields, "head"),
        body: size(reader, &fields, "body"),
        head_timeout: duration(reader, &fields, "head_timeout"),
        idle: duration(reader, &fields, "idle"),
    })
}

fn size<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, name: &str) -> Option<Size> {
    let value = fields.get(name)?;
    reader.parsed(value)
}

fn duration<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, name: &str) -> Option<Duration> {
    let value = fields.get(name)?;
    let Span(duration) = reader.parsed(value)?;
    if duration.is_zero() || duration > MAX_DURATION {
        let cause = format!(
            "a {name} of {}: expected more than 0s and at most {}",
            Span(duration),
            Span(MAX_DURATION)
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(duration)
}
