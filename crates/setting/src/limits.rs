//! The resource limits of one process.

use std::time::Duration;

use jsonc::{Fields, Reader, Value};
use unit::{Decimal, Size, Span};

const FIELDS: [&str; 10] = [
    "head",
    "body",
    "idle",
    "head_timeout",
    "connections",
    "queue",
    "depth",
    "drain",
    "memory",
    "descriptors",
];

const HEAD_RANGE: Range<Size> = Range(Size::of(1_000), Size::of(1_000_000));
const BODY_RANGE: Range<Size> = Range(Size::of(0), Size::of(10_000_000_000));
const IDLE_RANGE: Range<Span> = Range(seconds(1), seconds(3_600));
const HEAD_TIMEOUT_RANGE: Range<Span> = Range(Span(Duration::from_millis(100)), seconds(300));
const DRAIN_RANGE: Range<Span> = Range(Span(Duration::from_millis(100)), seconds(86_400));
const MAX_CONNECTIONS: u32 = 1_000_000;
const MAX_QUEUE: u32 = 10_000;
const MAX_DEPTH: u32 = 64;

const MEMORY_RANGE: Range<Size> = Range(Size::of(32_000_000), Size::of(1_000_000_000_000));
const MIN_DESCRIPTORS: u32 = 300;
const MAX_DESCRIPTORS: u32 = 1_000_000;

/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u32 = 200;

/// The smallest and the largest value that is accepted.
#[derive(Debug, Clone, Copy)]
struct Range<T>(T, T);

/// The resource limits of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request head; 64 KB by default.
    pub head: Size,
    /// The maximum size of a request body; 64 MB by default.
    pub body: Size,
    /// How long a caller's connection may be idle; 60 s by default.
    pub idle: Span,
    /// How long a caller may take to send a request head; 10 s by default.
    pub head_timeout: Span,
    /// The maximum number of concurrent connections of callers; 4,096 by default. See
    /// [`Limits::client_connections`].
    pub connections: u32,
    /// The maximum number of requests queued at the gate for each request that the gate lets run
    /// concurrently; 64 by default.
    pub queue: u32,
    /// The maximum depth of nested calls; 9 by default.
    pub depth: u8,
    /// How long a planned stop waits for running requests; 120 s by default. Reaching this limit is
    /// reported.
    pub drain: Span,
    /// The memory that the machine has for this process; 260 MB by default.
    pub memory: Size,
    /// The descriptors that the machine has for this process; 4,100 by default.
    pub descriptors: u32,
}

impl Limits {
    /// What callers may make this process hold. The rest is for links, targets, the rules and what the
    /// allocator can't reuse.
    pub fn client_memory(&self) -> Size {
        Size::of(self.memory.bytes() / 8 * 3)
    }

    /// Connections that callers may have. The rest of the descriptors is for links, targets, the store
    /// and the platform.
    pub fn client_connections(&self) -> u32 {
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        self.connections.min(sockets / 4 * 3)
    }
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
            memory: Size::of(260_000_000),
            descriptors: 4_100,
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
        head: bounded(reader, &fields, "head", HEAD_RANGE).unwrap_or(default.head),
        body: bounded(reader, &fields, "body", BODY_RANGE).unwrap_or(default.body),
        idle: bounded(reader, &fields, "idle", IDLE_RANGE).unwrap_or(default.idle),
        head_timeout: bounded(reader, &fields, "head_timeout", HEAD_TIMEOUT_RANGE)
            .unwrap_or(default.head_timeout),
        connections: count(reader, &fields, "connections", MAX_CONNECTIONS)
            .unwrap_or(default.connections),
        queue: count(reader, &fields, "queue", MAX_QUEUE).unwrap_or(default.queue),
        depth: depth(reader, &fields).unwrap_or(default.depth),
        drain: bounded(reader, &fields, "drain", DRAIN_RANGE).unwrap_or(default.drain),
        memory: memory(reader, &fields).unwrap_or(default.memory),
        descriptors: descriptors(reader, &fields).unwrap_or(default.descriptors),
    })
}

/// Reads one limit if present. After a fault, the caller continues with the default so that later
/// faults are found too.
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

/// Reads the memory of the machine. A platform may work it out, so that it may be a part of a megabyte.
fn memory<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> Option<Size> {
    let value = fields.get("memory")?;
    let text = reader.text(value)?;
    let megabytes = text.strip_suffix("MB").and_then(whole_part);
    let computed = megabytes.and_then(|count| count.checked_mul(1_000_000));
    let found = text.parse().ok().or_else(|| computed.map(Size::of));
    let Range(min, max) = MEMORY_RANGE;
    let found = found.filter(|found| (min..=max).contains(found));
    if found.is_none() {
        let cause = format!("{text:?} is out of range: expected {min} to {max}");
        reader.fault_at(value, cause);
    }
    found
}

/// Reads the number of descriptors, which a platform may work out too.
fn descriptors<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> Option<u32> {
    let value = fields.get("descriptors")?;
    let text = reader.numeral(value)?;
    let found = whole_part(text).and_then(|count| u32::try_from(count).ok());
    let found = found.filter(|found| (MIN_DESCRIPTORS..=MAX_DESCRIPTORS).contains(found));
    if found.is_none() {
        let cause = format!(
            "{text} is out of range: expected a whole number from {MIN_DESCRIPTORS} to \
             {MAX_DESCRIPTORS}"
        );
        reader.fault_at(value, cause);
    }
    found
}

fn whole_part(text: &str) -> Option<u64> {
    text.parse::<Decimal>().ok().and_then(Decimal::down)
}
