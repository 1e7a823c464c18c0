//! Explains which rule matches a request, and why the rules before it don't.

use std::fmt;

use crate::when::{self, Field};
use crate::{Request, Rule, When};

/// The rule that matched a request, and the mismatches of the rules before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// One mismatch for each rule before the one that matched, in order; for all rules if none
    /// matched.
    pub mismatches: Vec<Mismatch>,
    /// The name of the rule that matched.
    pub matched: Option<String>,
}

/// Why a rule did not match.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("rule {rule:?} did not match: {field} is {actual}, expected {expected}")]
pub struct Mismatch {
    /// The rule's name.
    pub rule: String,
    /// The first condition that was not met.
    pub field: Field,
    /// The request's value for this condition.
    pub actual: String,
    /// The value or values that the rule expects.
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
        let Some(field) = rule.when.first_unmet(request) else {
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
            join_values(values.collect())
        }
        Field::Caller => quoted(request.caller),
        Field::Zone => quoted(request.zone),
    }
}

fn expected(field: &Field, when: &When) -> String {
    match field {
        Field::Service => join_alternatives(&when.services),
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
        Field::Zone => join_alternatives(&when.zones),
    }
}

/// Printed in place of a value that the request does not have.
const ABSENT: &str = "absent";

fn quoted(text: impl fmt::Display) -> String {
    format!("{:?}", text.to_string())
}

fn join_alternatives<T: fmt::Display>(alternatives: &[T]) -> String {
    let quoted: Vec<String> = alternatives.iter().map(quoted).collect();
    quoted.join(" or ")
}

fn join_values(values: Vec<String>) -> String {
    match values.is_empty() {
        true => ABSENT.to_string(),
        false => values.join(" and "),
    }
}
