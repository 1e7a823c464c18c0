//! `appleshore trace`: what the logs of all daemons say of one request and the calls below it.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::error::Error;
use crate::output;

/// What `trace` takes.
#[derive(Debug, clap::Args)]
pub(crate) struct Arguments {
    /// The request's id, as its caller knows it. Calls made for it are found by it, too.
    id: String,
    /// Logs of daemons, in any order; standard input where none is named.
    logs: Vec<PathBuf>,
}

/// One line of a log about a request.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    /// When it was written, in a form that sorts.
    at: String,
    /// What stands before the line proper, such as the name of the machine.
    origin: String,
    part: String,
    /// The rest, as written.
    text: String,
}

/// The lines of a request or call, by its id. A call's id is that of the request that it serves, a dot
/// and a name of its own, so that those below one come right behind it.
type Tree = BTreeMap<String, Vec<Line>>;

/// Prints the tree of the request.
///
/// # Errors
///
/// [`Error::File`] if a log can't be read, and [`Error::NoTrace`] if no line is about the request.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let mut tree = Tree::new();
    if arguments.logs.is_empty() {
        let input = Path::new("standard input");
        collect(&arguments.id, input, io::stdin().lock(), &mut tree)?;
    }
    for path in &arguments.logs {
        let file = File::open(path).map_err(|cause| Error::File(path.clone(), cause))?;
        collect(&arguments.id, path, BufReader::new(file), &mut tree)?;
    }
    if tree.is_empty() {
        return Err(Error::NoTrace(arguments.id.clone()));
    }
    let mut text = String::new();
    for (id, lines) in &mut tree {
        lines.sort();
        let depth = id[arguments.id.len()..].matches('.').count();
        print(id, depth, lines, &mut text);
    }
    output::print(&text)
}

/// Takes the lines about the request `id` out of a log. Bytes that are no text are shown as such.
fn collect(id: &str, path: &Path, mut log: impl BufRead, tree: &mut Tree) -> Result<(), Error> {
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        let read = log.read_until(b'\n', &mut bytes);
        if read.map_err(|cause| Error::File(path.to_path_buf(), cause))? == 0 {
            return Ok(());
        }
        let line = String::from_utf8_lossy(&bytes);
        if let Some((found, line)) = parse(id, line.trim_end()) {
            tree.entry(found).or_default().push(line);
        }
    }
}

/// A line of a log as JSON, as far as it is used here.
#[derive(Deserialize)]
struct Object {
    at: String,
    part: String,
    message: String,
}

/// The line with the id that it is about, if that is the request `id` or a call below it.
fn parse(id: &str, line: &str) -> Option<(String, Line)> {
    let (origin, Object { at, part, message }) = parse_json(line).or_else(|| parse_text(line))?;
    let (_, rest) = message.split_once("id=")?;
    let (found, text) = rest.split_once(' ').unwrap_or((rest, ""));
    let below = found.strip_prefix(id)?;
    if !below.is_empty() && !below.starts_with('.') {
        return None;
    }
    let line = Line {
        at,
        origin: origin.trim().to_string(),
        part,
        text: text.trim_end_matches('.').to_string(),
    };
    Some((found.to_string(), line))
}

/// A line of words and `key=value` pairs, and what stands before it.
fn parse_text(line: &str) -> Option<(&str, Object)> {
    let (origin, rest) = line.split_once("at=")?;
    let (at, rest) = rest.split_once(' ')?;
    let (_, rest) = rest.split_once("part=")?;
    let (part, message) = rest.split_once(' ')?;
    let [at, part, message] = [at, part, message].map(str::to_string);
    Some((origin, Object { at, part, message }))
}

/// A line that is a JSON object, and what stands before it.
fn parse_json(line: &str) -> Option<(&str, Object)> {
    let start = line.find('{')?;
    let object = serde_json::from_str(&line[start..]).ok()?;
    Some((&line[..start], object))
}

fn print(id: &str, depth: usize, lines: &[Line], out: &mut String) {
    let indent = "  ".repeat(depth);
    let ended = lines.iter().rev().find_map(verdict);
    let ended = ended.unwrap_or("its caller left before it ended, or a log is missing".to_string());
    out.push_str(&format!("{indent}{id}: {ended}\n"));
    for line in lines {
        let Line {
            at,
            origin,
            part,
            text,
        } = line;
        let gap = if origin.is_empty() { "" } else { " " };
        out.push_str(&format!("{indent}  {at} {origin}{gap}{part}: {text}\n"));
    }
}

/// What the caller was told, by the last word of the entry.
fn verdict(line: &Line) -> Option<String> {
    if line.part != "entry" {
        return None;
    }
    let value = |key: &str| {
        let mut words = line.text.split(' ');
        words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    };
    let status = value("status")?;
    let reason = value("reason").unwrap_or("unknown");
    let took = value("took_ms").unwrap_or("?");
    Some(format!("{status} {reason} after {took} ms"))
}
