//! The rules document.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use http::{HeaderMap, HeaderName};
use jsonc::Lines;
use unit::{Caller, Service};
use workspace::Directory;

use crate::explain::{self, Explanation};
use crate::index::Index;
use crate::shadow::{self, Warning};
use crate::{ConnectionLimits, Error, Request, Route, Target, Then, When, path, read};

/// A rule: conditions, and the action for requests that meet them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// The name, unique in the document.
    pub name: String,
    /// Which requests the rule matches.
    pub when: When,
    /// How matching requests are handled.
    pub then: Then,
}

/// An ordered list of rules, with the text that it was parsed from.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    text: String,
    caller_header: Option<HeaderName>,
    connection_limits: ConnectionLimits,
    targets: BTreeMap<Service, Target>,
    rules: Vec<Rule>,
    /// The byte offset of each rule in the text.
    offsets: Vec<usize>,
    index: Index,
    workspaces: Option<Directory>,
}

/// The contents of a document, as parsed from its text.
pub(crate) struct Content {
    pub(crate) caller_header: Option<HeaderName>,
    pub(crate) connection_limits: ConnectionLimits,
    pub(crate) targets: BTreeMap<Service, Target>,
    pub(crate) rules: Vec<Rule>,
    /// The byte offset of each rule in the text.
    pub(crate) offsets: Vec<usize>,
    pub(crate) workspaces: Option<Directory>,
}

impl Document {
    /// Maximum length of a document's text in bytes.
    pub const MAX_TEXT_BYTES: usize = 4_000_000;
    /// Maximum number of rules in a document.
    pub const MAX_RULES: usize = 20_000;

    /// Parses a document.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text, each with its line, column, cause and what is expected. If
    /// the text isn't valid JSON with comments, only the first fault is returned.
    pub fn parse(text: &str) -> Result<Document, Error> {
        let content = read::content(text)?;
        Ok(Document {
            text: text.to_string(),
            caller_header: content.caller_header,
            connection_limits: content.connection_limits,
            targets: content.targets,
            index: Index::new(&content.rules),
            rules: content.rules,
            offsets: content.offsets,
            workspaces: content.workspaces,
        })
    }

    /// The text that this document was parsed from.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The size and time limits on callers' requests; a limit that is not set keeps its default.
    pub fn connection_limits(&self) -> &ConnectionLimits {
        &self.connection_limits
    }

    /// The settings for the targets of `service`, if the document has any.
    pub fn target(&self, service: &Service) -> Option<&Target> {
        self.targets.get(service)
    }

    /// The workspaces, if the document has any. Then each request from outside needs a key of one of
    /// them, unless its route is [public](crate::Route::public).
    pub fn workspaces(&self) -> Option<&Directory> {
        self.workspaces.as_ref()
    }

    /// Whether rules match the path as it was sent instead of the normalized path.
    ///
    /// This is so if at least one rule has a prefix and none has a path pattern. Prefixes are
    /// compared byte for byte, so a path that can't be normalized need not be refused.
    pub fn matches_raw_paths(&self) -> bool {
        let has_prefix = self.rules.iter().any(|rule| rule.when.prefix.is_some());
        has_prefix && self.rules.iter().all(|rule| rule.when.path.is_none())
    }

    /// The rules in order.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// The services that the rules route requests to.
    pub fn services(&self) -> BTreeSet<&Service> {
        let routes = self.rules.iter().filter_map(|rule| match &rule.then {
            Then::Route(route) => Some(route.services()),
            Then::Refuse(_) => None,
        });
        routes.flatten().collect()
    }

    /// Finds rules that can never match because an earlier rule matches all of their requests.
    ///
    /// A rule that is covered only by several earlier rules together is not found.
    pub fn check(&self) -> Vec<Warning> {
        let lines = Lines::of(&self.text);
        let shadows = shadow::find(&self.rules, &self.index).into_iter();
        let warnings = shadows.map(|shadow| Warning {
            position: lines.position(self.offsets[shadow.rule]),
            rule: self.rules[shadow.rule].name.clone(),
            shadowed_by: self.rules[shadow.by].name.clone(),
        });
        warnings.collect()
    }

    /// Identifies the caller of a request with `headers` that came from the address `peer`.
    ///
    /// The caller is named by the caller header that the document sets. If the document sets none,
    /// or the header is absent, repeated or not a valid name, the caller is the peer's address, so
    /// that a caller can't evade per-caller limits with a malformed header.
    pub fn caller(&self, headers: &HeaderMap, peer: IpAddr) -> Caller {
        self.caller_from_header(headers)
            .unwrap_or_else(|| caller_from_address(peer))
    }

    fn caller_from_header(&self, headers: &HeaderMap) -> Option<Caller> {
        let mut values = headers.get_all(self.caller_header.as_ref()?).iter();
        let value = values.next()?;
        if values.next().is_some() {
            return None;
        }
        value.to_str().ok()?.trim().parse().ok()
    }

    /// Returns the first rule that matches `request`.
    pub fn decide(&self, request: &Request<'_>) -> Option<&Rule> {
        let mut rules = self
            .index
            .candidates(request.path)
            .filter_map(|i| self.rules.get(i));
        rules.find(|rule| rule.when.matches(request))
    }

    /// Whether a request whose `route` was found by [`decide`](Document::decide) needs no key.
    ///
    /// The route must be public however the target reads the path. A path that is matched as it was sent
    /// may be under a public prefix, while a target that decodes it or resolves its dot segments reads
    /// one that needs a key, as in `/public/../orders/1`.
    pub fn is_public(&self, route: &Route, request: &Request<'_>) -> bool {
        if !route.public || !self.matches_raw_paths() {
            return route.public;
        }
        let Ok(path) = path::normalize(request.path) else {
            return false;
        };
        let request = Request {
            path: &path,
            ..*request
        };
        let rule = self.decide(&request);
        rule.is_some_and(|rule| matches!(&rule.then, Then::Route(route) if route.public))
    }

    /// Explains the result of [`decide`](Document::decide) for `request`.
    pub fn explain(&self, request: &Request<'_>) -> Explanation {
        explain::explain(&self.rules, request)
    }
}

/// Names a caller by its address.
///
/// An IPv4-mapped IPv6 address, as dual-stack sockets report it, gives the same caller as the IPv4
/// address.
fn caller_from_address(peer: IpAddr) -> Caller {
    let text = peer.to_canonical().to_string();
    text.parse()
        .expect("the text of an IP address is a valid caller name")
}
