//! Every file in `good` parses, and every file in `bad` fails with the faults that it lists.

use std::path::Path;

use setting::Setting;

fn good(_: &Path, text: String) -> datatest_stable::Result<()> {
    Setting::parse(&text)?;
    Ok(())
}

/// Each `// expect:` line gives the start of one fault, in order, and there are no other faults.
fn bad(_: &Path, text: String) -> datatest_stable::Result<()> {
    let expected: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("// expect: "))
        .collect();
    assert!(!expected.is_empty(), "the file lists no faults");
    let error = Setting::parse(&text)
        .err()
        .ok_or("the settings were accepted")?;
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
