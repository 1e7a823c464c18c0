//! Which requests a rule matches.

use derive_more::Display;
use http::{HeaderName, Method};
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

    /// Whether every request that `other` matches is matched by this too.
    ///
    /// It may say no where the answer is yes, and never the other way about.
    pub(crate) fn covers(&self, other: &When) -> bool {
        subset(&other.services, &self.services)
            && subset(&other.methods, &self.methods)
            && self.covers_path(other)
            && self.headers.iter().all(|header| header.follows_from(other))
            && self.covers_caller(other)
            && subset(&other.zones, &self.zones)
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
