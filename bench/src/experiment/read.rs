//! Reads a workload from JSON with comments.

use std::ops::RangeInclusive;
use std::time::Duration;

use jsonc::{Fields, Reader, Value};
use unit::Span;

use super::compare::FIGURES;
use super::workload::{Bound, Workload, requests};
use crate::policy::{CLASSES, Choice, Fault, Mode, PERIOD, Part, Scenario, Spell, steady};

const FIELDS: [&str; 17] = [
    "name", "targets", "slots", "zones", "way", "client", "service", "load", "deadline", "goal",
    "returns", "spells", "fault", "rounds", "seeds", "modes", "bounds",
];
const URGENCIES: [&str; 2] = ["urgent", "routine"];
const CHOICES: [(&str, Choice); 5] = [
    ("appleshore", Choice::Pick),
    ("random", Choice::Random),
    ("round robin", Choice::Robin),
    ("least own", Choice::Least),
    ("two choices", Choice::Two),
];
const PARTS: [(&str, Part); 5] = [
    ("rides", Part::Ride),
    ("probes", Part::Probe),
    ("notices", Part::Notice),
    ("hand-overs", Part::HandOver),
    ("hedges", Part::Hedge),
];
const KINDS: [&str; 6] = ["batch", "storm", "slow", "fail", "cold", "zone"];

const TARGETS: RangeInclusive<u32> = 1..=400;
const SLOTS: RangeInclusive<u32> = 1..=1_000;
const LOAD: RangeInclusive<u64> = 1..=1_000;
const TIMES: RangeInclusive<u32> = 2..=100;
const ROUNDS: RangeInclusive<u32> = 1..=100;
const SEEDS: RangeInclusive<u32> = 2..=1_000;
const MAX_MODES: usize = 20;
const MAX_BOUNDS: usize = 100;
const MAX_SPAN: Duration = Duration::from_secs(60);
/// Requests of one run; each takes some hundred bytes until the end.
const MAX_REQUESTS: u64 = 5_000_000;
const DEFAULT_SEEDS: u32 = 8;

pub(super) fn workload<'t>(reader: &mut Reader<'t>, root: &Value<'t>) -> Option<Workload> {
    let fields = reader.object(root, &FIELDS)?;
    let scenario = scenario(reader, &fields)?;
    let seeds = fields.get("seeds");
    let seeds = seeds.and_then(|seeds| reader.count(seeds, SEEDS));
    let modes = modes(reader, &fields);
    let bounds = bounds(reader, &fields, &modes);
    let asked = requests(&scenario);
    if asked > MAX_REQUESTS {
        let cause = format!("{asked} requests in a run: expected at most {MAX_REQUESTS}");
        reader.fault(fields.at(), cause);
    }
    Some(Workload {
        scenario,
        modes,
        seeds: seeds.unwrap_or(DEFAULT_SEEDS),
        bounds,
    })
}

fn scenario<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> Option<Scenario> {
    let usual = steady();
    let name = reader.required(fields, "name");
    let name = name.and_then(|name| reader.text(name)).unwrap_or_default();
    let targets = count(reader, fields, "targets", TARGETS).unwrap_or(usual.targets as u32);
    let slots = count(reader, fields, "slots", SLOTS);
    let zones = count(reader, fields, "zones", 1..=targets).unwrap_or(targets.min(4));
    let load = fields.get("load").and_then(|load| reader.whole(load, LOAD));
    let rounds = count(reader, fields, "rounds", ROUNDS);
    let returns = fields.get("returns").and_then(|flag| reader.flag(flag));
    let (fault, length) = fault(reader, fields).unwrap_or((Fault::None, usual.length));
    Some(Scenario {
        regions: None,
        uneven: false,
        name: name.to_string(),
        targets: targets as usize,
        slots: slots
            .and_then(|slots| u16::try_from(slots).ok())
            .unwrap_or(usual.slots),
        zones: zones as usize,
        way: span(reader, fields, "way").unwrap_or(usual.way),
        client: span(reader, fields, "client").unwrap_or(usual.client),
        service: span(reader, fields, "service").unwrap_or(usual.service),
        load: load.unwrap_or(usual.load),
        due: by_urgency(reader, fields, "deadline").unwrap_or(usual.due),
        goal: by_urgency(reader, fields, "goal"),
        returns: returns.unwrap_or(false),
        spell: spell(reader, fields),
        fault,
        rounds: rounds.unwrap_or(usual.rounds),
        length,
        from: Duration::ZERO,
        to: PERIOD,
    })
}

fn count<'t>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    name: &str,
    range: RangeInclusive<u32>,
) -> Option<u32> {
    reader.count(fields.get(name)?, range)
}

/// A length of time above zero.
fn span<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, name: &str) -> Option<Duration> {
    let value = fields.get(name)?;
    let Span(span) = reader.parsed(value)?;
    if span.is_zero() || span > MAX_SPAN {
        let found = Span(span);
        let cause = format!("{found} is out of range: expected more than 0s, up to 1m");
        reader.fault_at(value, cause);
        return None;
    }
    Some(span)
}

fn by_urgency<'t>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    name: &str,
) -> Option<[Duration; 2]> {
    let spans = reader.object(fields.get(name)?, &URGENCIES)?;
    for urgency in URGENCIES {
        reader.required(&spans, urgency);
    }
    let [urgent, routine] = URGENCIES.map(|urgency| span(reader, &spans, urgency));
    Some([urgent?, routine?])
}

fn spell<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> Option<Spell> {
    let known = ["factor", "length", "gap"];
    let spell = reader.object(fields.get("spells")?, &known)?;
    for name in known {
        reader.required(&spell, name);
    }
    let factor = count(reader, &spell, "factor", TIMES);
    let [length, gap] = ["length", "gap"].map(|name| span(reader, &spell, name));
    Some(Spell {
        factor: factor?,
        length: length?,
        gap: gap?,
    })
}

/// A fault, and how long it lasts in each round.
fn fault<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> Option<(Fault, Duration)> {
    let fault = reader.object(fields.get("fault")?, &["kind", "times", "length"])?;
    let kind = reader.required(&fault, "kind")?;
    let kind = reader.choice(kind, &KINDS.map(|kind| (kind, kind)))?;
    let length = reader
        .required(&fault, "length")
        .and(span(reader, &fault, "length"))?;
    if length >= PERIOD {
        let cause = format!(
            "{} is out of range: expected less than {}",
            Span(length),
            Span(PERIOD)
        );
        reader.fault(fault.at(), cause);
    }
    let is_scaled = ["batch", "storm", "slow"].contains(&kind);
    let times = match is_scaled {
        true => reader
            .required(&fault, "times")
            .and(count(reader, &fault, "times", TIMES))?,
        false => 1,
    };
    let fault = match kind {
        "batch" => Fault::Batch(times.into()),
        "storm" => Fault::Storm(times.into()),
        "slow" => Fault::Slow(times),
        "fail" => Fault::Fail,
        "cold" => Fault::Cold,
        _ => Fault::Zone,
    };
    Some((fault, length))
}

/// The modes of the file behind appleshore itself.
fn modes<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> Vec<Mode> {
    let mut modes = vec![Mode::ours("appleshore", &[])];
    let listed = fields.get("modes");
    let listed = listed
        .and_then(|list| reader.list(list, MAX_MODES))
        .unwrap_or_default();
    for value in listed {
        let Some(mode) = mode(reader, value) else {
            continue;
        };
        if modes.iter().any(|known| known.name == mode.name) {
            reader.fault_at(value, format!("mode {:?} is there already", mode.name));
        }
        modes.push(mode);
    }
    modes
}

fn mode<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Mode> {
    let fields = reader.object(value, &["name", "choice", "gate", "without"])?;
    let name = reader.required(&fields, "name");
    let name = name.and_then(|name| reader.text(name))?;
    let choice = fields
        .get("choice")
        .and_then(|choice| reader.choice(choice, &CHOICES));
    let gate = fields.get("gate").and_then(|gate| reader.flag(gate));
    let without = fields.get("without");
    let without = without
        .and_then(|list| reader.list(list, PARTS.len()))
        .unwrap_or_default();
    let without = without
        .iter()
        .filter_map(|part| reader.choice(part, &PARTS))
        .collect();
    Some(Mode {
        abroad: crate::policy::Abroad::Priced,
        by_class: false,
        name: name.to_string(),
        choice: choice.unwrap_or(Choice::Pick),
        gate: gate.unwrap_or(true),
        without,
    })
}

fn bounds<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, modes: &[Mode]) -> Vec<Bound> {
    let listed = fields.get("bounds");
    let listed = listed
        .and_then(|list| reader.list(list, MAX_BOUNDS))
        .unwrap_or_default();
    let bounds = listed
        .iter()
        .filter_map(|value| bound(reader, value, modes));
    bounds.collect()
}

fn bound<'t>(reader: &mut Reader<'t>, value: &Value<'t>, modes: &[Mode]) -> Option<Bound> {
    let fields = reader.object(value, &["mode", "class", "figure", "least", "most"])?;
    let names: Vec<(&str, &str)> = modes
        .iter()
        .map(|mode| (mode.name.as_str(), mode.name.as_str()))
        .collect();
    let mode = one_of(reader, &fields, "mode", &names);
    let class = one_of(
        reader,
        &fields,
        "class",
        &CLASSES.map(|class| (class, class)),
    );
    let figure = one_of(
        reader,
        &fields,
        "figure",
        &FIGURES.map(|figure| (figure.name, figure.name)),
    );
    let [least, most] = ["least", "most"].map(|name| number(reader, &fields, name));
    if fields.get("least").is_none() && fields.get("most").is_none() {
        reader.fault(fields.at(), "a bound needs \"least\", \"most\" or both");
    }
    Some(Bound {
        mode: mode?.to_string(),
        class: class?.to_string(),
        figure: figure?.to_string(),
        least,
        most,
    })
}

fn one_of<'t, 'n>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    name: &str,
    known: &[(&str, &'n str)],
) -> Option<&'n str> {
    let value = reader.required(fields, name)?;
    reader.choice(value, known)
}

fn number<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, name: &str) -> Option<f64> {
    let value = fields.get(name)?;
    let text = reader.numeral(value)?;
    let number: Option<f64> = text.parse().ok().filter(|number: &f64| number.is_finite());
    if number.is_none() {
        reader.fault_at(value, format!("{text:?} is no number"));
    }
    number
}
