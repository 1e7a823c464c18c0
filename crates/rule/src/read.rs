//! Turns the text of a document into rules.

mod then;
mod when;

use std::collections::BTreeMap;

use http::HeaderName;
use jsonc::{Error, Reader, Value};

use crate::document::Content;
use crate::{Document, Rule};

/// Longest name of a rule in bytes.
const MAX_NAME: usize = 128;

pub(crate) fn content(text: &str) -> Result<Content, Error> {
    jsonc::read(text, Document::MAX_TEXT, document)
}

fn document<'t>(reader: &mut Reader<'t>, root: &Value<'t>) -> Option<Content> {
    let fields = reader.object(root, &["caller", "rules"])?;
    let caller_header = fields.get("caller").and_then(|value| caller(reader, value));
    let list = reader.required(&fields, "rules")?;
    let list = reader.list(list, Document::MAX_RULES)?;
    let mut content = Content {
        caller_header,
        rules: Vec::with_capacity(list.len()),
        offsets: Vec::with_capacity(list.len()),
    };
    let mut names = BTreeMap::new();
    for value in list {
        if let Some(rule) = rule(reader, value, &mut names) {
            content.rules.push(rule);
            content.offsets.push(jsonc::offset(value));
        }
    }
    Some(content)
}

fn caller<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<HeaderName> {
    let fields = reader.object(value, &["header"])?;
    let name = reader.required(&fields, "header")?;
    header_name(reader, name)
}

fn rule<'t>(
    reader: &mut Reader<'t>,
    value: &Value<'t>,
    names: &mut BTreeMap<String, usize>,
) -> Option<Rule> {
    let fields = reader.object(value, &["name", "when", "then"])?;
    // Each part is read before any is asked for, so that one bad part hides no other's faults.
    let name = reader.required(&fields, "name");
    let name = name.and_then(|value| rule_name(reader, value, names));
    let when = match fields.get("when") {
        Some(value) => when::when(reader, value),
        None => Some(Default::default()),
    };
    let then = reader.required(&fields, "then");
    let then = then.and_then(|value| then::then(reader, value));
    Some(Rule {
        name: name?,
        when: when?,
        then: then?,
    })
}

fn rule_name<'t>(
    reader: &mut Reader<'t>,
    value: &Value<'t>,
    names: &mut BTreeMap<String, usize>,
) -> Option<String> {
    let name = reader.text(value)?;
    if name.is_empty() || name.len() > MAX_NAME || name.chars().any(char::is_control) {
        let cause = format!("{name:?} is no rule name: expected 1 to {MAX_NAME} bytes of text");
        reader.fault_at(value, cause);
        return None;
    }
    if let Some(first) = names.get(name) {
        let first = reader.position(*first);
        let cause = format!("rule {name:?} is already defined at {first}: expected another name");
        reader.fault_at(value, cause);
        return None;
    }
    names.insert(name.to_string(), jsonc::offset(value));
    Some(name.to_string())
}

fn header_name<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<HeaderName> {
    let text = reader.text(value)?;
    let name = HeaderName::from_bytes(text.as_bytes()).ok();
    if name.is_none() {
        reader.fault_at(value, bad_header(text));
    }
    name
}

fn bad_header(text: &str) -> String {
    format!("{text:?} is no header name: expected a name such as x-caller")
}
