//! One line of the log.

use std::fmt;
use std::time::SystemTime;

use log::Level;
use serde::Serialize;
use serde_json::{Map, Value};
use setting::LogFormat;

/// One line of the log, before it is written in one of the formats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// When it was said.
    pub at: SystemTime,
    /// How grave it is.
    pub level: Level,
    /// The part that says it.
    pub part: String,
    /// What it says: words and `key=value` pairs.
    pub text: String,
}

/// A line as JSON has it.
#[derive(Serialize)]
struct Object<'l> {
    at: String,
    level: &'l str,
    part: &'l str,
    message: &'l str,
    fields: Map<String, Value>,
}

impl Line {
    /// A line whose message begins with the part that says it and a colon.
    pub fn of(at: SystemTime, level: Level, message: &str) -> Line {
        let (part, text) = message.split_once(": ").unwrap_or(("process", message));
        Line {
            at,
            level,
            part: part.to_string(),
            text: text.to_string(),
        }
    }

    /// The line in `format`, without a line's end.
    pub fn written(&self, format: LogFormat) -> String {
        match format {
            LogFormat::Text => self.to_string(),
            LogFormat::Json => self.json(),
        }
    }

    /// The line as one JSON object, without a line's end.
    ///
    /// The pairs of the text stand in `fields`. All values are texts, so that a field has one type in
    /// all lines.
    pub fn json(&self) -> String {
        let object = Object {
            at: self.time(),
            level: self.level.as_str(),
            part: &self.part,
            message: &self.text,
            fields: fields(&self.text),
        };
        // Texts and maps of texts always have a JSON form.
        serde_json::to_string(&object).unwrap_or_default()
    }

    fn time(&self) -> String {
        humantime::format_rfc3339_millis(self.at).to_string()
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, level) = (self.time(), self.level);
        write!(f, "at={at} level={level} part={} {}", self.part, self.text)
    }
}

/// The `key=value` pairs of a text; of two with one key the first counts. A value in double quotes may
/// have spaces; one without ends at the next space, and the text's last stop belongs to none.
fn fields(text: &str) -> Map<String, Value> {
    let mut fields = Map::new();
    let mut rest = text.strip_suffix('.').unwrap_or(text);
    while let Some((before, after)) = rest.split_once('=') {
        let key = before.rsplit(' ').next().unwrap_or(before);
        let (value, left) = value(after);
        if is_key(key) {
            fields.entry(key).or_insert(value.into());
        }
        rest = left;
    }
    fields
}

fn is_key(key: &str) -> bool {
    let is_part = |part: char| part.is_ascii_alphanumeric() || part == '_';
    !key.is_empty() && key.chars().all(is_part)
}

/// The value at the start of a text, and what stands behind it.
fn value(text: &str) -> (&str, &str) {
    if let Some(quoted) = text.strip_prefix('"')
        && let Some(end) = closing_quote(quoted)
    {
        return (&quoted[..end], &quoted[end + 1..]);
    }
    let (value, rest) = text.split_once(' ').unwrap_or((text, ""));
    (value.trim_end_matches(','), rest)
}

/// Where the next double quote stands that no backslash escapes.
fn closing_quote(text: &str) -> Option<usize> {
    let mut is_escaped = false;
    text.char_indices().find_map(|(at, letter)| {
        let closes = letter == '"' && !is_escaped;
        is_escaped = letter == '\\' && !is_escaped;
        closes.then_some(at)
    })
}
