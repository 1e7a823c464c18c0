//! Patterns over paths and callers, parsed once.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use quick_error::quick_error;

quick_error! {
    /// Why a text is no pattern.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PatternError {
        /// The text is no path pattern.
        Path(text: String, expected: &'static str) {
            display("{text:?} is not a path pattern: expected {expected}")
        }
        /// The text is no caller pattern.
        Caller(text: String) {
            display(
                "{text:?} is not a caller pattern: expected a caller's name, with one '*' \
                 at its beginning or its end at most"
            )
        }
    }
}

/// One segment of a [`Path`].
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Segment {
    /// Exactly this text, decoded.
    #[display("{_0}")]
    Text(String),
    /// Any one segment.
    #[display("*")]
    Any,
}

/// A pattern over paths, such as `/vault/destroy/*` or `/vault/**`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Path {
    /// The segments, from the first.
    pub segments: Vec<Segment>,
    /// Whether any number of further segments may follow, none included.
    pub rest: bool,
}

/// A pattern over callers, such as `*@clinic-7`.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Caller {
    /// Any caller.
    #[display("*")]
    Any,
    /// This caller.
    #[display("{_0}")]
    Exact(String),
    /// A caller whose name begins so.
    #[display("{_0}*")]
    Prefix(String),
    /// A caller whose name ends so.
    #[display("*{_0}")]
    Suffix(String),
}

impl Path {
    /// Whether the pattern matches a path that [`normalize`](crate::path::normalize) gave.
    pub fn matches(&self, path: &str) -> bool {
        let mut tail = path;
        for segment in &self.segments {
            let Some(next) = segment.strip(tail.trim_start_matches('/')) else {
                return false;
            };
            tail = next;
        }
        self.rest || tail.trim_start_matches('/').is_empty()
    }

    /// Whether this pattern matches every path that `other` matches.
    pub(crate) fn covers(&self, other: &Path) -> bool {
        let shared = self.segments.len();
        if other.segments.len() < shared {
            return false;
        }
        let mut pairs = self.segments.iter().zip(&other.segments);
        let same_length = other.segments.len() == shared && !other.rest;
        pairs.all(|(mine, theirs)| mine.covers(theirs)) && (self.rest || same_length)
    }

    /// The text that each matching path has as its first segment, if there is one.
    pub(crate) fn first(&self) -> Option<&str> {
        match self.segments.first() {
            Some(Segment::Text(text)) => Some(text),
            _ => None,
        }
    }
}

impl Segment {
    /// What follows this segment at the beginning of `path`, which has no slash before it.
    fn strip<'p>(&self, path: &'p str) -> Option<&'p str> {
        let tail = match self {
            Segment::Text(wanted) => path.strip_prefix(wanted.as_str())?,
            Segment::Any => path.trim_start_matches(|c| c != '/'),
        };
        let whole = tail.is_empty() || tail.starts_with('/');
        (whole && !path.is_empty()).then_some(tail)
    }

    fn covers(&self, other: &Segment) -> bool {
        *self == Segment::Any || self == other
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for segment in &self.segments {
            write!(f, "/{segment}")?;
        }
        match (self.rest, self.segments.is_empty()) {
            (true, _) => f.write_str("/**"),
            (false, true) => f.write_str("/"),
            (false, false) => Ok(()),
        }
    }
}

impl FromStr for Path {
    type Err = PatternError;

    fn from_str(text: &str) -> Result<Path, PatternError> {
        let error = |expected| PatternError::Path(text.to_string(), expected);
        let inner = text.strip_prefix('/');
        let inner = inner.ok_or_else(|| error("a '/' at the beginning"))?;
        let rest = inner == "**" || inner.ends_with("/**");
        let inner = if rest {
            &inner[..inner.len() - 2]
        } else {
            inner
        };
        let inner = inner.strip_suffix('/').unwrap_or(inner);
        let mut path = Path {
            segments: Vec::new(),
            rest,
        };
        if inner.is_empty() {
            return Ok(path);
        }
        for segment in inner.split('/') {
            path.segments.push(parse_segment(segment).map_err(error)?);
        }
        Ok(path)
    }
}

/// Takes only what a cleaned path can hold, so that no pattern is silently without effect.
fn parse_segment(text: &str) -> Result<Segment, &'static str> {
    match text {
        "*" => Ok(Segment::Any),
        "" => Err("one '/' between segments, as '//' is read as '/'"),
        "." | ".." => Err("no dot segments, as paths with them are refused"),
        "**" => Err("'**' as the last segment only"),
        _ if text.contains('*') => Err("'*' as a whole segment only"),
        _ if text.contains('%') => Err("the decoded text in place of '%', as paths are decoded"),
        _ if text.contains(['?', '#', ';', '\\']) => Err("no '?', '#', ';' or '\\'"),
        _ if text.chars().any(char::is_control) => Err("no control characters"),
        _ => Ok(Segment::Text(text.to_string())),
    }
}

impl Caller {
    /// Whether the pattern matches `caller`.
    pub fn matches(&self, caller: &unit::Caller) -> bool {
        self.matches_text(caller.as_str())
    }

    fn matches_text(&self, text: &str) -> bool {
        match self {
            Caller::Any => true,
            Caller::Exact(wanted) => wanted == text,
            Caller::Prefix(prefix) => text.starts_with(prefix.as_str()),
            Caller::Suffix(suffix) => text.ends_with(suffix.as_str()),
        }
    }

    /// Whether this pattern matches every caller that `other` matches.
    pub(crate) fn covers(&self, other: &Caller) -> bool {
        match (self, other) {
            (Caller::Any, _) => true,
            (_, Caller::Exact(text)) => self.matches_text(text),
            (Caller::Prefix(mine), Caller::Prefix(theirs)) => theirs.starts_with(mine.as_str()),
            (Caller::Suffix(mine), Caller::Suffix(theirs)) => theirs.ends_with(mine.as_str()),
            _ => false,
        }
    }
}

impl FromStr for Caller {
    type Err = PatternError;

    fn from_str(text: &str) -> Result<Caller, PatternError> {
        if text == "*" {
            return Ok(Caller::Any);
        }
        let (name, pattern): (&str, fn(String) -> Caller) = match text.strip_prefix('*') {
            Some(suffix) => (suffix, Caller::Suffix),
            None => match text.strip_suffix('*') {
                Some(prefix) => (prefix, Caller::Prefix),
                None => (text, Caller::Exact),
            },
        };
        let checked = name.parse::<unit::Caller>();
        let checked = checked.map_err(|_| PatternError::Caller(text.to_string()))?;
        Ok(pattern(checked.into()))
    }
}
