//! Every file of `good` parses, and every file of `bad` fails as it says.

use std::path::Path;

use setting::Setting;

fn good(_: &Path, text: String) -> datatest_stable::Result<()> {
    Setting::parse(&text)?;
    Ok(())
}

/// Each `// expect:` line names a fault, in order, and there are no others.
fn bad(_: &Path, text: String) -> datatest_stable::Result<()> {
    let expected: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("// expect: "))
        .collect();
    assert!(!expected.is_empty(), "the file names no fault");
    let error = Setting::parse(&text)
        .err()
        .ok_or("the settings were taken")?;
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
