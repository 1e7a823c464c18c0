//! Why a request is treated as it is.

use std::fmt;

use crate::when::{self, Field};
use crate::{Request, Rule, When};

/// The rules that a request passed by, and the one that it met.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The rules before the one that matched, in order; all rules if none matched.
    pub mismatches: Vec<Mismatch>,
    /// The name of the rule that matched.
    pub matched: Option<String>,
}

/// Why one rule did not match.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("rule {rule:?} did not match: {field} is {actual}, expected {expected}")]
pub struct Mismatch {
    /// The rule's name.
    pub rule: String,
    /// The first condition that did not hold.
    pub field: Field,
    /// What the request has there.
    pub actual: String,
    /// What the rule asks for.
    pub expected: String,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for mismatch in &self.mismatches {
            writeln!(f, "{mismatch}")?;
        }
        match &self.matched {
            Some(rule) => write!(f, "rule {rule:?} matched"),
            None => f.write_str("no rule matched"),
        }
    }
}

pub(crate) fn explain(rules: &[Rule], request: &Request<'_>) -> Explanation {
    let mut mismatches = Vec::new();
    for rule in rules {
        let Some(field) = rule.when.first_failure(request) else {
            let matched = Some(rule.name.clone());
            return Explanation {
                mismatches,
                matched,
            };
        };
        mismatches.push(Mismatch {
            rule: rule.name.clone(),
            actual: actual(&field, request),
            expected: expected(&field, &rule.when),
            field,
        });
    }
    let matched = None;
    Explanation {
        mismatches,
        matched,
    }
}

fn actual(field: &Field, request: &Request<'_>) -> String {
    match field {
        Field::Service => request.service.map_or(ABSENT.to_string(), quoted),
        Field::Method => request.method.to_string(),
        Field::Host => when::host(request).map_or(ABSENT.to_string(), quoted),
        Field::Prefix | Field::Path => quoted(request.path),
        Field::Header(name) => {
            let values = request.headers.get_all(name).iter();
            let values = values.map(|value| quoted(String::from_utf8_lossy(value.as_bytes())));
            or_absent(values.collect())
        }
        Field::Caller => quoted(request.caller),
        Field::Zone => quoted(request.zone),
    }
}

fn expected(field: &Field, when: &When) -> String {
    match field {
        Field::Service => listed(&when.services),
        Field::Method => when
            .methods
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join(" or "),
        Field::Host => when.host.as_ref().map(quoted).unwrap_or_default(),
        Field::Prefix => when.prefix.as_ref().map(quoted).unwrap_or_default(),
        Field::Path => when.path.as_ref().map(quoted).unwrap_or_default(),
        Field::Header(name) => {
            let header = when.headers.iter().find(|header| header.name == *name);
            let value = header.and_then(|header| header.value.as_ref());
            value.map_or("any value".to_string(), quoted)
        }
        Field::Caller => when.caller.as_ref().map(quoted).unwrap_or_default(),
        Field::Zone => listed(&when.zones),
    }
}

/// What stands for something that the request does not have.
const ABSENT: &str = "absent";

fn quoted(text: impl fmt::Display) -> String {
    format!("{:?}", text.to_string())
}

fn listed<T: fmt::Display>(all: &[T]) -> String {
    let all: Vec<String> = all.iter().map(quoted).collect();
    all.join(" or ")
}

fn or_absent(all: Vec<String>) -> String {
    match all.is_empty() {
        true => ABSENT.to_string(),
        false => all.join(" and "),
    }
}
