//! Measures one decision with the index and without it.
//!
//! Run `cargo run --release -p rule --example decide`; it prints nanoseconds for each decision.

use std::hint::black_box;
use std::time::Instant;

use http::{HeaderMap, Method};
use rule::{Document, Request};

const ROUNDS: u32 = 20_000;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("rules  first segments  index ns  scan ns");
    for (rules, firsts) in [
        (10, 10),
        (50, 10),
        (500, 1),
        (500, 10),
        (500, 50),
        (5_000, 50),
    ] {
        let document = Document::parse(&text(rules, firsts))?;
        measure(&document, rules, firsts)?;
    }
    Ok(())
}

/// Rules that share `firsts` first segments, a tenth of them without any path.
fn text(rules: usize, firsts: usize) -> String {
    let rules = (0..rules).map(|i| {
        let when = match i % 10 {
            9 => format!(r#""caller": "*@member-{i}""#),
            _ => format!(r#""method": "GET", "path": "/area-{}/{i}/**""#, i % firsts),
        };
        format!(r#"{{ "name": "{i}", "when": {{ {when} }}, "then": {{ "service": "desk" }} }}"#)
    });
    let rules: Vec<String> = rules.collect();
    format!(r#"{{ "rules": [{}] }}"#, rules.join(",\n"))
}

/// Decides a request that matches no rule, which is the longest way.
fn measure(
    document: &Document,
    rules: usize,
    firsts: usize,
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
    let index = nanoseconds(|| document.decide(&request).is_some());
    let scan = nanoseconds(|| {
        document
            .rules()
            .iter()
            .any(|rule| rule.when.matches(&request))
    });
    println!("{rules:5}  {firsts:14}  {index:8}  {scan:7}");
    Ok(())
}

fn nanoseconds(decide: impl Fn() -> bool) -> u128 {
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        black_box(decide());
    }
    begin.elapsed().as_nanos() / u128::from(ROUNDS)
}
