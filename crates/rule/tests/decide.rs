//! Tests matching, explanations, shadowing, callers and keys.

use std::net::IpAddr;

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use rule::{Document, Key, KeyError, Request, Rule, Then};
use unit::{Caller, Service, Urgency, Zone};

const SONG_HONG: &str = include_str!("good/song-hong.jsonc");
const QUEBEC: &str = include_str!("good/quebec.jsonc");

/// An owned version of [`Request`].
struct OwnedRequest {
    service: Option<Service>,
    method: Method,
    path: String,
    query: Option<String>,
    headers: HeaderMap,
    caller: Caller,
    zone: Zone,
}

impl OwnedRequest {
    fn of(method: Method, path: &str) -> OwnedRequest {
        OwnedRequest {
            service: None,
            method,
            path: path.to_string(),
            query: None,
            headers: HeaderMap::new(),
            caller: "desk-3@clinic-7".parse().expect("a caller"),
            zone: "longbien".parse().expect("a zone"),
        }
    }

    fn header(mut self, name: &'static str, value: &'static str) -> OwnedRequest {
        let name = HeaderName::from_static(name);
        self.headers.append(name, HeaderValue::from_static(value));
        self
    }

    fn query(mut self, query: &str) -> OwnedRequest {
        self.query = Some(query.to_string());
        self
    }

    fn caller(mut self, caller: &str) -> OwnedRequest {
        self.caller = caller.parse().expect("a caller");
        self
    }

    fn service(mut self, service: &str) -> OwnedRequest {
        self.service = Some(service.parse().expect("a service"));
        self
    }

    fn request(&self) -> Request<'_> {
        Request {
            service: self.service.as_ref(),
            method: &self.method,
            path: &self.path,
            query: self.query.as_deref(),
            headers: &self.headers,
            caller: &self.caller,
            zone: &self.zone,
        }
    }

    fn rule<'d>(&self, document: &'d Document) -> Option<&'d Rule> {
        document.decide(&self.request())
    }
}

fn parse(text: &str) -> Document {
    Document::parse(text).expect("a valid document")
}

fn name<'d>(document: &'d Document, sample: &OwnedRequest) -> &'d str {
    let rule = sample.rule(document);
    rule.map_or("none", |rule| &rule.name)
}

#[test]
fn first_match_wins() {
    let document = parse(SONG_HONG);
    let lookup = || OwnedRequest::of(Method::GET, "/files/land/41");
    assert_eq!(name(&document, &lookup()), "file look-up");
    assert_eq!(
        name(&document, &lookup().caller("eve@audit")),
        "audit look-up"
    );
    let both = lookup().caller("eve@audit").header("x-court", "yes");
    assert_eq!(name(&document, &both), "court look-up");
    assert_eq!(
        name(&document, &lookup().header("x-court", "no")),
        "file look-up"
    );
    let batch = OwnedRequest::of(Method::GET, "/index/search").header("x-batch", "march");
    assert_eq!(name(&document, &batch), "member batch");
    let check = OwnedRequest::of(Method::GET, "/vault/boxes/9");
    assert_eq!(name(&document, &check), "rest");
    assert_eq!(
        name(&document, &check.service("file-registry")),
        "registry check"
    );
}

#[test]
fn parses_fields_and_defaults() {
    let document = parse(QUEBEC);
    let list = OwnedRequest::of(Method::GET, "/yard/sorel/haul-outs");
    let Some(Then::Route(route)) = list.rule(&document).map(|rule| &rule.then) else {
        panic!("no route");
    };
    assert_eq!(route.urgency, Urgency::Urgent);
    assert_eq!(route.timeout.as_secs(), 3);
    assert!(route.hedge);
    assert_eq!((route.retries, route.weight), (2, 1));
    assert_eq!(route.measuring.bytes(), 1_000);
    let bill = OwnedRequest::of(Method::POST, "/billing/haul-outs/4");
    assert_eq!(name(&document, &bill), "billing from outside");
    assert_eq!(name(&document, &bill.service("reservations")), "billing");
    assert_eq!(
        name(&document, &OwnedRequest::of(Method::POST, "/slots")),
        "none"
    );
    let services: Vec<&str> = document
        .services()
        .into_iter()
        .map(Service::as_str)
        .collect();
    assert_eq!(services, ["reservations", "yardops"]);
}

#[test]
fn explains_each_mismatch_and_the_match() {
    let document = parse(SONG_HONG);
    let sample = OwnedRequest::of(Method::GET, "/files/land/41").header("x-court", "no");
    let explanation = document.explain(&sample.request());
    assert_eq!(explanation.matched.as_deref(), Some("file look-up"));
    let lines: Vec<String> = explanation.to_string().lines().map(String::from).collect();
    let expected = [
        r#"rule "destruction" did not match: method is GET, expected POST"#,
        r#"rule "box retrieval" did not match: method is GET, expected POST"#,
        r#"rule "court look-up" did not match: header x-court is "no", expected "yes""#,
        r#"rule "registry check" did not match: service is absent, expected "file-registry""#,
        r#"rule "audit look-up" did not match: caller is "desk-3@clinic-7", expected "*@audit""#,
        r#"rule "member batch" did not match: path is "/files/land/41", expected "/index/**""#,
        r#"rule "index search" did not match: path is "/files/land/41", expected "/index/**""#,
        r#"rule "file look-up" matched"#,
    ];
    assert_eq!(lines, expected);
    let none = parse(QUEBEC).explain(&OwnedRequest::of(Method::POST, "/slots").request());
    assert!(none.to_string().ends_with("no rule matched"));
}

/// Whether a rule with the conditions `first` shadows a later rule with the conditions `second`.
fn shadows(first: &str, second: &str) -> bool {
    let then = r#""then": { "service": "vault-desk" }"#;
    let text = format!(
        r#"{{ "rules": [
            {{ "name": "first", "when": {first}, {then} }},
            {{ "name": "second", "when": {second}, {then} }}
        ] }}"#
    );
    let warnings = parse(&text).check();
    if let Some(warning) = warnings.first() {
        let expected =
            r#"line 3, column 13: rule "second" can never match: rule "first" matches first"#;
        assert_eq!(warning.to_string(), expected);
    }
    !warnings.is_empty()
}

#[test]
fn finds_rules_that_can_never_match() {
    for (first, second) in [
        ("{}", r#"{ "zone": "longbien" }"#),
        (r#"{ "path": "/**" }"#, "{}"),
        (r#"{ "path": "/a/**" }"#, r#"{ "path": "/a" }"#),
        (r#"{ "path": "/a/*/**" }"#, r#"{ "path": "/a/b/c/**" }"#),
        (r#"{ "path": "/*" }"#, r#"{ "path": "/a" }"#),
        (
            r#"{ "method": ["GET", "HEAD"] }"#,
            r#"{ "method": "HEAD" }"#,
        ),
        (r#"{ "caller": "*@b" }"#, r#"{ "caller": "*a@b" }"#),
        (
            r#"{ "header": { "x-a": "*" } }"#,
            r#"{ "header": { "x-a": "1", "x-b": "2" } }"#,
        ),
        (
            r#"{ "service": ["a", "b"] }"#,
            r#"{ "service": "b", "path": "/a" }"#,
        ),
    ] {
        assert!(shadows(first, second), "{first} should shadow {second}");
    }
}

#[test]
fn does_not_warn_about_rules_that_can_match() {
    for (first, second) in [
        (r#"{ "zone": "longbien" }"#, "{}"),
        (r#"{ "path": "/a/*/**" }"#, r#"{ "path": "/a/**" }"#),
        (r#"{ "path": "/a" }"#, r#"{ "path": "/a/**" }"#),
        (r#"{ "path": "/a/b" }"#, r#"{ "path": "/a/*" }"#),
        (r#"{ "method": "GET" }"#, r#"{ "method": ["GET", "HEAD"] }"#),
        (r#"{ "caller": "a*" }"#, r#"{ "caller": "*a" }"#),
        (r#"{ "caller": "*a@b" }"#, r#"{ "caller": "*@b" }"#),
        (
            r#"{ "header": { "x-a": "1" } }"#,
            r#"{ "header": { "x-a": "*" } }"#,
        ),
        (
            r#"{ "header": { "x-a": "1" } }"#,
            r#"{ "header": { "x-b": "1" } }"#,
        ),
        (r#"{ "service": "a" }"#, r#"{ "path": "/a" }"#),
    ] {
        assert!(
            !shadows(first, second),
            "{first} should not shadow {second}"
        );
    }
}

#[test]
fn identifies_the_caller() {
    let document = parse(SONG_HONG);
    let peer: IpAddr = "::ffff:10.0.0.7".parse().unwrap();
    let caller = |sample: OwnedRequest| document.caller(&sample.headers, peer).to_string();
    let sample = || OwnedRequest::of(Method::GET, "/");
    assert_eq!(
        caller(sample().header("x-caller", "desk-3@clinic-7")),
        "desk-3@clinic-7"
    );
    assert_eq!(caller(sample()), "10.0.0.7");
    assert_eq!(caller(sample().header("x-caller", "two words")), "10.0.0.7");
    let twice = sample().header("x-caller", "a").header("x-caller", "b");
    assert_eq!(caller(twice), "10.0.0.7");
    let unnamed = parse(r#"{ "rules": [{ "name": "a", "then": { "service": "b" } }] }"#);
    let headers = sample().header("x-caller", "a").headers;
    assert_eq!(
        unnamed.caller(&headers, "::1".parse().unwrap()).as_str(),
        "::1"
    );
}

#[test]
fn finds_the_key_in_the_query() {
    let key = Key::Query("slip".to_string());
    let find = |query: &str| key.find(&OwnedRequest::of(Method::POST, "/").query(query).request());
    assert_eq!(find("a=1&slip=R-41"), Ok(Some("R-41".to_string())));
    assert_eq!(find("%73lip=R%2D41"), Ok(Some("R-41".to_string())));
    assert_eq!(find("slip=R+41"), find("slip=R%2041"));
    assert_eq!(find("slip="), Ok(None));
    assert_eq!(find("slipped=1"), Ok(None));
    assert_eq!(
        find("slip=1&%73lip=2"),
        Err(KeyError::Repeated(key.clone()))
    );
    assert_eq!(find("slip=%ZZ"), Err(KeyError::NotText(key.clone())));
    assert_eq!(find("slip=a%0Ab"), Err(KeyError::NotText(key.clone())));
    assert!(find(&format!("slip={}", "x".repeat(512))).is_ok());
    let long = find(&format!("slip={}", "x".repeat(513)));
    assert_eq!(long, Err(KeyError::TooLong(key.clone(), 513)));
}

#[test]
fn finds_the_key_in_a_header() {
    let key = Key::Header("idempotency-key".to_string());
    let sample = || OwnedRequest::of(Method::POST, "/");
    assert_eq!(key.find(&sample().request()), Ok(None));
    let one = sample().header("idempotency-key", "order-7");
    assert_eq!(key.find(&one.request()), Ok(Some("order-7".to_string())));
    let two = one.header("idempotency-key", "order-8");
    assert_eq!(
        key.find(&two.request()),
        Err(KeyError::Repeated(key.clone()))
    );
}
