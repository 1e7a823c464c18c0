//! Reads the conditions of a rule.

use std::fmt::Display;
use std::str::FromStr;

use http::{HeaderName, HeaderValue, Method};
use jsonc::{Field, Reader, Value};

use super::bad_header;
use crate::When;
use crate::path::MAX_PATH_BYTES;
use crate::when::Header;

const FIELDS: [&str; 8] = [
    "service", "method", "path", "header", "caller", "zone", "host", "prefix",
];

/// Most elements of a list of methods, services or zones.
const MAX_LIST: usize = 64;

/// Most header fields that one rule may ask for.
const MAX_HEADERS: usize = 16;

/// Longest name of a host in bytes, as DNS has it.
const MAX_HOST: usize = 253;

/// Longest wanted value of a header field in bytes.
const MAX_VALUE: usize = 1_024;

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
    let named = !text.is_empty() && text.len() <= MAX_HOST;
    if !named || text.bytes().any(|byte| !byte.is_ascii_graphic()) {
        let cause = format!("{text:?} is no host: expected a name such as desk.example");
        reader.fault_at(value, cause);
        return None;
    }
    Some(text.to_string())
}

fn prefix<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<String> {
    let text = reader.text(value)?;
    if !text.starts_with('/') || !text.ends_with('/') || text.len() > MAX_PATH_BYTES {
        let cause = format!(
            "{text:?} is no prefix: expected at most {MAX_PATH_BYTES} bytes with a slash at both ends"
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(text.to_string())
}

/// Reads one name or a list of them; what can't be read is noted as a fault and left out.
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
        let cause = format!("{text:?} is no method: expected a name in capitals such as POST");
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
        reader.fault(field.at, bad_header(field.name));
    }
    let value = header_value(reader, field.value);
    Some(Header {
        name: name?,
        value: value?,
    })
}

/// The wanted value; `Some(None)` stands for any.
fn header_value<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Option<String>> {
    let text = reader.text(value)?;
    if text == "*" {
        return Some(None);
    }
    let trimmed = text.trim() == text && text.len() <= MAX_VALUE;
    if !trimmed || HeaderValue::from_str(text).is_err() {
        let cause = format!(
            "{text:?} is no header value: expected \"*\" or at most {MAX_VALUE} bytes of text \
             without spaces at its ends"
        );
        reader.fault_at(value, cause);
        return None;
    }
    Some(Some(text.to_string()))
}
