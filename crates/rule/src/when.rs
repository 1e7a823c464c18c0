//! Which requests a rule matches.

use derive_more::Display;
use http::{HeaderName, Method, header};
use unit::{Service, Zone};

use crate::{Request, pattern};

/// The conditions of a rule; all must hold, and one that is empty always holds.
///
/// They are tried in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct When {
    /// One of these services' own targets sent the request; outside callers have none.
    pub services: Vec<Service>,
    /// The method is one of these, in any letter case.
    pub methods: Vec<Method>,
    /// The host that the request names, in any letter case and with or without a port.
    pub host: Option<String>,
    /// What the path begins with, byte for byte; it ends with a slash.
    pub prefix: Option<String>,
    /// The path.
    pub path: Option<pattern::Path>,
    /// Header fields that must all be there.
    pub headers: Vec<Header>,
    /// The caller.
    pub caller: Option<pattern::Caller>,
    /// The entry stands in one of these zones.
    pub zones: Vec<Zone>,
}

/// A header field that must be there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The field's name.
    pub name: HeaderName,
    /// The exact value that one of the fields of this name must have; `None` takes any.
    pub value: Option<String>,
}

/// A condition of a [`When`].
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Field {
    /// [`When::services`].
    #[display("service")]
    Service,
    /// [`When::methods`].
    #[display("method")]
    Method,
    /// [`When::host`].
    #[display("host")]
    Host,
    /// [`When::prefix`].
    #[display("prefix")]
    Prefix,
    /// [`When::path`].
    #[display("path")]
    Path,
    /// The field of [`When::headers`] with this name.
    #[display("header {_0}")]
    Header(HeaderName),
    /// [`When::caller`].
    #[display("caller")]
    Caller,
    /// [`When::zones`].
    #[display("zone")]
    Zone,
}

impl When {
    /// Whether all conditions hold for `request`.
    pub fn matches(&self, request: &Request<'_>) -> bool {
        self.first_failure(request).is_none()
    }

    /// The first condition that does not hold.
    ///
    /// Both the match and its explanation come from here, so that they can't disagree.
    pub(crate) fn first_failure(&self, request: &Request<'_>) -> Option<Field> {
        if !self.takes_service(request.service) {
            return Some(Field::Service);
        }
        if !self.takes_method(request.method) {
            return Some(Field::Method);
        }
        if !self.takes_host(request) {
            return Some(Field::Host);
        }
        if !self
            .prefix
            .as_ref()
            .is_none_or(|prefix| begins_with(request.path, prefix))
        {
            return Some(Field::Prefix);
        }
        if !self
            .path
            .as_ref()
            .is_none_or(|path| path.matches(request.path))
        {
            return Some(Field::Path);
        }
        if let Some(header) = self.headers.iter().find(|header| !header.holds(request)) {
            return Some(Field::Header(header.name.clone()));
        }
        let caller = self.caller.as_ref();
        if !caller.is_none_or(|caller| caller.matches(request.caller)) {
            return Some(Field::Caller);
        }
        if !self.zones.is_empty() && !self.zones.contains(request.zone) {
            return Some(Field::Zone);
        }
        None
    }

    fn takes_service(&self, service: Option<&Service>) -> bool {
        let named = service.is_some_and(|service| self.services.contains(service));
        self.services.is_empty() || named
    }

    /// A method is compared in any letter case.
    ///
    /// Some targets run `post` as `POST`; compared exactly, such a request would pass by the rule
    /// that makes it run once.
    fn takes_method(&self, method: &Method) -> bool {
        let same = |wanted: &Method| wanted.as_str().eq_ignore_ascii_case(method.as_str());
        self.methods.is_empty() || self.methods.iter().any(same)
    }

    fn takes_host(&self, request: &Request<'_>) -> bool {
        let Some(wanted) = &self.host else {
            return true;
        };
        host(request).is_some_and(|host| host.eq_ignore_ascii_case(wanted))
    }

    /// The first segment that the path of a matching request has, if there can be only one.
    pub(crate) fn first_segment(&self) -> Option<&str> {
        if let Some(prefix) = &self.prefix {
            let mut segments = prefix.split('/').filter(|segment| !segment.is_empty());
            return segments.next();
        }
        self.path.as_ref().and_then(pattern::Path::first)
    }

    /// Whether every request that `other` matches is matched by this too.
    ///
    /// It may say no where the answer is yes, and never the other way about.
    pub(crate) fn covers(&self, other: &When) -> bool {
        subset(&other.services, &self.services)
            && subset(&other.methods, &self.methods)
            && self.covers_host(other)
            && self.covers_prefix(other)
            && self.covers_path(other)
            && self.headers.iter().all(|header| header.follows_from(other))
            && self.covers_caller(other)
            && subset(&other.zones, &self.zones)
    }

    fn covers_host(&self, other: &When) -> bool {
        self.host.is_none() || self.host == other.host
    }

    fn covers_prefix(&self, other: &When) -> bool {
        match (&self.prefix, &other.prefix) {
            (None, _) => true,
            (Some(mine), Some(theirs)) => theirs.starts_with(mine.as_str()),
            (Some(mine), None) => mine == "/",
        }
    }

    fn covers_path(&self, other: &When) -> bool {
        match (&self.path, &other.path) {
            (None, _) => true,
            (Some(mine), Some(theirs)) => mine.covers(theirs),
            (Some(mine), None) => mine.rest && mine.segments.is_empty(),
        }
    }

    fn covers_caller(&self, other: &When) -> bool {
        match (&self.caller, &other.caller) {
            (None | Some(pattern::Caller::Any), _) => true,
            (Some(mine), Some(theirs)) => mine.covers(theirs),
            (Some(_), None) => false,
        }
    }
}

/// The host that a request names, without its port.
pub(crate) fn host<'a>(request: &Request<'a>) -> Option<&'a str> {
    let host = request.headers.get(header::HOST)?.to_str().ok()?;
    let port = host.rsplit_once(':');
    let named = port.filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()));
    Some(named.map_or(host, |(name, _)| name))
}

/// A path in its clean form has no slash at its end, which the prefix may ask for.
fn begins_with(path: &str, prefix: &str) -> bool {
    path.starts_with(prefix) || prefix.strip_suffix('/') == Some(path)
}

impl Header {
    fn holds(&self, request: &Request<'_>) -> bool {
        let mut values = request.headers.get_all(&self.name).iter();
        match &self.value {
            None => values.next().is_some(),
            Some(wanted) => values.any(|value| value.as_bytes() == wanted.as_bytes()),
        }
    }

    fn follows_from(&self, other: &When) -> bool {
        let mut same = other
            .headers
            .iter()
            .filter(|header| header.name == self.name);
        same.any(|header| self.value.is_none() || self.value == header.value)
    }
}

/// Whether each of `narrow` is in `wide`, where an empty list stands for everything.
fn subset<T: PartialEq>(narrow: &[T], wide: &[T]) -> bool {
    let within = || !narrow.is_empty() && narrow.iter().all(|one| wide.contains(one));
    wide.is_empty() || within()
}
