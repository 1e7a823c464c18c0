//! Lines of the log in both formats.

use std::time::{Duration, SystemTime};

use appleshore::logging::Line;
use log::Level;

fn line(message: &str) -> Line {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(1_780_254_157_520);
    Line::of(at, Level::Info, message)
}

fn json(message: &str) -> serde_json::Value {
    let text = line(message).json();
    assert!(!text.contains('\n'), "one line an object: {text}");
    serde_json::from_str(&text).expect("JSON")
}

#[test]
fn a_line_names_its_part_first() {
    let line = line("gate: id=5def64 refused=full waited_ms=0.");
    assert_eq!(
        line.to_string(),
        "at=2026-05-31T19:02:37.520Z level=INFO part=gate id=5def64 refused=full waited_ms=0."
    );
    assert_eq!(self::line("ready").part, "process");
}

#[test]
fn pairs_become_fields_and_the_message_stays_whole() {
    let said = "gate: id=17 refused=full waited_ms=0, and goes on.";
    let object = json(said);
    assert_eq!(object["at"], "2026-05-31T19:02:37.520Z");
    assert_eq!(
        (&object["level"], &object["part"]),
        (&"INFO".into(), &"gate".into())
    );
    assert_eq!(object["message"], &said["gate: ".len()..]);
    // An id of digits alone is a text as any other id.
    let fields = serde_json::json!({ "id": "17", "refused": "full", "waited_ms": "0" });
    assert_eq!(object["fields"], fields);
}

#[test]
fn quoted_values_may_hold_anything() {
    let detail = "the gate said \"no\", id=7 = odd \u{7} ünder\nline";
    let object = json(&format!("entry: id=1 detail={detail:?} status=503."));
    assert_eq!(object["fields"]["id"], "1");
    assert_eq!(object["fields"]["status"], "503");
    let found = object["fields"]["detail"].as_str().expect("a text");
    assert!(
        found.ends_with("= odd \\u{7} ünder\\nline"),
        "as it was written: {found}"
    );
}

#[test]
fn odd_texts_become_objects_too() {
    for said in [
        "", "=", "a=", "=b", "x: ==", "a=\"", "é=ü", "k=\"open", "a=b=c", "x: a=1.", "\n=\n",
    ] {
        let object = json(said);
        assert!(object["fields"].is_object(), "{said:?}: {object}");
    }
    assert_eq!(json("x: a=1.")["fields"]["a"], "1");
    assert_eq!(json("x: a=b=c")["fields"]["a"], "b=c");
}
