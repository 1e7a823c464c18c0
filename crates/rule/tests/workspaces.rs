//! Tests workspaces: their keys, priorities and quotas.

use rule::{Document, Route, Then};
use unit::{Rate, Urgency};
use workspace::{Key, Salt};

/// A document in which each workspace of `members` has its own name as its key and these fields.
fn document(members: &[(&str, &str)]) -> Document {
    let salt = Salt::of(b"configuration");
    let members = members.iter().map(|(name, fields)| {
        let digest = salt.digest(&key(name));
        format!(r#""{name}": {{ "keys": ["{digest}"] {fields} }}"#)
    });
    let members: Vec<String> = members.collect();
    let text = format!(
        r#"{{
            "workspaces": {{ "salt": "{salt}", "members": {{ {} }} }},
            "rules": [
                {{ "name": "three", "then": {{ "service": "desk", "priority": 3 }} }},
                {{ "name": "seven", "then": {{ "service": "desk", "priority": 7, "public": true }} }},
                {{ "name": "none", "then": {{ "service": "desk", "bulk": true, "regions": ["qc-east"] }} }}
            ]
        }}"#,
        members.join(", ")
    );
    Document::parse(&text).expect("valid rules")
}

fn key(text: &str) -> Key<'_> {
    Key::new(text.as_bytes()).expect("a key")
}

fn route(document: &Document, at: usize) -> &Route {
    match &document.rules()[at].then {
        Then::Route(route) => route,
        Then::Refuse(_) => panic!("a route"),
    }
}

/// Guards against a key that is taken for another's, and against a quota that is lost on the way.
#[test]
fn a_key_finds_its_workspace() {
    let document = document(&[
        ("pulo", r#", "rate": "17.5/s", "burst": 174"#),
        (
            "rest",
            r#", "rate": "0/s", "regions": ["qc-east", "qc-west"]"#,
        ),
    ]);
    let workspaces = document.workspaces().expect("workspaces");
    let pulo = workspaces.find(&key("pulo")).expect("its key");
    let quota = pulo.quota.expect("a quota");
    assert_eq!((quota.rate, quota.burst), (Rate::of(17.5), 174));
    assert_eq!(pulo.regions, None);
    let rest = workspaces.find(&key("rest")).expect("its key");
    assert_eq!((rest.name.as_str(), rest.quota), ("rest", None));
    assert_eq!(rest.regions.as_ref().map(Vec::len), Some(2));
    for unknown in ["pul", "puloo", "PULO", " pulo"] {
        assert_eq!(workspaces.find(&key(unknown)), None, "{unknown:?}");
    }
}

/// Guards against ranks that are computed for routes and workspaces apart, so that a workspace of
/// priority 5 would be as urgent as a route of priority 3.
#[test]
fn priorities_of_routes_and_workspaces_are_ranked_together() {
    let document = document(&[
        ("low", r#", "priority": 5"#),
        ("high", r#", "priority": 3"#),
        ("plain", ""),
    ]);
    let workspaces = document.workspaces().expect("workspaces");
    let urgency =
        |at: usize, name: &str| route(&document, at).urgency_for(workspaces.find(&key(name)));
    assert_eq!(
        [route(&document, 0).urgency, route(&document, 1).urgency],
        [Urgency::Urgent, Urgency::Batch]
    );
    assert_eq!(
        [urgency(0, "low"), urgency(1, "low")],
        [Urgency::Routine; 2]
    );
    assert_eq!(
        [urgency(0, "high"), urgency(1, "high")],
        [Urgency::Urgent; 2]
    );
    assert_eq!(
        [urgency(0, "plain"), urgency(1, "plain")],
        [Urgency::Urgent, Urgency::Batch]
    );
    assert_eq!(urgency(2, "plain"), Urgency::Routine);
}

#[test]
fn route_fields_are_read() {
    let document = document(&[]);
    let public: Vec<bool> = (0..3).map(|at| route(&document, at).public).collect();
    let bulk: Vec<bool> = (0..3).map(|at| route(&document, at).bulk).collect();
    assert_eq!(
        (public, bulk),
        (vec![false, true, false], vec![false, false, true])
    );
    let regions = route(&document, 2).regions.as_ref().expect("regions");
    assert_eq!(regions[0].as_str(), "qc-east");
    assert!(document.workspaces().is_some_and(|none| none.is_empty()));
}

/// Guards against a dump or panic message that shows a digest, from which a weak key can be guessed.
#[test]
fn debug_output_shows_no_digest() {
    let document = document(&[("pulo", "")]);
    let digest = Salt::of(b"configuration").digest(&key("pulo")).to_string();
    assert!(document.text().contains(&digest));
    let shown = format!("{:?}", document.workspaces());
    assert!(!shown.contains(&digest), "{shown}");
}

/// Guards against a fault of the original that is lost in translation.
#[test]
fn a_fault_of_the_original_refuses_the_document() {
    let error = Document::parse(r#"{ "fault": "route \"a\": no kind", "rules": [] }"#);
    let error = error.expect_err("a fault");
    assert_eq!(error.to_string(), "line 1, column 12: route \"a\": no kind");
}
