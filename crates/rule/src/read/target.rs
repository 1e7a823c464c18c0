//! Parses the settings of services' targets.

use std::collections::BTreeMap;

use jsonc::{Reader, Value};
use unit::{Rate, Service, Span};

use crate::Target;
use crate::path::MAX_PATH_BYTES;

const FIELDS: [&str; 4] = ["health", "connections", "cold_rate", "warmup"];
const MAX_CONNECTIONS: u32 = 1_000_000;
const MAX_COLD_RATE: Rate = Rate::of(1_000_000.0);

pub(super) fn targets<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> BTreeMap<Service, Target> {
    let mut targets = BTreeMap::new();
    let Some(fields) = reader.entries(value, "an object of services") else {
        return targets;
    };
    for field in fields.iter() {
        let service = field.name.parse::<Service>();
        if let Err(cause) = &service {
            reader.fault(field.at, cause.to_string());
        }
        let target = target(reader, field.value);
        if let (Ok(service), Some(target)) = (service, target) {
            targets.insert(service, target);
        }
    }
    targets
}

fn target<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Target> {
    let fields = reader.object(value, &FIELDS)?;
    let health = fields
        .get("health")
        .and_then(|value| health_path(reader, value));
    let connections = fields
        .get("connections")
        .and_then(|value| reader.count(value, 1..=MAX_CONNECTIONS));
    let cold_rate = fields
        .get("cold_rate")
        .and_then(|value| cold_rate(reader, value));
    let warmup = fields
        .get("warmup")
        .and_then(|value| reader.parsed::<Span>(value));
    Some(Target {
        health,
        connections,
        cold_rate,
        warmup: warmup.map(|Span(warmup)| warmup),
    })
}

fn cold_rate<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Rate> {
    let rate: Rate = reader.parsed(value)?;
    if rate > MAX_COLD_RATE {
        let cause = format!("{rate} is out of range: expected at most {MAX_COLD_RATE}");
        reader.fault_at(value, cause);
        return None;
    }
    Some(rate)
}

fn health_path<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<String> {
    let text = reader.text(value)?;
    let graphic = text.bytes().all(|byte| byte.is_ascii_graphic());
    if !text.starts_with('/') || text.len() > MAX_PATH_BYTES || !graphic {
        let cause = format!(
            "{text:?} is not a path: expected at most {MAX_PATH_BYTES} bytes of printable ASCII \
             that begin with a slash"
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(text.to_string())
}
