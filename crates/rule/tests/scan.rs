//! Tests that the index finds the same rule as a linear scan, and that rules that the check reports
//! as unreachable never match.

use http::{HeaderMap, HeaderValue, Method};
use proptest::prelude::*;
use rule::{Document, Request};
use unit::{Caller, Zone};

fn one_of(choices: &'static [&'static str]) -> impl Strategy<Value = &'static str> {
    prop::sample::select(choices)
}

fn path() -> impl Strategy<Value = String> {
    prop::collection::vec(one_of(&["a", "b", "c"]), 0..4)
        .prop_map(|all| format!("/{}", all.join("/")))
}

fn when() -> impl Strategy<Value = String> {
    let path = (
        prop::collection::vec(one_of(&["a", "b", "*"]), 0..3),
        any::<bool>(),
    );
    let path = path.prop_map(|(mut segments, rest)| {
        segments.extend(rest.then_some("**"));
        format!(r#""path": "/{}""#, segments.join("/"))
    });
    let method = one_of(&[r#""method": "GET""#, r#""method": ["GET", "PUT"]"#]);
    let header = one_of(&[r#""header": { "x-a": "*" }"#, r#""header": { "x-a": "1" }"#]);
    let caller = one_of(&[
        r#""caller": "*@m""#,
        r#""caller": "a*""#,
        r#""caller": "a@m""#,
    ]);
    let fields = (
        prop::option::weighted(0.8, path),
        prop::option::weighted(0.3, method),
        prop::option::weighted(0.2, header),
        prop::option::weighted(0.2, caller),
    );
    fields.prop_map(|(path, method, header, caller)| {
        let rest = [method, header, caller].into_iter().flatten();
        let all: Vec<String> = path.into_iter().chain(rest.map(String::from)).collect();
        format!("{{ {} }}", all.join(", "))
    })
}

fn document() -> impl Strategy<Value = Document> {
    prop::collection::vec(when(), 1..12).prop_map(|whens| {
        let rules = whens.iter().enumerate().map(|(i, when)| {
            format!(r#"{{ "name": "{i}", "when": {when}, "then": {{ "service": "s" }} }}"#)
        });
        let rules: Vec<String> = rules.collect();
        let text = format!(r#"{{ "rules": [{}] }}"#, rules.join(",\n"));
        Document::parse(&text).expect("a valid document")
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn index_agrees_with_scan(
        document in document(),
        path in path(),
        put in any::<bool>(),
        header in prop::option::of(one_of(&["1", "2"])),
        caller in one_of(&["a@m", "b@m", "a@n", "b@n"]),
    ) {
        let caller: Caller = caller.parse().expect("a caller");
        let zone: Zone = "sorel".parse().expect("a zone");
        let headers = header.map(|value| ("x-a".parse().expect("a name"), HeaderValue::from_static(value)));
        let headers: HeaderMap = headers.into_iter().collect();
        let request = Request {
            service: None,
            method: if put { &Method::PUT } else { &Method::GET },
            path: &path,
            query: None,
            headers: &headers,
            caller: &caller,
            zone: &zone,
        };
        let scanned = document.rules().iter().find(|rule| rule.when.matches(&request));
        let decided = document.decide(&request);
        prop_assert_eq!(decided, scanned);
        let explained = document.explain(&request).matched;
        prop_assert_eq!(explained.as_ref(), decided.map(|rule| &rule.name));
        for warning in document.check() {
            prop_assert_ne!(decided.map(|rule| &rule.name), Some(&warning.rule));
        }
    }
}
