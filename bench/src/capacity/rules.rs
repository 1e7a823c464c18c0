//! What a document of rules costs as its rules grow: bytes, memory, reading and deciding.

use std::hint::black_box;

use http::{HeaderMap, Method};
use rule::{Document, Request};
use serde::Serialize;

use super::slope::Slope;
use super::system::{Outcome, grown, shortest};

const SIZES: [usize; 3] = [50, 200, 500];
const COPIES: usize = 20;
const ROUNDS: usize = 20;
/// First segments of paths that the rules share.
const AREAS: usize = 50;

/// What was measured of documents.
#[derive(Debug, Clone, Serialize)]
pub struct Documents {
    /// Bytes of the text.
    pub bytes: Slope,
    /// Bytes of memory of the document and its text.
    pub memory: Slope,
    /// Microseconds to read one.
    pub parse: Slope,
    /// Microseconds of a decision that matches no rule, the longest way.
    pub decide: Slope,
}

/// A document of this many rules, as an operator would write them: a tenth by caller, a tenth once.
pub(crate) fn text(rules: usize) -> String {
    let rules = (0..rules).map(|i| {
        let area = i % AREAS;
        match i % 10 {
            9 => format!(
                r#"    {{ "name": "member-{i}", "when": {{ "caller": "*@member-{i}" }},
      "then": {{ "service": "desk", "urgency": "urgent", "timeout": "5s" }} }}"#
            ),
            8 => format!(
                r#"    {{ "name": "order-{i}", "when": {{ "method": "POST", "path": "/area-{area}/{i}/**" }},
      "then": {{ "service": "desk", "once": {{ "header": "idempotency-key" }}, "timeout": "5s" }} }}"#
            ),
            _ => format!(
                r#"    {{ "name": "rule-{i}", "when": {{ "method": "GET", "path": "/area-{area}/{i}/**" }},
      "then": {{ "service": "desk", "timeout": "2s" }} }}"#
            ),
        }
    });
    let rules: Vec<String> = rules.collect();
    format!(
        "{{\n  \"caller\": {{ \"header\": \"x-caller\" }},\n  \"rules\": [\n{}\n  ]\n}}\n",
        rules.join(",\n")
    )
}

/// Measures documents of three sizes.
pub(crate) fn measure() -> Outcome<Documents> {
    let mut series: [Vec<(usize, f64)>; 4] = Default::default();
    for size in SIZES {
        let text = text(size);
        let document = Document::parse(&text)?;
        let make = || (0..COPIES).map(|_| (Document::parse(&text), text.clone()));
        let (made, memory) = grown(|| make().collect::<Vec<_>>())?;
        std::mem::forget(made);
        let figures = [
            text.len() as f64,
            memory / COPIES as f64,
            shortest(ROUNDS, || Document::parse(&text)),
            decide(&document)?,
        ];
        for (series, figure) in series.iter_mut().zip(figures) {
            series.push((size, figure));
        }
    }
    let line = |what: &str, place: usize| Slope::of(what, "rules", &series[place]);
    Ok(Documents {
        bytes: line("rules document, bytes", 0),
        memory: line("document with text, bytes of memory", 1),
        parse: line("read a document, us", 2),
        decide: line("decide, no rule matches, us", 3),
    })
}

fn decide(document: &Document) -> Outcome<f64> {
    let (caller, zone) = ("desk-3@clinic-7".parse()?, "longbien".parse()?);
    let request = Request {
        service: None,
        method: &Method::GET,
        path: "/area-0/none/boxes/41",
        query: None,
        headers: &HeaderMap::new(),
        caller: &caller,
        zone: &zone,
    };
    let many = || {
        for _ in 0..1_000 {
            black_box(document.decide(black_box(&request)).is_some());
        }
    };
    Ok(shortest(ROUNDS, many) / 1_000.0)
}
