//! Parses the text of the settings into a [`Setting`].

use std::net::SocketAddr;
use std::time::Duration;

use jsonc::{Error, Fields, Reader, Value};
use log::LevelFilter;
use unit::{Bandwidth, Decimal, Span};

use crate::address::{self, Endpoint};
use crate::{Limits, Links, LogFormat, Setting, check, cold, limits, placement, quota, retry};

const FIELDS: [&str; 35] = [
    "instance",
    "zone",
    "region",
    "service",
    "callers",
    "outbound",
    "link",
    "link_announced",
    "operator",
    "operator_public",
    "target",
    "slots",
    "store",
    "rules_key",
    "announce_prefix",
    "ledger_prefix",
    "limits",
    "log",
    "log_format",
    "threads",
    "one_port",
    "readiness",
    "control",
    "heartbeat",
    "links",
    "retry",
    "evacuation_prefix",
    "leave_prefix",
    "first_start",
    "cold",
    "quota",
    "revoke",
    "revoke_enabled",
    "bandwidth",
    "placement",
];

const LEVELS: [(&str, LevelFilter); 6] = [
    ("off", LevelFilter::Off),
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];

const MAX_TEXT_BYTES: usize = 100_000;
const MAX_SLOTS: u32 = 10_000;
const MAX_STORE_ADDRESSES: usize = 8;
const MAX_THREADS: u32 = 1_024;
const MAX_KEY_BYTES: usize = 128;
const MAX_HEARTBEAT: Duration = Duration::from_secs(600);
/// The store is read every 0.8 s, so that confirmations that last less would end between two reads.
const MIN_REVOKE: Duration = Duration::from_secs(1);
const MAX_REVOKE: Duration = Duration::from_secs(600);

const BANDWIDTH_RANGE: (Bandwidth, Bandwidth) = (
    Bandwidth::of_bits(1_000_000),
    Bandwidth::of_bits(100_000_000_000),
);

const FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];

const LINKS: [(&str, Links); 2] = [("quic", Links::Quic), ("tcp", Links::Tcp)];

/// The required addresses of a daemon, each `None` if it could not be read. With `one_port`,
/// `callers` is `None` too.
struct Addresses {
    callers: Option<Endpoint>,
    outbound: Option<Endpoint>,
    link: Option<Endpoint>,
    operator: Option<Endpoint>,
    target: Option<Endpoint>,
}

/// The key of the rules and the key prefixes in the platform's store.
struct Keys {
    rules: String,
    announce: String,
    ledger: String,
    evacuation: Option<String>,
    leave: Option<String>,
}

pub(crate) fn setting(text: &str) -> Result<Setting, Error> {
    jsonc::read(text, MAX_TEXT_BYTES, read)
}

fn read<'t>(reader: &mut Reader<'t>, root: &Value<'t>) -> Option<Setting> {
    let fields = reader.object(root, &FIELDS)?;
    // All fields are read before the first `?` below, so that the faults of all are reported.
    let instance = parsed(reader, &fields, "instance");
    let zone = parsed(reader, &fields, "zone");
    let region = region(reader, &fields);
    let service = parsed(reader, &fields, "service");
    let operator_public = fields.get("operator_public");
    let operator_public = operator_public.and_then(|value| reader.flag(value));
    let operator_public = operator_public.unwrap_or(false);
    let one_port = fields.get("one_port").and_then(|value| reader.flag(value));
    let one_port = one_port.unwrap_or(false);
    let addresses = addresses(reader, &fields, operator_public, one_port);
    let announced = announced_address(reader, &fields, addresses.link.as_ref());
    let readiness = address::optional(reader, &fields, "readiness");
    let control = address::optional(reader, &fields, "control");
    let heartbeat = fields.get("heartbeat");
    let heartbeat = heartbeat.and_then(|value| heartbeat_period(reader, value));
    let links = fields.get("links");
    let links = links.and_then(|value| reader.choice(value, &LINKS));
    let retry = fields.get("retry");
    let retry = retry.and_then(|value| retry::read(reader, value));
    let cold = fields.get("cold");
    let cold = cold.and_then(|value| cold::read(reader, value));
    let quota = fields.get("quota");
    let quota = quota.and_then(|value| quota::read(reader, value));
    let revoke = fields.get("revoke");
    let revoke = revoke.and_then(|value| revocation_time(reader, value));
    let revoke_enabled = fields.get("revoke_enabled");
    let revoke_enabled = revoke_enabled.and_then(|value| flag_or_text(reader, value));
    let bandwidth = fields.get("bandwidth");
    let bandwidth = bandwidth.and_then(|value| link_rate(reader, value));
    let placement = fields.get("placement");
    let placement = placement.and_then(|value| placement::read(reader, value));
    let slots = reader.required(&fields, "slots");
    let slots = slots.and_then(|value| reader.count(value, 1..=MAX_SLOTS));
    let store = reader.required(&fields, "store");
    let store = store.and_then(|value| store_addresses(reader, value));
    let keys = store_keys(reader, &fields);
    let first_start = fields.get("first_start");
    let first_start = first_start.and_then(|value| flag_or_text(reader, value));
    let limits = fields.get("limits");
    let limits = limits.and_then(|value| limits::read(reader, value));
    let log = fields.get("log");
    let log = log.and_then(|value| reader.choice(value, &LEVELS));
    let log_format = fields.get("log_format");
    let log_format = log_format.and_then(|value| reader.choice(value, &FORMATS));
    let threads = fields.get("threads");
    let threads = threads.and_then(|value| thread_count(reader, value));
    Some(Setting {
        instance: instance?,
        zone: zone?,
        region,
        service: service?,
        callers: match one_port {
            true => addresses.outbound.as_ref()?.address,
            false => addresses.callers?.address,
        },
        outbound: addresses.outbound?.address,
        one_port,
        readiness,
        control,
        heartbeat,
        links: links.unwrap_or_default(),
        retry: retry.unwrap_or_default(),
        placement: placement.unwrap_or_default(),
        link: addresses.link?.address,
        link_announced: announced?,
        operator: addresses.operator?.address,
        operator_public,
        target: addresses.target?.address,
        slots: slots?,
        store: store?,
        rules_key: keys.rules,
        announce_prefix: keys.announce,
        ledger_prefix: keys.ledger,
        evacuation_prefix: keys.evacuation,
        leave_prefix: keys.leave,
        first_start: first_start.unwrap_or(false),
        cold,
        quota,
        revoke: revoke.filter(|_| revoke_enabled.unwrap_or(true)),
        bandwidth,
        limits: limits.unwrap_or_else(Limits::default),
        log: log.unwrap_or(LevelFilter::Info),
        log_format: log_format.unwrap_or_default(),
        threads,
    })
}

fn parsed<'t, T>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, name: &str) -> Option<T>
where
    T: std::str::FromStr<Err = unit::Error>,
{
    let value = reader.required(fields, name)?;
    reader.parsed(value)
}

fn heartbeat_period<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Duration> {
    let Span(period) = reader.parsed(value)?;
    if period.is_zero() || period > MAX_HEARTBEAT {
        let cause = format!(
            "a heartbeat every {}: expected more than 0s and at most {}",
            Span(period),
            Span(MAX_HEARTBEAT)
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(period)
}

fn revocation_time<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Duration> {
    let Span(revoke) = reader.parsed(value)?;
    if !(MIN_REVOKE..=MAX_REVOKE).contains(&revoke) {
        let cause = format!(
            "a revocation within {}: expected {} to {}",
            Span(revoke),
            Span(MIN_REVOKE),
            Span(MAX_REVOKE)
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(revoke)
}

/// Reads a flag that may also be a text in any case, as templates render one between quotes.
fn flag_or_text<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<bool> {
    let Value::StringLit(text) = value else {
        return reader.flag(value);
    };
    let text = text.value.as_ref();
    let named = |flag: &bool| text.eq_ignore_ascii_case(&flag.to_string());
    let flag = [true, false].into_iter().find(named);
    if flag.is_none() {
        reader.fault_at(value, format!("{text:?}: expected true or false"));
    }
    flag
}

fn link_rate<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Bandwidth> {
    let rate: Bandwidth = reader.parsed(value)?;
    let (min, max) = BANDWIDTH_RANGE;
    if !(min..=max).contains(&rate) {
        let cause = format!("{rate} is out of range: expected {min} to {max}");
        reader.fault_at(value, cause);
        return None;
    }
    Some(rate)
}

/// Reads the number of threads from a number of cores, rounded up because a fraction of a core
/// needs a thread of its own.
fn thread_count<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<u32> {
    let text = reader.numeral(value).filter(|text| !text.is_empty())?;
    let cores = text.parse::<Decimal>().ok().and_then(Decimal::up);
    let threads = cores.and_then(|cores| u32::try_from(cores).ok());
    let threads = threads.filter(|threads| (1..=MAX_THREADS).contains(threads));
    if threads.is_none() {
        let cause =
            format!("{text} is out of range: expected a whole number from 1 to {MAX_THREADS}");
        reader.fault_at(value, cause);
    }
    threads
}

/// Reads the region, which has the same syntax as a zone.
fn region<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> String {
    let default = || "local".to_string();
    let Some(value) = fields.get("region") else {
        return default();
    };
    let text = reader.text(value).unwrap_or("local");
    if text.parse::<unit::Zone>().is_err() {
        let cause = format!("{text:?} is not a region: expected a name such as qc-east");
        reader.fault_at(value, cause);
    }
    text.to_string()
}

fn addresses<'t>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    operator_public: bool,
    one_port: bool,
) -> Addresses {
    let callers = match one_port {
        true => None,
        false => address::required(reader, fields, "callers"),
    };
    let addresses = Addresses {
        callers,
        outbound: address::required(reader, fields, "outbound"),
        link: address::required(reader, fields, "link"),
        operator: address::required(reader, fields, "operator"),
        target: address::required(reader, fields, "target"),
    };
    if let Some(target) = &addresses.target {
        check::specified(reader, target);
    }
    if let Some(outbound) = &addresses.outbound {
        check::outbound(reader, outbound, addresses.target.as_ref());
    }
    if let Some(operator) = &addresses.operator {
        check::operator(reader, operator, operator_public);
    }
    let all = [
        addresses.callers,
        addresses.outbound,
        addresses.link,
        addresses.operator,
        addresses.target,
    ];
    let all: Vec<Endpoint> = all.into_iter().flatten().collect();
    check::distinct_ports(reader, &all);
    addresses
}

/// The announced address: the value of `link_announced` if present, otherwise that of `link`.
fn announced_address<'t>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    link: Option<&Endpoint>,
) -> Option<SocketAddr> {
    let value = fields.get("link_announced");
    let endpoint = match value {
        Some(value) => address::read(reader, value, "link_announced")?,
        None => *link?,
    };
    check::specified(reader, &endpoint);
    Some(endpoint.address)
}

fn store_addresses<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Vec<SocketAddr>> {
    let list = reader.list(value, MAX_STORE_ADDRESSES)?;
    let mut found: Vec<SocketAddr> = Vec::with_capacity(list.len());
    for value in list {
        let Some(endpoint) = address::read(reader, value, "store") else {
            continue;
        };
        check::specified(reader, &endpoint);
        if found.contains(&endpoint.address) {
            let cause = format!("{} is given twice: expected it once", endpoint.address);
            reader.fault_at(value, cause);
        }
        found.push(endpoint.address);
    }
    Some(found)
}

fn store_keys<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>) -> Keys {
    let keys = Keys {
        rules: key(reader, fields, "rules_key", "rules"),
        announce: prefix(reader, fields, "announce_prefix", "instances/"),
        ledger: prefix(reader, fields, "ledger_prefix", "ledger/"),
        evacuation: fields
            .get("evacuation_prefix")
            .map(|_| prefix(reader, fields, "evacuation_prefix", "evacuations/")),
        leave: fields
            .get("leave_prefix")
            .map(|_| prefix(reader, fields, "leave_prefix", "leaves/")),
    };
    check_keys(reader, fields, &keys);
    keys
}

/// Keys that run into each other would let an announcement overwrite the rules.
fn check_keys<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, keys: &Keys) {
    let evacuation = keys.evacuation.as_ref();
    let evacuation = evacuation.map(|prefix| ("evacuation_prefix", prefix.as_str()));
    let leave = keys.leave.as_ref();
    let leave = leave.map(|prefix| ("leave_prefix", prefix.as_str()));
    let prefixes = [
        ("announce_prefix", keys.announce.as_str()),
        ("ledger_prefix", keys.ledger.as_str()),
    ];
    let prefixes: Vec<(&str, &str)> = prefixes
        .into_iter()
        .chain(evacuation)
        .chain(leave)
        .collect();
    for (i, (name, prefix)) in prefixes.iter().enumerate() {
        for (earlier_name, earlier) in &prefixes[..i] {
            if prefix.starts_with(earlier) || earlier.starts_with(prefix) {
                let cause =
                    format!("{earlier:?} and {prefix:?} overlap: expected separate prefixes");
                reader.fault(first_offset(fields, &[name, earlier_name]), cause);
            }
        }
    }
    let mut prefixes = prefixes.iter();
    if prefixes.any(|(_, prefix)| keys.rules.starts_with(prefix)) {
        let cause = format!(
            "{:?} lies under a prefix: expected a key outside",
            keys.rules
        );
        let names = [
            "rules_key",
            "announce_prefix",
            "ledger_prefix",
            "evacuation_prefix",
            "leave_prefix",
        ];
        reader.fault(first_offset(fields, &names), cause);
    }
}

/// The byte offset of the value of the first of `names` that is present, or else of the object.
fn first_offset(fields: &Fields<'_, '_>, names: &[&str]) -> usize {
    let value = names.iter().find_map(|name| fields.get(name));
    value.map_or(fields.at(), jsonc::offset)
}

fn key<'t>(reader: &mut Reader<'t>, fields: &Fields<'_, 't>, name: &str, default: &str) -> String {
    let Some(value) = fields.get(name) else {
        return default.to_string();
    };
    let Some(text) = reader.text(value) else {
        return default.to_string();
    };
    if !is_key(text) {
        let cause = format!(
            "{text:?} is not a key: expected 1 to {MAX_KEY_BYTES} letters, digits, '-', '_', '.' \
             and single '/' between them"
        );
        reader.fault_at(value, cause);
    }
    text.to_string()
}

fn prefix<'t>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    name: &str,
    default: &str,
) -> String {
    let Some(value) = fields.get(name) else {
        return default.to_string();
    };
    let Some(text) = reader.text(value) else {
        return default.to_string();
    };
    if !text.strip_suffix('/').is_some_and(is_key) {
        let cause = format!("{text:?} is not a prefix: expected a key with '/' at its end");
        reader.fault_at(value, cause);
    }
    text.to_string()
}

fn is_key(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let is_segment = |text: &str| !text.is_empty() && text.bytes().all(is_allowed);
    text.len() <= MAX_KEY_BYTES && text.split('/').all(is_segment)
}
