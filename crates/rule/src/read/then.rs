//! Parses the action of a rule.

use std::time::Duration;

use jsonc::{Fields, Reader, Value};
use unit::{Size, Span, Urgency};

use super::workspaces::regions_of;
use super::{MAX_PRIORITY, header_name};
use crate::{Key, Preference, Refusal, Route, Then, WeightedService};

const FIELDS: [&str; 19] = [
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
    "public",
    "bulk",
    "regions",
];

/// Maximum timeout and objective; callers don't wait longer than this.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);
const MAX_RETRIES: u32 = 10;
const MAX_ATTEMPTS: u32 = 100;
const MAX_SPLIT_SERVICES: usize = 64;
const MAX_SPLIT_WEIGHT: u32 = 1_000_000;
const MAX_PER_CALLER: u32 = 100_000;
const MAX_WEIGHT: u32 = 1_000;
const MAX_MEASURING_PER_SECOND: Size = Size::of(1_000_000);
const MAX_REASON_BYTES: usize = 256;
const MAX_PARAMETER_BYTES: usize = 128;

pub(super) fn then<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Then> {
    let fields = reader.object(value, &FIELDS)?;
    match fields.get("refuse") {
        Some(value) => {
            check_refuse_alone(reader, &fields);
            refuse(reader, value).map(Then::Refuse)
        }
        None => route(reader, &fields).map(Then::Route),
    }
}

fn check_refuse_alone<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) {
    for field in fields.iter() {
        if field.name != "refuse" && FIELDS.contains(&field.name) {
            let cause = format!(
                "{:?} together with \"refuse\": expected only one of the two",
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
    if text.is_empty() || text.len() > MAX_REASON_BYTES || text.chars().any(char::is_control) {
        let cause =
            format!("{text:?} is not a reason: expected one line of 1 to {MAX_REASON_BYTES} bytes");
        reader.fault_at(value, cause);
        return None;
    }
    Some(text.to_string())
}

fn route<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> Option<Route> {
    let split = fields.get("split").and_then(|value| split(reader, value));
    let service = match (&split, fields.get("split")) {
        (Some(services), _) => services.first().map(|weighted| weighted.service.clone()),
        // The faults of `split` are already reported.
        (None, Some(_)) => None,
        (None, None) => service(reader, fields),
    };
    let priority = count(reader, fields, "priority", 0, MAX_PRIORITY);
    let objective = fields
        .get("objective")
        .and_then(|value| duration(reader, value, "an objective"));
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
    let public = fields.get("public").and_then(|value| reader.flag(value));
    let bulk = fields.get("bulk").and_then(|value| reader.flag(value));
    let regions = fields
        .get("regions")
        .and_then(|value| regions_of(reader, value));
    check_hedge(reader, fields, hedge);
    check_exclusive_pairs(reader, fields);
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
        public: public.unwrap_or(default.public),
        bulk: bulk.unwrap_or(default.bulk),
        regions,
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

/// Parses the weighted services of a route; those with weight 0 are left out.
fn split<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Vec<WeightedService>> {
    let list = reader.list(value, MAX_SPLIT_SERVICES)?;
    let mut services = Vec::with_capacity(list.len());
    for value in list {
        let Some(fields) = reader.object(value, &["service", "weight"]) else {
            continue;
        };
        let service = reader.required(&fields, "service");
        let service = service.and_then(|value| reader.parsed(value));
        let weight = reader.required(&fields, "weight");
        let weight = weight.and_then(|value| reader.count(value, 0..=MAX_SPLIT_WEIGHT));
        if let (Some(service), Some(weight)) = (service, weight) {
            services.push(WeightedService { service, weight });
        }
    }
    if services.iter().all(|weighted| weighted.weight == 0) {
        reader.fault_at(value, "all weights are 0: expected at least one above 0");
        return None;
    }
    services.retain(|weighted| weighted.weight > 0);
    Some(services)
}

/// Pairs of fields that exclude each other.
const EXCLUSIVE_PAIRS: [(&str, &str); 3] = [
    ("service", "split"),
    ("urgency", "priority"),
    ("once", "repeat"),
];

fn check_exclusive_pairs<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) {
    for (one, other) in EXCLUSIVE_PAIRS {
        let given = |name: &str| fields.iter().find(|field| field.name == name);
        if let (Some(_), Some(field)) = (given(one), given(other)) {
            let cause =
                format!("\"{other}\" together with \"{one}\": expected only one of the two");
            reader.fault(field.at, cause);
        }
    }
}

/// Refuses `hedge` together with `once`.
///
/// A hedge sends the request a second time while the first attempt may still run, so the request
/// could run twice.
fn check_hedge<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, hedge: Option<bool>) {
    if hedge != Some(true) || fields.get("once").is_none() {
        return;
    }
    let field = fields.iter().find(|field| field.name == "hedge");
    let at = field.map_or(fields.at(), |field| field.at);
    reader.fault(
        at,
        "\"hedge\" together with \"once\" could run a request twice: expected only one of the two",
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
    duration(reader, value, "a timeout")
}

fn duration<'t>(reader: &mut Reader<'t>, value: &Value<'t>, what: &str) -> Option<Duration> {
    let Span(duration) = reader.parsed(value)?;
    if duration.is_zero() || duration > MAX_TIMEOUT {
        let cause = format!(
            "{what} of {}: expected more than 0s and at most {}",
            Span(duration),
            Span(MAX_TIMEOUT)
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(duration)
}

fn measuring<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Size> {
    let size: Size = reader.parsed(value)?;
    if size > MAX_MEASURING_PER_SECOND {
        let cause = format!("{size} per second: expected at most {MAX_MEASURING_PER_SECOND}");
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
            let cause = "the location of the key: expected either \"header\" or \"query\"";
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
    if name.is_empty() || name.len() > MAX_PARAMETER_BYTES || name.chars().any(char::is_control) {
        let cause = format!(
            "{name:?} is not a query parameter name: expected 1 to {MAX_PARAMETER_BYTES} bytes \
             without control characters"
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(Key::Query(name.to_string()))
}
