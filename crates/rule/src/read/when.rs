//! Parses the conditions of a rule.

use std::fmt::Display;
use std::str::FromStr;

use http::{HeaderName, HeaderValue, Method};
use jsonc::{Field, Reader, Value};

use super::invalid_header_name;
use crate::When;
use crate::path::MAX_PATH_BYTES;
use crate::when::Header;

const FIELDS: [&str; 8] = [
    "service", "method", "path", "header", "caller", "zone", "host", "prefix",
];

/// Maximum number of elements in a list of methods, services or zones.
const MAX_LIST: usize = 64;

/// Maximum number of header fields in the conditions of a rule.
const MAX_HEADERS: usize = 16;

/// Maximum length of a host name in bytes, as in DNS.
const MAX_HOST_BYTES: usize = 253;

/// Maximum length of an expected header value in bytes.
const MAX_VALUE_BYTES: usize = 1_024;

pub(super) fn when<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<When> {
    let fields = reader.object(value, &FIELDS)?;
    let mut when = When::default();
    if let Some(value) = fields.get("service") {
        when.services = names(reader, value);
    }
    if let Some(value) = fields.get("method") {
        when.methods = methods(reader, value);
    }
    when.host = fields.get("host").and_then(|value| host(reader, value));
    when.prefix = fields.get("prefix").and_then(|value| prefix(reader, value));
    when.path = fields.get("path").and_then(|value| reader.parsed(value));
    if let Some(value) = fields.get("header") {
        when.headers = headers(reader, value);
    }
    when.caller = fields.get("caller").and_then(|value| reader.parsed(value));
    if let Some(value) = fields.get("zone") {
        when.zones = names(reader, value);
    }
    Some(when)
}

fn host<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<String> {
    let text = reader.text(value)?;
    let valid_length = !text.is_empty() && text.len() <= MAX_HOST_BYTES;
    if !valid_length || text.bytes().any(|byte| !byte.is_ascii_graphic()) {
        let cause = format!("{text:?} is not a host: expected a name such as desk.example");
        reader.fault_at(value, cause);
        return None;
    }
    Some(text.to_string())
}

fn prefix<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<String> {
    let text = reader.text(value)?;
    if !text.starts_with('/') || !text.ends_with('/') || text.len() > MAX_PATH_BYTES {
        let cause = format!(
            "{text:?} is not a path prefix: expected at most {MAX_PATH_BYTES} bytes with a \
             slash at both ends"
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(text.to_string())
}

/// Parses a name or a list of names; invalid names are reported as faults and left out.
fn names<'t, T>(reader: &mut Reader<'t>, value: &Value<'t>) -> Vec<T>
where
    T: FromStr,
    T::Err: Display,
{
    let list = reader.one_or_list(value, MAX_LIST).unwrap_or_default();
    let names = list.iter().filter_map(|value| reader.parsed(value));
    names.collect()
}

fn methods<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Vec<Method> {
    let list = reader.one_or_list(value, MAX_LIST).unwrap_or_default();
    let methods = list.iter().filter_map(|value| method(reader, value));
    methods.collect()
}

fn method<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Method> {
    let text = reader.text(value)?;
    let upper = !text.bytes().any(|byte| byte.is_ascii_lowercase());
    let method = Method::from_bytes(text.as_bytes()).ok();
    let method = method.filter(|_| upper);
    if method.is_none() {
        let cause = format!("{text:?} is not a method: expected a name in capitals such as POST");
        reader.fault_at(value, cause);
    }
    method
}

fn headers<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Vec<Header> {
    let expected = "an object of header names, each with a text or \"*\"";
    let Some(fields) = reader.entries(value, expected) else {
        return Vec::new();
    };
    let mut headers: Vec<Header> = Vec::new();
    for field in fields.iter() {
        let Some(header) = header(reader, &field) else {
            continue;
        };
        if headers.iter().any(|other| other.name == header.name) {
            let cause = format!("header {} is given twice: expected it once", header.name);
            reader.fault(field.at, cause);
        }
        headers.push(header);
    }
    if headers.len() > MAX_HEADERS {
        let cause = format!("{} headers: expected at most {MAX_HEADERS}", headers.len());
        reader.fault_at(value, cause);
    }
    headers
}

fn header<'t>(reader: &mut Reader<'t>, field: &Field<'_, 't>) -> Option<Header> {
    let name = HeaderName::from_bytes(field.name.as_bytes()).ok();
    if name.is_none() {
        reader.fault(field.at, invalid_header_name(field.name));
    }
    let value = header_value(reader, field.value);
    Some(Header {
        name: name?,
        value: value?,
    })
}

/// The expected value; `Some(None)` accepts any value.
fn header_value<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Option<String>> {
    let text = reader.text(value)?;
    if text == "*" {
        return Some(None);
    }
    let trimmed = text.trim() == text && text.len() <= MAX_VALUE_BYTES;
    if !trimmed || HeaderValue::from_str(text).is_err() {
        let cause = format!(
            "{text:?} is not a header value: expected \"*\" or at most {MAX_VALUE_BYTES} bytes of \
             text without spaces at the ends"
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(Some(text.to_string()))
}
