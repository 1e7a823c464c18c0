//! Tests of how a request's key is read.

use dialect::{Credential, Dialect, Presented};
use http::HeaderMap;
use workspace::Key;

fn read(values: &[&str]) -> (Dialect, HeaderMap) {
    let dialect = Dialect {
        credential: Some(Credential {
            header: http::header::AUTHORIZATION,
            scheme: "Bearer",
        }),
        ..Dialect::default()
    };
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append("authorization", value.parse().expect("a value"));
    }
    (dialect, headers)
}

/// Guards against a key that is read otherwise than its caller means it, and against two keys of which
/// the entry checks one and another program takes the other.
#[test]
fn a_key_is_read_once_and_whole() {
    let key = |text: &'static str| Presented::Key(Key::new(text.as_bytes()).expect("a key"));
    let cases: [(&[&str], Presented<'_>); 11] = [
        (&["Bearer k-1"], key("k-1")),
        (&["bearer   k-1 "], key("k-1")),
        (&["BEARER k 1"], key("k 1")),
        (&[], Presented::Nothing),
        (&["Basic k-1"], Presented::Nothing),
        (&["Bearerk-1"], Presented::Nothing),
        (&["k-1"], Presented::Nothing),
        (&[""], Presented::Nothing),
        (&["Bearer"], Presented::Malformed),
        (&["Bearer k-1", "Bearer k-1"], Presented::Malformed),
        (&["Basic x", "Bearer k-1"], Presented::Malformed),
    ];
    for (values, expected) in cases {
        let (dialect, headers) = read(values);
        assert!(dialect.credential(&headers) == expected, "{values:?}");
    }
}

#[test]
fn debug_output_hides_the_key() {
    let (dialect, headers) = read(&["Bearer k-1"]);
    let shown = format!("{:?}", dialect.credential(&headers));
    assert_eq!(shown, "Key(Key(hidden))");
}
