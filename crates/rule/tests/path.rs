//! Tests path normalization and path patterns.

use rule::path::{PathError, normalize};
use rule::pattern::Path;

/// Guards against a caller that bypasses a rule, such as one that makes a request run at most once,
/// with a path that doesn't match the rule but that the target still accepts. Each such path must
/// either match the rule or be refused.
#[test]
fn alternative_spellings_do_not_bypass_a_rule() {
    let pattern: Path = "/vault/destroy/*".parse().unwrap();
    for raw in [
        "/vault/destroy/7",
        "/vault/destroy/7/",
        "//vault///destroy/7",
        "/%76ault/%64%65stroy/7",
        "/vault/destroy;jsessionid=1/7",
        "/;x/vault/destroy/7",
        "/vault%3Bx/destroy/7",
    ] {
        let normalized = normalize(raw).unwrap();
        assert!(pattern.matches(&normalized), "{raw} became {normalized}");
    }
    for raw in [
        "/public/../vault/destroy/7",
        "/public/%2e%2E/vault/destroy/7",
        "/public/..;/vault/destroy/7",
        "/public/..%3B/vault/destroy/7",
        "/vault/./destroy/7",
        "/vault%2Fdestroy/7",
        "/vault\\destroy/7",
        "/vault%5cdestroy/7",
        "/vault/%2564estroy/7",
        "/vault/destroy%00/7",
        "/vault/destroy%0a/7",
        "/vault/%c1%a4estroy/7",
        "/vault/%6/7",
        "vault/destroy/7",
        "*",
    ] {
        assert!(normalize(raw).is_err(), "{raw} was accepted");
    }
}

#[test]
fn keeps_unambiguous_paths() {
    assert_eq!(normalize("/").as_deref(), Ok("/"));
    assert_eq!(
        normalize("/files/%C4%91%E1%BA%A5t").as_deref(),
        Ok("/files/đất")
    );
    assert_eq!(normalize("/files/100%25").as_deref(), Ok("/files/100%"));
    assert_eq!(normalize("/files/...").as_deref(), Ok("/files/..."));
    let long = format!("/{}", "a".repeat(8_192));
    assert_eq!(normalize(&long), Err(PathError::TooLong(8_193)));
}

#[test]
fn patterns_match_complete_segments() {
    let matches = |pattern: &str, path: &str| {
        let pattern: Path = pattern.parse().expect("a pattern");
        assert_eq!(pattern.to_string().parse(), Ok(pattern.clone()));
        pattern.matches(path)
    };
    assert!(matches("/a/*", "/a/b"));
    assert!(!matches("/a/*", "/a"));
    assert!(!matches("/a/*", "/a/b/c"));
    assert!(matches("/a/**", "/a"));
    assert!(matches("/a/**", "/a/b/c"));
    assert!(!matches("/a/**", "/ab"));
    assert!(matches("/**", "/"));
    assert!(matches("/", "/"));
    assert!(!matches("/", "/a"));
    assert!(matches("/a/", "/a"));
}
