//! The text forms of ids, sizes and rates.

use unit::{Bandwidth, Caller, Fingerprint, Rate, Size, Span, Token, Urgency, Zone};

fn round_trip<T>(text: &str)
where
    T: std::str::FromStr + std::fmt::Display,
    T::Err: std::fmt::Debug,
{
    let value: T = text.parse().expect("the text form parses");
    assert_eq!(value.to_string(), text);
}

#[test]
fn text_forms_round_trip() {
    round_trip::<Zone>("trois-rivieres");
    round_trip::<Token>("000000000000000000000000000000ff");
    round_trip::<Size>("9KB");
    round_trip::<Rate>("0.5/s");
    round_trip::<Bandwidth>("10Mbit/s");
    round_trip::<Bandwidth>("12500kbit/s");
    round_trip::<Span>("250ms");
    round_trip::<Urgency>("routine");
    round_trip::<Fingerprint>(&"ab".repeat(32));
}

#[test]
fn bad_texts_say_what_was_expected() {
    let error = "9 kilobytes".parse::<Size>().unwrap_err().to_string();
    assert!(
        error.contains("9 kilobytes") && error.contains("KB"),
        "{error}"
    );
    assert!("".parse::<Zone>().is_err());
    assert!("a b".parse::<Caller>().is_err());
    assert!("-1/s".parse::<Rate>().is_err());
    assert!("0Mbit/s".parse::<Bandwidth>().is_err());
    assert!("10MB/s".parse::<Bandwidth>().is_err());
    assert!("Mbit/s".parse::<Bandwidth>().is_err());
    assert!("+f00000000000000000000000000000f".parse::<Token>().is_err());
    assert!("é".repeat(32).parse::<Fingerprint>().is_err());
    assert!("18446744073709551615GB".parse::<Size>().is_err());
}

#[test]
fn times_take_fractions_and_exponents_of_one_unit() {
    for (text, micros) in [
        ("1500.5ms", 1_500_500),
        ("1.5e3ms", 1_500_000),
        ("0.25s", 250_000),
        ("10.0s", 10_000_000),
    ] {
        let Span(span) = text.parse().expect("a time");
        assert_eq!(span.as_micros(), micros, "{text}");
    }
    for text in ["-1ms", "1e400s", "ms", "NaNs"] {
        assert!(text.parse::<Span>().is_err(), "{text}");
    }
}
