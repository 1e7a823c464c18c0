//! The one form of a path that rules match on.
//!
//! A rule such as "destruction orders run once" is worth nothing if a caller can spell the path so
//! that the rule misses it and the target still understands it. So [`normalize`] reads a path the way
//! the most lenient target would, and refuses what lenient targets read differently:
//!
//! | in the path | what we do |
//! |---|---|
//! | `%64` | decoded, once |
//! | `//` and a `/` at the end | dropped |
//! | `;a=b` behind a segment | dropped, as servlet containers do |
//! | `.` and `..`, in any encoding | refused |
//! | `%2F`, `\`, `%5C`, control characters | refused |
//! | `%2564`, encoded twice | refused |
//! | bytes that are no UTF-8, a broken `%` | refused |
//!
//! We weighed resolving dot segments as browsers do. Targets differ in when they resolve them,
//! before or after decoding, so any choice of ours would differ from some target's. Letter case
//! stays: a target that takes `/Vault` for `/vault` needs a rule for each spelling that it takes.

use quick_error::quick_error;

use crate::percent;

/// Longest path in bytes.
pub const MAX_PATH_BYTES: usize = 8_192;

quick_error! {
    /// Why a path is refused; the entry answers 400 and the request never runs.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PathError {
        /// The path does not begin with `/`.
        Relative {
            display("the path does not begin with '/'")
        }
        /// The path is longer than [`MAX_PATH_BYTES`].
        TooLong(bytes: usize) {
            display("the path has {bytes} bytes: at most {MAX_PATH_BYTES} are allowed")
        }
        /// A segment's percent-encoding is broken or not UTF-8.
        InvalidEncoding(segment: String) {
            display("the path segment {segment:?} is not percent-encoded UTF-8")
        }
        /// A segment is still percent-encoded after it was decoded.
        DoubleEncoded(segment: String) {
            display("the path segment {segment:?} is percent-encoded twice")
        }
        /// A segment is `.` or `..`.
        DotSegment(segment: String) {
            display("the path segment {segment:?} is a dot segment")
        }
        /// A segment holds a slash, a backslash or a control character.
        ForbiddenCharacter(segment: String) {
            display("the path segment {segment:?} holds a slash, backslash or control character")
        }
    }
}

/// Gives the form of `raw` that rules match on: decoded, with single slashes, none at the end.
///
/// The entry calls this once for each request; a second call would decode a second time. The
/// result is for matching only: the target gets the path as the caller sent it.
///
/// ```
/// use rule::path::normalize;
///
/// assert_eq!(normalize("/vault//%64estroy/7/").as_deref(), Ok("/vault/destroy/7"));
/// assert!(normalize("/public/%2e%2e/vault").is_err());
/// ```
///
/// # Errors
///
/// A [`PathError`] that names the segment that targets would read in different ways.
pub fn normalize(raw: &str) -> Result<String, PathError> {
    if raw.len() > MAX_PATH_BYTES {
        return Err(PathError::TooLong(raw.len()));
    }
    let inner = raw.strip_prefix('/').ok_or(PathError::Relative)?;
    let mut cleaned = String::with_capacity(raw.len());
    for segment in inner.split('/') {
        let segment = normalize_segment(segment)?;
        if !segment.is_empty() {
            cleaned.push('/');
            cleaned.push_str(&segment);
        }
    }
    if cleaned.is_empty() {
        cleaned.push('/');
    }
    Ok(cleaned)
}

fn normalize_segment(raw: &str) -> Result<String, PathError> {
    let decoded =
        percent::decode(raw).ok_or_else(|| PathError::InvalidEncoding(raw.to_string()))?;
    if percent::is_encoded(&decoded) {
        return Err(PathError::DoubleEncoded(raw.to_string()));
    }
    if decoded.chars().any(is_refused) {
        return Err(PathError::ForbiddenCharacter(raw.to_string()));
    }
    // Servlet containers cut `;...` off before they resolve dots, so that `/a/..;/b` is `/b` to
    // them. We cut it off before the check for dots, which then sees what they would see.
    let name = decoded.split(';').next().unwrap_or(&decoded);
    if matches!(name, "." | "..") {
        return Err(PathError::DotSegment(raw.to_string()));
    }
    Ok(name.to_string())
}

fn is_refused(c: char) -> bool {
    matches!(c, '/' | '\\') || c.is_control()
}
