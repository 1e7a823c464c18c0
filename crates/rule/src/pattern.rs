//! Patterns for paths and callers.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use quick_error::quick_error;

quick_error! {
    /// Why a text is not a pattern.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PatternError {
        /// The text is not a path pattern.
        Path(text: String, expected: &'static str) {
            display("{text:?} is not a path pattern: expected {expected}")
        }
        /// The text is not a caller pattern.
        Caller(text: String) {
            display(
                "{text:?} is not a caller pattern: expected a caller's name with at \
                 most one '*', at the beginning or the end"
            )
        }
    }
}

/// A segment of a [`Path`] pattern.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Segment {
    /// A segment with exactly this decoded text.
    #[display("{_0}")]
    Text(String),
    /// Any single segment.
    #[display("*")]
    Any,
}

/// A pattern for paths, such as `/vault/destroy/*` or `/vault/**`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Path {
    /// The segments in order.
    pub segments: Vec<Segment>,
    /// Whether any number of further segments may follow, including none.
    pub rest: bool,
}

/// A pattern for callers, such as `*@clinic-7`.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Caller {
    /// Any caller.
    #[display("*")]
    Any,
    /// The caller with this name.
    #[display("{_0}")]
    Exact(String),
    /// Callers whose names begin with this text.
    #[display("{_0}*")]
    Prefix(String),
    /// Callers whose names end with this text.
    #[display("*{_0}")]
    Suffix(String),
}

impl Path {
    /// Whether the pattern matches `path`, as returned by [`normalize`](crate::path::normalize).
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
        pairs.all(|(own, theirs)| own.covers(theirs)) && (self.rest || same_length)
    }

    /// The first segment of every matching path, if the pattern fixes it.
    pub(crate) fn first_segment(&self) -> Option<&str> {
        match self.segments.first() {
            Some(Segment::Text(text)) => Some(text),
            _ => None,
        }
    }
}

impl Segment {
    /// Returns the rest of `path` after this segment, if `path` begins with it.
    ///
    /// `path` has no leading slash.
    fn strip<'p>(&self, path: &'p str) -> Option<&'p str> {
        let tail = match self {
            Segment::Text(wanted) => path.strip_prefix(wanted.as_str())?,
            Segment::Any => path.trim_start_matches(|c| c != '/'),
        };
        let complete = tail.is_empty() || tail.starts_with('/');
        (complete && !path.is_empty()).then_some(tail)
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

/// Refuses segments that a normalized path can't contain, as such a pattern would never match.
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
            (Caller::Prefix(own), Caller::Prefix(theirs)) => theirs.starts_with(own.as_str()),
            (Caller::Suffix(own), Caller::Suffix(theirs)) => theirs.ends_with(own.as_str()),
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
