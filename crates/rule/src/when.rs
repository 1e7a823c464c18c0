//! The conditions of rules.

use derive_more::Display;
use http::{HeaderName, Method, header};
use unit::{Service, Zone};

use crate::{Request, pattern};

/// The conditions of a rule.
///
/// A request must meet all conditions; an empty condition is always met. They are tested in the
/// order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct When {
    /// A target of one of these services sent the request; outside callers have no service.
    pub services: Vec<Service>,
    /// The method is one of these, ignoring case.
    pub methods: Vec<Method>,
    /// The host that the request names, ignoring case and port.
    pub host: Option<String>,
    /// The prefix of the path, compared byte for byte; it ends with a slash.
    pub prefix: Option<String>,
    /// The pattern that the path matches.
    pub path: Option<pattern::Path>,
    /// Header fields that must all be present.
    pub headers: Vec<Header>,
    /// The pattern that the caller matches.
    pub caller: Option<pattern::Caller>,
    /// The entry is in one of these zones.
    pub zones: Vec<Zone>,
}

/// A header field that must be present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name of the header field.
    pub name: HeaderName,
    /// The exact value that one of the fields with this name must have; `None` accepts any value.
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
    /// Whether `request` meets all conditions.
    pub fn matches(&self, request: &Request<'_>) -> bool {
        self.first_unmet(request).is_none()
    }

    /// The first condition that `request` does not meet.
    ///
    /// Matching and explanations both use this method, so that they can't disagree.
    pub(crate) fn first_unmet(&self, request: &Request<'_>) -> Option<Field> {
        if !self.matches_service(request.service) {
            return Some(Field::Service);
        }
        if !self.matches_method(request.method) {
            return Some(Field::Method);
        }
        if !self.matches_host(request) {
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
        if let Some(header) = self.headers.iter().find(|header| !header.matches(request)) {
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

    fn matches_service(&self, service: Option<&Service>) -> bool {
        let listed = service.is_some_and(|service| self.services.contains(service));
        self.services.is_empty() || listed
    }

    /// Compares methods ignoring case.
    ///
    /// Some targets handle `post` as `POST`. With an exact comparison, such a request would bypass
    /// a rule that makes it run at most once.
    fn matches_method(&self, method: &Method) -> bool {
        let same = |expected: &Method| expected.as_str().eq_ignore_ascii_case(method.as_str());
        self.methods.is_empty() || self.methods.iter().any(same)
    }

    fn matches_host(&self, request: &Request<'_>) -> bool {
        let Some(expected) = &self.host else {
            return true;
        };
        host(request).is_some_and(|host| host.eq_ignore_ascii_case(expected))
    }

    /// The first path segment of every matching request, if the conditions fix it.
    pub(crate) fn first_segment(&self) -> Option<&str> {
        if let Some(prefix) = &self.prefix {
            let mut segments = prefix.split('/').filter(|segment| !segment.is_empty());
            return segments.next();
        }
        self.path.as_ref().and_then(pattern::Path::first_segment)
    }

    /// Whether `self` matches every request that `other` matches.
    ///
    /// The result may be a false negative, but never a false positive.
    pub(crate) fn covers(&self, other: &When) -> bool {
        is_subset(&other.services, &self.services)
            && is_subset(&other.methods, &self.methods)
            && self.covers_host(other)
            && self.covers_prefix(other)
            && self.covers_path(other)
            && self
                .headers
                .iter()
                .all(|header| header.is_implied_by(other))
            && self.covers_caller(other)
            && is_subset(&other.zones, &self.zones)
    }

    fn covers_host(&self, other: &When) -> bool {
        self.host.is_none() || self.host == other.host
    }

    fn covers_prefix(&self, other: &When) -> bool {
        match (&self.prefix, &other.prefix) {
            (None, _) => true,
            (Some(own), Some(theirs)) => theirs.starts_with(own.as_str()),
            (Some(own), None) => own == "/",
        }
    }

    fn covers_path(&self, other: &When) -> bool {
        match (&self.path, &other.path) {
            (None, _) => true,
            (Some(own), Some(theirs)) => own.covers(theirs),
            (Some(own), None) => own.rest && own.segments.is_empty(),
        }
    }

    fn covers_caller(&self, other: &When) -> bool {
        match (&self.caller, &other.caller) {
            (None | Some(pattern::Caller::Any), _) => true,
            (Some(own), Some(theirs)) => own.covers(theirs),
            (Some(_), None) => false,
        }
    }
}

/// The host that a request names, without the port.
pub(crate) fn host<'a>(request: &Request<'a>) -> Option<&'a str> {
    let host = request.headers.get(header::HOST)?.to_str().ok()?;
    let port = host.rsplit_once(':');
    let with_port = port.filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()));
    Some(with_port.map_or(host, |(name, _)| name))
}

/// Whether `path` begins with `prefix`.
///
/// A normalized path has no trailing slash, so a path that equals the prefix without its trailing
/// slash counts too.
fn begins_with(path: &str, prefix: &str) -> bool {
    path.starts_with(prefix) || prefix.strip_suffix('/') == Some(path)
}

impl Header {
    fn matches(&self, request: &Request<'_>) -> bool {
        let mut values = request.headers.get_all(&self.name).iter();
        match &self.value {
            None => values.next().is_some(),
            Some(expected) => values.any(|value| value.as_bytes() == expected.as_bytes()),
        }
    }

    fn is_implied_by(&self, other: &When) -> bool {
        let mut same = other
            .headers
            .iter()
            .filter(|header| header.name == self.name);
        same.any(|header| self.value.is_none() || self.value == header.value)
    }
}

/// Whether `list` is a subset of `other`, where an empty list stands for all values.
fn is_subset<T: PartialEq>(list: &[T], other: &[T]) -> bool {
    let within = || !list.is_empty() && list.iter().all(|item| other.contains(item));
    other.is_empty() || within()
}
