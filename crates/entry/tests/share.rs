//! The weight that an entry gives a request at gates.

use rule::{Document, Route, Then};
use unit::Rate;
use workspace::{Quota, Workspace};

fn route() -> Route {
    let text = r#"{ "rules": [{ "name": "all", "then": { "service": "desk", "weight": 3 } }] }"#;
    let document = Document::parse(text).expect("rules");
    match &document.rules()[0].then {
        Then::Route(route) => route.clone(),
        Then::Refuse(_) => panic!("the rule routes"),
    }
}

fn workspace(quota: Option<f64>) -> Workspace {
    Workspace {
        name: "pulo780".parse().expect("a name"),
        priority: None,
        urgency: None,
        quota: quota.map(|rate| Quota {
            rate: Rate::of(rate),
            burst: 1,
        }),
        regions: None,
    }
}

/// With equal weights a large workspace gets a fiftieth of its requests served in a shortage.
#[test]
fn the_weight_follows_the_quota() {
    let weight = |quota| entry::share::weight(&route(), Some(&workspace(quota)));
    assert_eq!(weight(Some(174.0)), 174);
    assert_eq!(weight(Some(0.4)), 1);
    assert_eq!(weight(Some(0.0)), 3);
    assert_eq!(weight(None), 3);
    assert_eq!(entry::share::weight(&route(), None), 3);
}
