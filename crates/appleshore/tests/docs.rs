//! Each example of settings or rules in the documents is accepted as it stands.

use std::path::Path;

use rule::Document;
use setting::Setting;

/// A text with a `rules` list is a document of rules, one with a `slots` number settings; other
/// fences show parts of one.
fn check(text: &str) -> datatest_stable::Result<()> {
    if text.contains("\"rules\":") {
        let document = Document::parse(text)?;
        let warnings = document.check();
        if !warnings.is_empty() {
            return Err(format!("rules that never match: {warnings:?}").into());
        }
    } else if text.contains("\"slots\":") {
        Setting::parse(text)?;
    }
    Ok(())
}

fn file(path: &Path) -> datatest_stable::Result<()> {
    check(&std::fs::read_to_string(path)?)
}

fn page(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    for fence in text.split("```jsonc\n").skip(1) {
        let example = fence.split("```").next().unwrap_or_default();
        check(example)?;
    }
    Ok(())
}

datatest_stable::harness! {
    { test = file, root = "../../docs/operators", pattern = r"\.jsonc$" },
    { test = page, root = "../../docs", pattern = r"\.md$" },
}
