//! The log of the real program.

mod common;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use common::write_settings;
use mesh::Block;

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
    let path = write_settings(Block::next(), &format!(r#""slots": 4{fields}"#));
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
