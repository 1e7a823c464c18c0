//! Settings with damage of any kind are taken or refused with places, and never more than that.

use proptest::prelude::*;
use proptest::test_runner::Config;
use setting::Setting;

fn config() -> Config {
    let set = Config::default();
    Config {
        cases: set.cases.max(1_000),
        failure_persistence: None,
        ..set
    }
}

/// Pieces that mean something to the reader.
const PIECES: [&str; 14] = [
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

/// What is put into a text: one of them, or anything.
fn piece() -> impl Strategy<Value = String> {
    prop_oneof![
        proptest::sample::select(&PIECES[..]).prop_map(str::to_string),
        ".{0,12}",
    ]
}

/// A place of `text` between two characters, at `share` of a million of its length.
fn place(text: &str, share: usize) -> usize {
    let mut at = text.len() * share / 1_000_000;
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn damaged_settings_are_taken_or_refused_with_places(
        from in 0_usize..1_000_000, cut in 0_usize..200, piece in piece(),
    ) {
        let example = Setting::example();
        let from = place(example, from);
        let to = place(example, ((from + cut).min(example.len()) * 1_000_000) / example.len());
        let text = format!("{}{piece}{}", &example[..from], &example[to.max(from)..]);
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
