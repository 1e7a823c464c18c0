//! Reads what a rule does.

use std::time::Duration;

use jsonc::{Fields, Reader, Value};
use unit::{Size, Span, Urgency};

use super::header_name;
use crate::{Key, Preference, Refusal, Route, Then, WeightedService};

const FIELDS: [&str; 16] = [
    "service",
    "urgency",
    "once",
    "timeout",
    "retries",
    "hedge",
    "per_caller",
    "weight",
    "zone",
    "measuring",
    "refuse",
    "split",
    "priority",
    "objective",
    "repeat",
    "attempts",
];

/// Longest timeout; a caller that waits longer has long gone.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);
const MAX_RETRIES: u32 = 10;
const MAX_ATTEMPTS: u32 = 100;
const MAX_PRIORITY: u32 = 1_000;
const MAX_PARTS: usize = 64;
const MAX_SHARE: u32 = 1_000_000;
const MAX_PER_CALLER: u32 = 100_000;
const MAX_WEIGHT: u32 = 1_000;
const MAX_MEASURING: Size = Size::of(1_000_000);
const MAX_REASON: usize = 256;
const MAX_PARAMETER: usize = 128;

pub(super) fn then<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Then> {
    let fields = reader.object(value, &FIELDS)?;
    match fields.get("refuse") {
        Some(value) => {
            check_alone(reader, &fields);
            refuse(reader, value).map(Then::Refuse)
        }
        None => route(reader, &fields).map(Then::Route),
    }
}

fn check_alone<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) {
    for field in fields.iter() {
        if field.name != "refuse" && FIELDS.contains(&field.name) {
            let cause = format!(
                "{:?} beside \"refuse\": expected one of the two",
                field.name
            );
            reader.fault(field.at, cause);
        }
    }
}

fn refuse<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Refusal> {
    let fields = reader.object(value, &["status", "reason"])?;
    let status = reader.required(&fields, "status");
    let status = status.and_then(|value| reader.whole(value, 400..=599));
    let reason = reader.required(&fields, "reason");
    let reason = reason.and_then(|value| reason_text(reader, value));
    Some(Refusal {
        status: u16::try_from(status?).ok()?,
        reason: reason?,
    })
}

fn reason_text<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<String> {
    let text = reader.text(value)?;
    if text.is_empty() || text.len() > MAX_REASON || text.chars().any(char::is_control) {
        let cause = format!("{text:?} is no reason: expected one line of 1 to {MAX_REASON} bytes");
        reader.fault_at(value, cause);
        return None;
    }
    Some(text.to_string())
}

fn route<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> Option<Route> {
    let split = fields.get("split").and_then(|value| split(reader, value));
    let service = match (&split, fields.get("split")) {
        (Some(parts), _) => parts.first().map(|part| part.service.clone()),
        // Its faults are noted already.
        (None, Some(_)) => None,
        (None, None) => service(reader, fields),
    };
    let priority = count(reader, fields, "priority", 0, MAX_PRIORITY);
    let objective = fields
        .get("objective")
        .and_then(|value| span(reader, value, "an objective"));
    let repeat = fields.get("repeat").and_then(|value| reader.flag(value));
    let attempts = count(reader, fields, "attempts", 1, MAX_ATTEMPTS);
    let urgency = fields
        .get("urgency")
        .and_then(|value| urgency(reader, value));
    let once = fields.get("once").and_then(|value| key(reader, value));
    let timeout = fields
        .get("timeout")
        .and_then(|value| timeout(reader, value));
    let retries = count(reader, fields, "retries", 0, MAX_RETRIES);
    let hedge = fields.get("hedge").and_then(|value| reader.flag(value));
    let per_caller = count(reader, fields, "per_caller", 1, MAX_PER_CALLER);
    let weight = count(reader, fields, "weight", 1, MAX_WEIGHT);
    let zone = fields
        .get("zone")
        .and_then(|value| preference(reader, value));
    let measuring = fields
        .get("measuring")
        .and_then(|value| measuring(reader, value));
    check_hedge(reader, fields, hedge);
    check_pairs(reader, fields);
    let default = Route::to(service?);
    Some(Route {
        split: split.unwrap_or_default(),
        priority,
        objective,
        repeat: repeat.unwrap_or(default.repeat),
        attempts,
        urgency: urgency.unwrap_or(default.urgency),
        once,
        timeout: timeout.unwrap_or(default.timeout),
        retries: retries.unwrap_or(default.retries),
        hedge: hedge.unwrap_or(default.hedge),
        per_caller,
        weight: weight.unwrap_or(default.weight),
        zone: zone.unwrap_or(default.zone),
        measuring: measuring.unwrap_or(default.measuring),
        ..default
    })
}

fn service<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> Option<unit::Service> {
    let Some(value) = fields.get("service") else {
        reader.fault(
            fields.at(),
            "neither \"service\" nor \"refuse\": expected one of the two",
        );
        return None;
    };
    reader.parsed(value)
}

/// Reads the parts of a route; those of no weight get no requests and are left out.
fn split<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Vec<WeightedService>> {
    let list = reader.list(value, MAX_PARTS)?;
    let mut parts = Vec::with_capacity(list.len());
    for value in list {
        let Some(fields) = reader.object(value, &["service", "weight"]) else {
            continue;
        };
        let service = reader.required(&fields, "service");
        let service = service.and_then(|value| reader.parsed(value));
        let weight = reader.required(&fields, "weight");
        let weight = weight.and_then(|value| reader.count(value, 0..=MAX_SHARE));
        if let (Some(service), Some(weight)) = (service, weight) {
            parts.push(WeightedService { service, weight });
        }
    }
    if parts.iter().all(|part| part.weight == 0) {
        reader.fault_at(value, "no part has a weight: expected one above 0");
        return None;
    }
    parts.retain(|part| part.weight > 0);
    Some(parts)
}

/// Fields of which a rule gives one and not both.
const PAIRS: [(&str, &str); 3] = [
    ("service", "split"),
    ("urgency", "priority"),
    ("once", "repeat"),
];

fn check_pairs<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) {
    for (one, other) in PAIRS {
        let given = |name: &str| fields.iter().find(|field| field.name == name);
        if let (Some(_), Some(field)) = (given(one), given(other)) {
            let cause = format!("\"{other}\" beside \"{one}\": expected one of the two");
            reader.fault(field.at, cause);
        }
    }
}

/// A hedge sends the request a second time while the first may run, which `once` rules out.
fn check_hedge<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, hedge: Option<bool>) {
    if hedge != Some(true) || fields.get("once").is_none() {
        return;
    }
    let field = fields.iter().find(|field| field.name == "hedge");
    let at = field.map_or(fields.at(), |field| field.at);
    reader.fault(
        at,
        "\"hedge\" beside \"once\" could run twice: expected one of the two",
    );
}

fn count<'t>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    name: &str,
    min: u32,
    max: u32,
) -> Option<u32> {
    let value = fields.get(name)?;
    reader.count(value, min..=max)
}

fn urgency<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Urgency> {
    let choices = Urgency::ALL.map(|urgency| (urgency.to_string(), urgency));
    let choices = choices
        .each_ref()
        .map(|(name, urgency)| (name.as_str(), *urgency));
    reader.choice(value, &choices)
}

fn preference<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Preference> {
    let choices = [
        ("near", Preference::Near),
        ("any", Preference::Any),
        ("only", Preference::Only),
    ];
    reader.choice(value, &choices)
}

fn timeout<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Duration> {
    span(reader, value, "a timeout")
}

fn span<'t>(reader: &mut Reader<'t>, value: &Value<'t>, what: &str) -> Option<Duration> {
    let Span(timeout) = reader.parsed(value)?;
    if timeout.is_zero() || timeout > MAX_TIMEOUT {
        let cause = format!(
            "{what} of {}: expected more than 0s and at most {}",
            Span(timeout),
            Span(MAX_TIMEOUT)
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(timeout)
}

fn measuring<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Size> {
    let size: Size = reader.parsed(value)?;
    if size > MAX_MEASURING {
        let cause = format!("{size} a second: expected at most {MAX_MEASURING}");
        reader.fault_at(value, cause);
        return None;
    }
    Some(size)
}

fn key<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Key> {
    let fields = reader.object(value, &["header", "query"])?;
    match (fields.get("header"), fields.get("query")) {
        (Some(name), None) => header_key(reader, name),
        (None, Some(name)) => query_key(reader, name),
        _ => {
            let cause = "the key's place: expected either \"header\" or \"query\"";
            reader.fault(fields.at(), cause);
            None
        }
    }
}

fn header_key<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Key> {
    let name = header_name(reader, value)?;
    Some(Key::Header(name.to_string()))
}

fn query_key<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Key> {
    let name = reader.text(value)?;
    if name.is_empty() || name.len() > MAX_PARAMETER || name.chars().any(char::is_control) {
        let cause = format!("{name:?} is no parameter: expected 1 to {MAX_PARAMETER} bytes");
        reader.fault_at(value, cause);
        return None;
    }
    Some(Key::Query(name.to_string()))
}
