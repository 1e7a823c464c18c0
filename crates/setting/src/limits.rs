//! The bounds of one process.

use std::time::Duration;

use jsonc::{Fields, Reader, Value};
use unit::{Size, Span};

const FIELDS: [&str; 8] = [
    "head",
    "body",
    "idle",
    "head_timeout",
    "connections",
    "queue",
    "depth",
    "drain",
];

const HEAD: Range<Size> = Range(Size::of(1_000), Size::of(1_000_000));
const BODY: Range<Size> = Range(Size::of(0), Size::of(10_000_000_000));
const IDLE: Range<Span> = Range(seconds(1), seconds(3_600));
const HEAD_TIMEOUT: Range<Span> = Range(Span(Duration::from_millis(100)), seconds(300));
const DRAIN: Range<Span> = Range(Span(Duration::from_millis(100)), seconds(86_400));
const MAX_CONNECTIONS: u32 = 1_000_000;
const MAX_QUEUE: u32 = 10_000;
const MAX_DEPTH: u32 = 64;

/// The least and the greatest that is taken.
#[derive(Debug, Clone, Copy)]
struct Range<T>(T, T);

/// The bounds of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The longest head of a request; 64 KB by default.
    pub head: Size,
    /// The longest body of a request; 64 MB by default.
    pub body: Size,
    /// How long a caller's connection may lie idle; 60 s by default.
    pub idle: Span,
    /// How long a caller may take to send the head of a request; 10 s by default.
    pub head_timeout: Span,
    /// Connections of callers at once; 4,096 by default.
    pub connections: u32,
    /// Requests that may wait at the gate for each that the gate lets run; 64 by default.
    pub queue: u32,
    /// How many calls deep a nested call may be; 9 by default.
    pub depth: u8,
    /// How long a planned stop waits for running requests; reported when hit. 120 s by default.
    pub drain: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head: Size::of(64_000),
            body: Size::of(64_000_000),
            idle: seconds(60),
            head_timeout: seconds(10),
            connections: 4_096,
            queue: 64,
            depth: 9,
            drain: seconds(120),
        }
    }
}

const fn seconds(count: u64) -> Span {
    Span(Duration::from_secs(count))
}

pub(crate) fn read<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Limits> {
    let fields = reader.object(value, &FIELDS)?;
    let default = Limits::default();
    Some(Limits {
        head: bounded(reader, &fields, "head", HEAD).unwrap_or(default.head),
        body: bounded(reader, &fields, "body", BODY).unwrap_or(default.body),
        idle: bounded(reader, &fields, "idle", IDLE).unwrap_or(default.idle),
        head_timeout: bounded(reader, &fields, "head_timeout", HEAD_TIMEOUT)
            .unwrap_or(default.head_timeout),
        connections: count(reader, &fields, "connections", MAX_CONNECTIONS)
            .unwrap_or(default.connections),
        queue: count(reader, &fields, "queue", MAX_QUEUE).unwrap_or(default.queue),
        depth: depth(reader, &fields).unwrap_or(default.depth),
        drain: bounded(reader, &fields, "drain", DRAIN).unwrap_or(default.drain),
    })
}

/// Reads one limit; a fault is noted, and the default stands in for it until the end.
fn bounded<'t, T>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    name: &str,
    range: Range<T>,
) -> Option<T>
where
    T: std::str::FromStr<Err = unit::Error> + std::fmt::Display + PartialOrd,
{
    let value = fields.get(name)?;
    let found: T = reader.parsed(value)?;
    let Range(min, max) = range;
    if found < min || found > max {
        let cause = format!("{found} is out of range: expected {min} to {max}");
        reader.fault_at(value, cause);
        return None;
    }
    Some(found)
}

fn count<'t>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    name: &str,
    max: u32,
) -> Option<u32> {
    let value = fields.get(name)?;
    reader.count(value, 1..=max)
}

fn depth<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> Option<u8> {
    let depth = count(reader, fields, "depth", MAX_DEPTH)?;
    u8::try_from(depth).ok()
}
