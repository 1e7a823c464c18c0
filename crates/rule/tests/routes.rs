//! Tests hosts, prefixes, priorities, splits, connection limits and target settings.

use http::{HeaderMap, Method};
use rule::{Document, Request, Then};
use unit::Urgency;

fn decide(document: &Document, host: &str, path: &str) -> Option<String> {
    let mut headers = HeaderMap::new();
    headers.insert("host", host.parse().expect("a value"));
    let caller = document.caller(&headers, [10, 0, 0, 7].into());
    let request = Request {
        service: None,
        method: &Method::GET,
        path,
        query: None,
        headers: &headers,
        caller: &caller,
        zone: &"sorel".parse().expect("a zone"),
    };
    document.decide(&request).map(|rule| rule.name.clone())
}

const RULES: &str = r#"{
    "limits": { "head": "16KB", "idle": "15s" },
    "targets": { "desk": { "health": "/health", "connections": 220 } },
    "rules": [
        { "name": "deep", "when": { "host": "desk.example", "prefix": "/a/b/" },
          "then": { "service": "desk", "priority": 5 } },
        { "name": "wide", "when": { "host": "desk.example", "prefix": "/a/" },
          "then": { "service": "desk", "priority": 1, "objective": "200ms", "attempts": 2 } },
        { "name": "rest", "when": { "prefix": "/a/" },
          "then": { "split": [ { "service": "desk", "weight": 90 }, { "service": "yard", "weight": 0 } ],
                    "priority": 9, "repeat": false } }
    ]
}"#;

#[test]
fn hosts_ignore_case_and_prefixes_are_compared_by_bytes() {
    let document = Document::parse(RULES).expect("rules");
    assert!(document.matches_raw_paths());
    let matched = |host, path| decide(&document, host, path);
    assert_eq!(matched("desk.example", "/a/b/c").as_deref(), Some("deep"));
    assert_eq!(
        matched("DESK.example:8080", "/a/bc").as_deref(),
        Some("wide")
    );
    assert_eq!(matched("other.example", "/a/b/").as_deref(), Some("rest"));
    assert_eq!(matched("desk.example", "/a/%62/c").as_deref(), Some("wide"));
    assert_eq!(matched("desk.example", "/ab"), None);
}

#[test]
fn urgencies_follow_the_order_of_the_priorities_in_use() {
    let document = Document::parse(RULES).expect("rules");
    let urgency = |at: usize| match &document.rules()[at].then {
        Then::Route(route) => route.urgency,
        Then::Refuse(_) => panic!("a route"),
    };
    assert_eq!([urgency(1), urgency(0), urgency(2)], Urgency::ALL);
}

#[test]
fn split_services_with_weight_0_are_left_out() {
    let document = Document::parse(RULES).expect("rules");
    let Then::Route(rest) = &document.rules()[2].then else {
        panic!("a route");
    };
    assert_eq!(rest.split.len(), 1);
    assert!(!rest.repeatable());
    let services: Vec<&str> = document.services().iter().map(|s| s.as_str()).collect();
    assert_eq!(services, ["desk"]);
    assert_eq!(
        document.connection_limits().idle.map(|idle| idle.as_secs()),
        Some(15)
    );
    let target = document.target(&"desk".parse().expect("a name"));
    assert_eq!(
        target.and_then(|target| target.health.as_deref()),
        Some("/health")
    );
}
