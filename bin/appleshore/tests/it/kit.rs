//! Runs the built binary, and serves what it talks to.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use bytes::Bytes;
use standin::{Handle, Platform};
use store::{Condition, Store};
use tokio::net::TcpListener;
use unit::Version;

/// The key of the rules.
pub const KEY: &str = "rules";

/// What one run of the binary gave.
#[derive(Debug)]
pub struct Run {
    pub code: Option<i32>,
    pub out: String,
    pub err: String,
}

/// Runs the binary to its end.
pub async fn run(arguments: &[&str]) -> Run {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let output = tokio::task::spawn_blocking(move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_appleshore"));
        command.args(arguments).output().expect("the binary runs")
    });
    let output = output.await.expect("the run ends");
    Run {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).expect("text"),
        err: String::from_utf8(output.stderr).expect("text"),
    }
}

/// Runs the binary to its end with `input` on its standard input.
pub async fn run_with(arguments: &[&str], input: &str) -> Run {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let input = input.to_string();
    let output = tokio::task::spawn_blocking(move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_appleshore"));
        command.args(arguments).stdin(Stdio::piped());
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the binary runs");
        let mut stdin = child.stdin.take().expect("a pipe");
        // A binary that fails before it reads closes the pipe; its output tells why.
        drop(stdin.write_all(input.as_bytes()));
        drop(stdin);
        child.wait_with_output().expect("the binary ends")
    });
    let output = output.await.expect("the run ends");
    Run {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).expect("text"),
        err: String::from_utf8(output.stderr).expect("text"),
    }
}

/// Writes a file of this test run, and gives its path.
pub fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file is written");
    path.to_str().expect("a path of text").to_string()
}

/// A document with one route for each of `rules`: its name and its service.
pub fn document(rules: &[(&str, &str)]) -> String {
    let rules = rules.iter().map(|(name, service)| {
        format!(
            r#"{{ "name": "{name}", "when": {{ "path": "/{name}" }},
                "then": {{ "service": "{service}" }} }}"#
        )
    });
    let rules: Vec<String> = rules.collect();
    format!(r#"{{ "rules": [ {} ] }}"#, rules.join(", "))
}

/// A platform that is served over HTTP.
pub struct Served {
    pub platform: Platform,
    pub store: Store,
    handle: Handle,
}

/// Serves an empty platform.
pub async fn serve() -> Served {
    let platform = Platform::builder().open();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let handle = standin::serve(platform.clone(), listener).expect("an address");
    let store = platform.store_named("test");
    Served {
        platform,
        store,
        handle,
    }
}

impl Served {
    /// Where the platform is served.
    pub fn address(&self) -> std::net::SocketAddr {
        self.handle.address()
    }

    /// Puts rules in force beside the command line.
    pub async fn write(&self, text: &str) -> Version {
        let value = Bytes::from(text.to_string());
        let written = self.store.put(KEY, value, Condition::Any).await;
        written.expect("the stand-in is up")
    }

    /// The rules in force and their version.
    pub async fn read(&self) -> Option<(String, Version)> {
        let object = self.store.get(KEY).await.expect("the stand-in is up")?;
        let text = String::from_utf8(object.value.to_vec()).expect("text");
        Some((text, object.version))
    }

    /// Runs `rules put` on a file, with further arguments.
    pub async fn put(&self, file: &str, more: &[&str]) -> Run {
        let address = self.handle.address().to_string();
        let arguments = [&["rules", "put", file, "--store", &address], more].concat();
        run(&arguments).await
    }

    /// Runs `rules get`, with further arguments.
    pub async fn get(&self, more: &[&str]) -> Run {
        let address = self.handle.address().to_string();
        run(&[&["rules", "get", "--store", &address], more].concat()).await
    }
}
