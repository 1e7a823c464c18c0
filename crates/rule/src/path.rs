//! Normalizes request paths for matching.
//!
//! A caller must not be able to bypass a rule, such as one that makes destruction orders run once,
//! with a path that doesn't match the rule but that the target still accepts. So [`normalize`]
//! interprets a path as the most lenient target would, and refuses paths that lenient targets
//! interpret differently:
//!
//! | in the path | treatment |
//! |---|---|
//! | `%64` | decoded, once |
//! | `//` and a trailing `/` | collapsed to `/`, removed |
//! | `;a=b` after a segment | removed, as servlet containers do |
//! | `.` and `..`, in any encoding | refused |
//! | `%2F`, `\`, `%5C`, control characters | refused |
//! | `%2564`, encoded twice | refused |
//! | invalid UTF-8, an invalid percent-encoding | refused |
//!
//! Dot segments are not resolved as browsers do: targets differ in whether they resolve them before
//! or after decoding, so either order would disagree with some target. Letter case is kept: a
//! target that treats `/Vault` as `/vault` needs a rule for each spelling that it accepts.

use quick_error::quick_error;

use crate::percent;

/// Maximum length of a path in bytes.
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
        /// A segment's percent-encoding is invalid or doesn't decode to UTF-8.
        InvalidEncoding(segment: String) {
            display("the path segment {segment:?} is not percent-encoded UTF-8")
        }
        /// A segment is still percent-encoded after decoding.
        DoubleEncoded(segment: String) {
            display("the path segment {segment:?} is percent-encoded twice")
        }
        /// A segment is `.` or `..`.
        DotSegment(segment: String) {
            display("the path segment {segment:?} is a dot segment")
        }
        /// A decoded segment contains a slash, a backslash or a control character.
        ForbiddenCharacter(segment: String) {
            display("the path segment {segment:?} holds a slash, backslash or control character")
        }
    }
}

/// Returns the normalized form of `raw`: decoded, with single slashes and no trailing slash.
///
/// Call this only once per request, as another call would decode the path again. The result is for
/// matching only: the target gets the path as the caller sent it.
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
/// Returns a [`PathError`] if the path is too long, doesn't begin with `/` or has a segment that
/// targets would interpret differently.
pub fn normalize(raw: &str) -> Result<String, PathError> {
    if raw.len() > MAX_PATH_BYTES {
        return Err(PathError::TooLong(raw.len()));
    }
    let inner = raw.strip_prefix('/').ok_or(PathError::Relative)?;
    let mut normalized = String::with_capacity(raw.len());
    for segment in inner.split('/') {
        let segment = normalize_segment(segment)?;
        if !segment.is_empty() {
            normalized.push('/');
            normalized.push_str(&segment);
        }
    }
    if normalized.is_empty() {
        normalized.push('/');
    }
    Ok(normalized)
}

fn normalize_segment(raw: &str) -> Result<String, PathError> {
    let decoded =
        percent::decode(raw).ok_or_else(|| PathError::InvalidEncoding(raw.to_string()))?;
    if percent::is_encoded(&decoded) {
        return Err(PathError::DoubleEncoded(raw.to_string()));
    }
    if decoded.chars().any(is_forbidden) {
        return Err(PathError::ForbiddenCharacter(raw.to_string()));
    }
    // Servlet containers remove `;...` before they resolve dot segments, so they read `/a/..;/b` as
    // `/b`. Removing it before the check for dot segments makes the check find these too.
    let name = decoded.split(';').next().unwrap_or(&decoded);
    if matches!(name, "." | "..") {
        return Err(PathError::DotSegment(raw.to_string()));
    }
    Ok(name.to_string())
}

fn is_forbidden(c: char) -> bool {
    matches!(c, '/' | '\\') || c.is_control()
}
