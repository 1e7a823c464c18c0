//! Damaged settings are accepted or rejected with valid positions, and parsing never panics.

use proptest::prelude::*;
use proptest::test_runner::Config;
use setting::Setting;

fn config() -> Config {
    let default = Config::default();
    Config {
        cases: default.cases.max(1_000),
        failure_persistence: None,
        ..default
    }
}

/// Tokens with a meaning in JSON with comments, and values at the edge of what is valid.
const TOKENS: [&str; 14] = [
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "\\u",
    "//",
    "/*",
    "null",
    "-1",
    "1e999",
    "\"\u{0}\"",
];

/// The text that replaces a part of the settings: one of [`TOKENS`], or arbitrary characters.
fn replacement() -> impl Strategy<Value = String> {
    prop_oneof![
        proptest::sample::select(&TOKENS[..]).prop_map(str::to_string),
        ".{0,12}",
    ]
}

/// The last character boundary of `text` at or before `millionths` of its length.
fn boundary(text: &str, millionths: usize) -> usize {
    let mut at = text.len() * millionths / 1_000_000;
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn damaged_settings_are_accepted_or_rejected_with_positions(
        from in 0_usize..1_000_000, cut in 0_usize..200, replacement in replacement(),
    ) {
        let example = Setting::example();
        let from = boundary(example, from);
        let to = boundary(example, ((from + cut).min(example.len()) * 1_000_000) / example.len());
        let text = format!("{}{replacement}{}", &example[..from], &example[to.max(from)..]);
        if let Err(error) = Setting::parse(&text) {
            prop_assert!(!error.faults().is_empty());
            let lines = text.lines().count() + 1;
            for fault in error.faults() {
                let is_within = (1..=lines).contains(&fault.line) && fault.column >= 1;
                prop_assert!(is_within && !fault.cause.is_empty(), "{}", fault);
            }
        }
    }
}
