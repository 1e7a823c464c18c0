//! The log of the real program.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use mesh::{Address, Block};

/// Ends the daemon with the test.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The first line of a daemon whose settings have `fields` beside the addresses.
fn first_line(fields: &str) -> String {
    let block = Block::next();
    let address = |what| block.of(0, what);
    let settings = format!(
        r#"{{ "instance": "a", "zone": "longbien", "service": "desk", "slots": 4, "callers": "{}",
              "outbound": "{}", "link": "{}", "operator": "{}", "target": "{}", "store": ["{}"]{fields} }}"#,
        address(Address::Callers),
        address(Address::Outbound),
        address(Address::Link),
        address(Address::Operator),
        address(Address::Target),
        address(Address::Store),
    );
    let name = format!("log-{}.jsonc", address(Address::Callers).port());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, settings).expect("the settings are written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_appleshored"));
    let child = command
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn();
    let mut daemon = Daemon(child.expect("the daemon starts"));
    let out = daemon.0.stdout.take().expect("a pipe");
    let mut line = String::new();
    let read = BufReader::new(out).read_line(&mut line);
    read.expect("a line of text");
    line
}

#[test]
fn lines_are_pairs_unless_the_settings_say_otherwise() {
    let line = first_line("");
    assert!(line.starts_with("at=") && line.contains(" part="), "{line}");
}

#[test]
fn lines_are_objects_where_the_settings_say_so() {
    let line = first_line(r#", "log_format": "json""#);
    let object: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    for key in ["at", "level", "part", "message"] {
        assert!(object[key].is_string(), "{key}: {line}");
    }
    assert!(object["fields"].is_object(), "{line}");
}
