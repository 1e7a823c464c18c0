//! Tests that each file in `good` parses without warnings and each file in `bad` fails with the
//! faults that it lists.

use std::path::Path;

use rule::Document;

fn good(_: &Path, text: String) -> datatest_stable::Result<()> {
    let document = Document::parse(&text)?;
    assert_eq!(document.check(), []);
    assert_eq!(document.text(), text);
    Ok(())
}

/// Each `// expect: ` line holds the beginning of a fault's text. The faults must be exactly these,
/// in this order.
fn bad(_: &Path, text: String) -> datatest_stable::Result<()> {
    let expected: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("// expect: "))
        .collect();
    assert!(!expected.is_empty(), "the file has no \"// expect: \" line");
    let error = Document::parse(&text)
        .err()
        .ok_or("the document was accepted")?;
    let found: Vec<String> = error.faults().iter().map(ToString::to_string).collect();
    assert_eq!(found.len(), expected.len(), "{error}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(
            found.starts_with(expected),
            "found {found:?}, expected {expected:?}"
        );
    }
    Ok(())
}

datatest_stable::harness! {
    { test = good, root = "tests/good", pattern = r"\.jsonc$" },
    { test = bad, root = "tests/bad", pattern = r"\.jsonc$" },
}
