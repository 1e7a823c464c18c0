//! Measures the time to find the rule for a request, with the index and with a linear scan.
//!
//! `cargo run --release -p rule --example decide` prints the mean time in nanoseconds.

use std::hint::black_box;
use std::time::Instant;

use http::{HeaderMap, Method};
use rule::{Document, Request};

const ITERATIONS: u32 = 20_000;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("rules  first segments  index ns  scan ns");
    for (rules, first_segments) in [
        (10, 10),
        (50, 10),
        (500, 1),
        (500, 10),
        (500, 50),
        (5_000, 50),
    ] {
        let document = Document::parse(&document_text(rules, first_segments))?;
        measure(&document, rules, first_segments)?;
    }
    Ok(())
}

/// A document with `rules` rules over `first_segments` first segments.
///
/// A tenth of the rules have no path.
fn document_text(rules: usize, first_segments: usize) -> String {
    let rules = (0..rules).map(|i| {
        let when = match i % 10 {
            9 => format!(r#""caller": "*@member-{i}""#),
            _ => format!(
                r#""method": "GET", "path": "/area-{}/{i}/**""#,
                i % first_segments
            ),
        };
        format!(r#"{{ "name": "{i}", "when": {{ {when} }}, "then": {{ "service": "desk" }} }}"#)
    });
    let rules: Vec<String> = rules.collect();
    format!(r#"{{ "rules": [{}] }}"#, rules.join(",\n"))
}

/// Measures with a request that matches no rule, which is the worst case.
fn measure(
    document: &Document,
    rules: usize,
    first_segments: usize,
) -> Result<(), Box<dyn std::error::Error>> {
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
    let index = mean_nanoseconds(|| document.decide(&request).is_some());
    let scan = mean_nanoseconds(|| {
        document
            .rules()
            .iter()
            .any(|rule| rule.when.matches(&request))
    });
    println!("{rules:5}  {first_segments:14}  {index:8}  {scan:7}");
    Ok(())
}

fn mean_nanoseconds(decide: impl Fn() -> bool) -> u128 {
    let start = Instant::now();
    for _ in 0..ITERATIONS {
        black_box(decide());
    }
    start.elapsed().as_nanos() / u128::from(ITERATIONS)
}
