//! The example settings and the defaults.

use std::collections::BTreeSet;

use log::LevelFilter;
use setting::{Limits, Setting};

#[test]
fn example_parses_and_states_the_defaults() {
    let setting = Setting::parse(Setting::example()).unwrap();
    assert_eq!(setting.limits, Limits::default());
    assert_eq!(setting.log, LevelFilter::Info);
    assert_eq!(setting.store.len(), 2);
    assert_eq!(setting.threads, Some(2));
}

#[test]
fn a_short_document_has_the_same_defaults() {
    let example = Setting::parse(Setting::example()).unwrap();
    let short = Setting::parse(include_str!("good/quebec.jsonc")).unwrap();
    assert_eq!(short.region, "local");
    assert_eq!(short.limits, example.limits);
    assert_eq!(short.rules_key, example.rules_key);
    assert_eq!(short.announce_prefix, example.announce_prefix);
    assert_eq!(short.ledger_prefix, example.ledger_prefix);
    assert_eq!(short.log, example.log);
    assert_eq!(short.threads, None);
    assert_eq!(short.bandwidth, None);
    let rate = example.bandwidth.expect("a rate");
    assert_eq!(rate.bits_per_second(), 100_000_000);
}

/// The example contains every field that the fault for an unknown field lists. It contains no other
/// fields, because it would not parse with them.
#[test]
fn example_has_every_field() {
    let error = Setting::parse(r#"{ "x": 1, "limits": { "y": 1 } }"#).unwrap_err();
    let unknown = error
        .faults()
        .iter()
        .filter(|fault| fault.cause.starts_with("unknown"));
    let known: BTreeSet<&str> = unknown
        .filter_map(|fault| fault.cause.split_once("one of "))
        .flat_map(|(_, names)| names.split(", "))
        .collect();
    assert_eq!(known.len(), 45);
    for name in known {
        assert!(
            Setting::example().contains(&format!("{name:?}: ")),
            "{name} is missing"
        );
    }
}

#[test]
fn page_shows_the_example() {
    let page = include_str!("../../../docs/operators/settings.md");
    assert!(page.contains(&format!("```jsonc\n{}```", Setting::example())));
}
