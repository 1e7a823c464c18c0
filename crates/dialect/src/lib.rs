//! The header names by which callers, targets and daemons understand each other.
//!
//! What a header means is the product's; what it is called is up to the platform that the product
//! runs on. A [`Dialect`] without names asks for nothing and adds nothing.
//!
//! ```
//! use dialect::Dialect;
//! use http::HeaderMap;
//!
//! let dialect = Dialect {
//!     deadline: Some(http::HeaderName::from_static("x-time-left-ms")),
//!     ..Dialect::default()
//! };
//! let mut headers = HeaderMap::new();
//! headers.insert("x-time-left-ms", 250.into());
//! let left = dialect.time_left(&headers);
//! assert_eq!(left, Ok(Some(std::time::Duration::from_millis(250))));
//! ```

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use unit::{Decimal, Rate};
use workspace::Key;

/// Longest time that a caller may say it waits; more is most likely a unit mistaken for another.
const MAX_LEFT: Duration = Duration::from_secs(86_400);

/// Highest limit on requests per second that is kept; no target reaches it.
const HIGHEST_RATE: f64 = 1e6;

/// The names in use; a meaning without a name is not spoken of.
#[derive(Debug, Clone, Default)]
pub struct Dialect {
    /// Names one try of a caller; a target repeats it in its answer.
    pub attempt: Option<HeaderName>,
    /// Tells of a try's name the name of the running request that it serves, if it shows it.
    pub parent: Option<fn(&str) -> Option<&str>>,
    /// Whole milliseconds that the caller, and then the target, has left.
    pub deadline: Option<HeaderName>,
    /// The service of the instance where a request began; the entry sets it.
    pub origin: Option<HeaderName>,
    /// A target's mark on its answers; a success without it is none.
    pub signature: Option<HeaderName>,
    /// Names the life of the target that is meant; another one doesn't run the request.
    pub expected: Option<HeaderName>,
    /// Names the life of the target that answers.
    pub life: Option<HeaderName>,
    /// Marks an answer by which the target says that it did not run the request.
    pub not_run: Option<HeaderName>,
    /// The load that a target tells of itself.
    pub load: Option<Load>,
    /// Whole milliseconds for which a target stays cold, in its answers to health checks.
    pub cold: Option<HeaderName>,
    /// The requests per second that a target takes from all instances together, as long as its answers
    /// say so.
    pub max_rate: Option<HeaderName>,
    /// Marks the answers of a target that leaves, if the value is `1`.
    pub leaving: Option<HeaderName>,
    /// The key by which a caller shows which workspace it belongs to.
    pub credential: Option<Credential>,
    /// The name of the workspace that a request belongs to, for its target; the entry sets it.
    pub workspace: Option<HeaderName>,
    /// Whether callers understand parts of a second in `Retry-After`.
    pub exact_retry: bool,
}

/// Where a request carries the key of its caller.
#[derive(Debug, Clone)]
pub struct Credential {
    /// The header's name.
    pub header: HeaderName,
    /// The word before the key, in any case, such as `Bearer`.
    pub scheme: &'static str,
}

/// What the headers of a request say of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presented<'h> {
    /// There is no credential of this kind.
    Nothing,
    /// The header is given several times, or without a key.
    Malformed,
    /// The key.
    Key(Key<'h>),
}

/// How a target tells its load.
#[derive(Debug, Clone)]
pub struct Load {
    /// The header's name.
    pub name: HeaderName,
    /// Reads the header's value.
    pub read: fn(&str) -> Option<Figures>,
}

/// What a target tells of its load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Figures {
    /// Requests that it runs.
    pub running: u16,
    /// Requests that wait in it.
    pub waiting: u16,
    /// Requests that it runs at once at most.
    pub slots: u16,
    /// How long work takes at this moment, in hundredths of what it usually takes.
    pub pace: u16,
}

/// The header holds no number of milliseconds, or more than a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadTime;

/// The header holds no number, or a negative one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadRate;

/// Limits the requests per second to a target, in its answers.
pub const MAX_RATE: &str = "x-appleshore-max-rate";

/// Marks the answers of a target that leaves.
pub const LEAVING: &str = "x-appleshore-leaving";

/// Names the workspace of a request for its target. It is outside of the product's own prefix, whose
/// headers daemons don't pass on.
pub const WORKSPACE: &str = "x-workspace";

impl Credential {
    fn read<'h>(&self, headers: &'h HeaderMap) -> Presented<'h> {
        let mut values = headers.get_all(&self.header).iter();
        let Some(value) = values.next() else {
            return Presented::Nothing;
        };
        if values.next().is_some() {
            return Presented::Malformed;
        }
        self.read_value(value)
    }

    fn read_value<'h>(&self, value: &'h HeaderValue) -> Presented<'h> {
        let value = value.as_bytes().trim_ascii();
        let end = value.iter().position(|byte| *byte == b' ');
        let (scheme, key) = value.split_at(end.unwrap_or(value.len()));
        if !scheme.eq_ignore_ascii_case(self.scheme.as_bytes()) {
            return Presented::Nothing;
        }
        Key::new(key.trim_ascii()).map_or(Presented::Malformed, Presented::Key)
    }
}

impl Dialect {
    /// The names of the product's own interface.
    pub fn own() -> Dialect {
        Dialect {
            max_rate: Some(HeaderName::from_static(MAX_RATE)),
            leaving: Some(HeaderName::from_static(LEAVING)),
            credential: Some(Credential {
                header: http::header::AUTHORIZATION,
                scheme: "Bearer",
            }),
            workspace: Some(HeaderName::from_static(WORKSPACE)),
            ..Dialect::default()
        }
    }

    /// The time that the sender of `headers` has left, if it says so.
    ///
    /// # Errors
    ///
    /// [`BadTime`] if the header is there and can't be read.
    pub fn time_left(&self, headers: &HeaderMap) -> Result<Option<Duration>, BadTime> {
        let Some(value) = self.deadline.as_ref().and_then(|name| headers.get(name)) else {
            return Ok(None);
        };
        let text = value.to_str().map_err(|_| BadTime)?;
        let millis: Decimal = text.trim().parse().map_err(|_| BadTime)?;
        // Never more than is left, so a fraction is cut off.
        let millis = millis.down().ok_or(BadTime)?;
        let left = Duration::from_millis(millis);
        (left <= MAX_LEFT).then_some(Some(left)).ok_or(BadTime)
    }

    /// The name of the try that `headers` belong to.
    pub fn attempt<'h>(&self, headers: &'h HeaderMap) -> Option<&'h HeaderValue> {
        headers.get(self.attempt.as_ref()?)
    }

    /// The name of the running request for which `headers` make a call, if they show it.
    pub fn parent<'h>(&self, headers: &'h HeaderMap) -> Option<&'h str> {
        let attempt = self.attempt(headers)?.to_str().ok()?;
        self.parent?(attempt)
    }

    /// The key that `headers` carry.
    pub fn credential<'h>(&self, headers: &'h HeaderMap) -> Presented<'h> {
        let Some(credential) = &self.credential else {
            return Presented::Nothing;
        };
        credential.read(headers)
    }

    /// The key in `value`, which was the only value of the header for keys.
    pub fn credential_in<'h>(&self, value: &'h HeaderValue) -> Presented<'h> {
        let credential = self.credential.as_ref();
        credential.map_or(Presented::Nothing, |credential| {
            credential.read_value(value)
        })
    }

    /// The load that an answer tells of.
    pub fn figures(&self, headers: &HeaderMap) -> Option<Figures> {
        let load = self.load.as_ref()?;
        (load.read)(headers.get(&load.name)?.to_str().ok()?)
    }

    /// The life of the target that an answer comes from.
    pub fn life<'h>(&self, headers: &'h HeaderMap) -> Option<&'h str> {
        headers.get(self.life.as_ref()?)?.to_str().ok()
    }

    /// How long a target stays cold, by its answer to a health check; zero if it is warm. `None` if
    /// targets don't report it, or this one can't be read.
    pub fn cold_remaining(&self, headers: &HeaderMap) -> Option<Duration> {
        let Some(value) = headers.get(self.cold.as_ref()?) else {
            return Some(Duration::ZERO);
        };
        let millis: Decimal = value.to_str().ok()?.trim().parse().ok()?;
        // A fraction counts as a whole millisecond, because the target is still cold then.
        let remaining = Duration::from_millis(millis.up()?);
        Some(remaining.min(MAX_LEFT))
    }

    /// The requests per second that the target takes, if the answer limits them.
    ///
    /// # Errors
    ///
    /// [`BadRate`] if the header is there and can't be read.
    pub fn max_rate(&self, headers: &HeaderMap) -> Result<Option<Rate>, BadRate> {
        let Some(value) = self.max_rate.as_ref().and_then(|name| headers.get(name)) else {
            return Ok(None);
        };
        let text = value.to_str().map_err(|_| BadRate)?;
        let rate: Decimal = text.trim().parse().map_err(|_| BadRate)?;
        (rate.get() >= 0.0)
            .then_some(Some(Rate::of(rate.get().min(HIGHEST_RATE))))
            .ok_or(BadRate)
    }

    /// Whether an answer says that its target leaves.
    pub fn is_leaving(&self, headers: &HeaderMap) -> bool {
        let value = self.leaving.as_ref().and_then(|name| headers.get(name));
        value.is_some_and(|value| value.as_bytes().trim_ascii() == b"1")
    }

    /// Whether an answer says that the request was not run.
    pub fn says_not_run(&self, headers: &HeaderMap) -> bool {
        let name = self.not_run.as_ref();
        name.is_some_and(|name| headers.contains_key(name))
    }

    /// Whether an answer bears the mark that a success needs.
    pub fn is_signed(&self, headers: &HeaderMap) -> bool {
        let name = self.signature.as_ref();
        name.is_none_or(|name| headers.contains_key(name))
    }
}
