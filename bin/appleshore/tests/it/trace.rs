//! `appleshore trace` on logs of several daemons.

use crate::kit::{file, run};

const ENTRY: &str = "\
at=2026-05-31T19:02:37.520Z level=INFO part=entry id=5def64 service=desk class=7 status=500 reason=answered sent=1 refused=1 again=false last=b-1 took_ms=19 left_ms=900.
at=2026-05-31T19:02:37.600Z level=INFO part=entry id=5def64aa service=desk class=7 status=200 reason=answered sent=1 refused=0 took_ms=3 left_ms=9.
at=2026-05-31T19:02:37.100Z level=INFO part=feed rules 6 are in force.
";

const GATES: &str = "\
  17.5010 b-2 at=2026-05-31T19:02:37.501Z level=INFO part=gate id=5def64 refused=full waited_ms=0 running=9 queued=3 limit=9 pace=100 service_us=61224.
  17.5190 b-1 at=2026-05-31T19:02:37.519Z level=INFO part=gate id=5def64 status=500 waited_ms=0 ran_ms=14.
  17.5150 b-1 at=2026-05-31T19:02:37.515Z level=INFO part=entry id=5def64.01 service=lab status=503 reason=full sent=0 refused=4 took_ms=9 left_ms=100.
  17.5140 c-1 at=2026-05-31T19:02:37.514Z level=INFO part=gate id=5def64.01 refused=full waited_ms=0 running=4 limit=4 pace=700.
  no line of a log
";

/// A caller complains of a 500. The on-call engineer has one log a machine, and the cause stands in that
/// of a machine which the request itself never reached: a call that was made for it was refused there.
#[tokio::test]
async fn a_request_is_followed_to_the_call_that_failed() {
    let entry = file("trace-entry.log", ENTRY);
    let gates = file("trace-gates.log", GATES);
    let traced = run(&["trace", "5def64", &gates, &entry]).await;
    assert_eq!((traced.code, traced.err.as_str()), (Some(0), ""));
    let lines: Vec<&str> = traced.out.lines().collect();
    assert_eq!(lines[0], "5def64: 500 answered after 19 ms");
    assert!(lines[1].starts_with("  2026-05-31T19:02:37.501Z 17.5010 b-2 gate: refused=full"));
    assert!(lines[2].contains("b-1 gate: status=500"));
    assert!(lines[3].starts_with("  2026-05-31T19:02:37.520Z entry: service=desk"));
    assert_eq!(lines[4], "  5def64.01: 503 full after 9 ms");
    assert!(
        lines[5].ends_with("running=4 limit=4 pace=700"),
        "{}",
        lines[5]
    );
    assert_eq!(lines.len(), 7, "nothing of 5def64aa: {}", traced.out);
    let call = run(&["trace", "5def64.01", &gates]).await;
    assert!(call.out.starts_with("5def64.01: 503 full"), "{}", call.out);
}

/// One of the daemons logs JSON objects.
#[tokio::test]
async fn lines_of_both_formats_are_followed() {
    let entry = file("trace-text.log", ENTRY);
    let mut json = String::new();
    for line in GATES.lines().filter(|line| line.contains("at=")) {
        let (origin, line) = line.split_once("at=").expect("a line");
        let (at, line) = line.split_once(" level=INFO part=").expect("a line");
        let (part, message) = line.split_once(' ').expect("a line");
        let object = serde_json::json!({
            "at": at, "level": "INFO", "part": part, "message": message, "fields": {},
        });
        json.push_str(&format!("{origin}{object}\n"));
    }
    let gates = file("trace-json.log", &json);
    let text = file("trace-gates-text.log", GATES);
    let [mixed, plain] = [gates, text].map(|gates| [entry.clone(), gates]);
    let mixed = run(&["trace", "5def64", &mixed[0], &mixed[1]]).await;
    let plain = run(&["trace", "5def64", &plain[0], &plain[1]]).await;
    assert_eq!(mixed.out, plain.out);
    assert_eq!(mixed.out.lines().count(), 7, "{}", mixed.out);
}

#[tokio::test]
async fn a_request_that_no_log_knows_is_said_so() {
    let entry = file("trace-none.log", ENTRY);
    let none = run(&["trace", "0000", &entry]).await;
    assert_eq!(none.code, Some(1));
    assert!(
        none.err.contains("no line is about the request \"0000\""),
        "{}",
        none.err
    );
    let missing = run(&["trace", "5def64", "no-such.log"]).await;
    assert_eq!(missing.code, Some(2));
    assert!(missing.err.contains("no-such.log"), "{}", missing.err);
}
