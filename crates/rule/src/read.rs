//! Parses the text of a document.

mod connection_limits;
mod target;
mod then;
mod when;
mod workspaces;

use std::collections::{BTreeMap, BTreeSet};

use http::HeaderName;
use jsonc::{Error, Reader, Value};
use unit::Urgency;
use workspace::Directory;

use crate::document::Content;
use crate::{Document, Route, Rule, Then};

/// Maximum length of a rule's name in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Maximum priority of a route or workspace.
const MAX_PRIORITY: u32 = 1_000;

const FIELDS: [&str; 6] = [
    "caller",
    "rules",
    "limits",
    "targets",
    "workspaces",
    "fault",
];

pub(crate) fn content(text: &str) -> Result<Content, Error> {
    jsonc::read(text, Document::MAX_TEXT_BYTES, document)
}

fn document<'t>(reader: &mut Reader<'t>, root: &Value<'t>) -> Option<Content> {
    let fields = reader.object(root, &FIELDS)?;
    if let Some(cause) = fields.get("fault") {
        // Whoever translated another format into this document found this fault in the original.
        let text = reader.text(cause)?.to_string();
        reader.fault_at(cause, text);
        return None;
    }
    let caller_header = fields.get("caller").and_then(|value| caller(reader, value));
    let connection_limits = fields
        .get("limits")
        .and_then(|value| connection_limits::connection_limits(reader, value));
    let targets = fields
        .get("targets")
        .map(|value| target::targets(reader, value));
    let workspaces = fields
        .get("workspaces")
        .and_then(|value| workspaces::workspaces(reader, value));
    let list = reader.required(&fields, "rules")?;
    let list = reader.list(list, Document::MAX_RULES)?;
    let mut content = Content {
        caller_header,
        connection_limits: connection_limits.unwrap_or_default(),
        targets: targets.unwrap_or_default(),
        rules: Vec::with_capacity(list.len()),
        offsets: Vec::with_capacity(list.len()),
        workspaces,
    };
    let mut names = BTreeMap::new();
    for value in list {
        if let Some(rule) = rule(reader, value, &mut names) {
            content.rules.push(rule);
            content.offsets.push(jsonc::offset(value));
        }
    }
    derive_urgencies(&mut content.rules, content.workspaces.as_mut());
    Some(content)
}

/// Derives the urgency of routes and workspaces that have a priority.
///
/// Of the priorities in use, of routes and workspaces together, the lowest number is urgent, the next
/// one routine, all others batch.
fn derive_urgencies(rules: &mut [Rule], mut workspaces: Option<&mut Directory>) {
    let mut routes: Vec<&mut Route> = rules
        .iter_mut()
        .filter_map(|rule| match &mut rule.then {
            Then::Route(route) => Some(route),
            Then::Refuse(_) => None,
        })
        .collect();
    let mut priorities: BTreeSet<u32> = routes.iter().filter_map(|route| route.priority).collect();
    if let Some(workspaces) = &workspaces {
        priorities.extend(workspaces.iter().filter_map(|workspace| workspace.priority));
    }
    let urgency = |priority: u32| {
        let rank = priorities.range(..priority).count();
        Urgency::ALL[rank.min(Urgency::ALL.len() - 1)]
    };
    for route in &mut routes {
        if let Some(priority) = route.priority {
            route.urgency = urgency(priority);
        }
    }
    if let Some(workspaces) = &mut workspaces {
        workspaces.set_urgencies(urgency);
    }
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
    // All fields are read before the first `?`, so that a fault in one doesn't hide others.
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
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        let cause = format!(
            "{name:?} is not a rule name: expected 1 to {MAX_NAME_BYTES} bytes without control \
             characters"
        );
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
        reader.fault_at(value, invalid_header_name(text));
    }
    name
}

fn invalid_header_name(text: &str) -> String {
    format!("{text:?} is not a header name: expected a name such as x-caller")
}
