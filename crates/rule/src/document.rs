//! The whole of the rules.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use http::{HeaderMap, HeaderName};
use jsonc::Lines;
use unit::{Caller, Service};

use crate::explain::{self, Explanation};
use crate::index::Index;
use crate::shadow::{self, Warning};
use crate::{ConnectionLimits, Error, Request, Target, Then, When, read};

/// One rule: when this, then that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// The name, alone of its kind in the document.
    pub name: String,
    /// Which requests the rule matches.
    pub when: When,
    /// What becomes of them.
    pub then: Then,
}

/// The ordered rules with the text that they came from.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    text: String,
    caller_header: Option<HeaderName>,
    connection_limits: ConnectionLimits,
    targets: BTreeMap<Service, Target>,
    rules: Vec<Rule>,
    /// Where each rule begins in the text.
    offsets: Vec<usize>,
    index: Index,
}

/// What the reader makes of a document's text.
pub(crate) struct Content {
    pub(crate) caller_header: Option<HeaderName>,
    pub(crate) connection_limits: ConnectionLimits,
    pub(crate) targets: BTreeMap<Service, Target>,
    pub(crate) rules: Vec<Rule>,
    /// Where each rule begins in the text.
    pub(crate) offsets: Vec<usize>,
}

impl Document {
    /// Longest text of a document in bytes.
    pub const MAX_TEXT_BYTES: usize = 4_000_000;
    /// Most rules of a document.
    pub const MAX_RULES: usize = 20_000;

    /// Reads a document.
    ///
    /// # Errors
    ///
    /// All faults of the text, with line, column, cause and what is allowed; only the first where
    /// the text is no JSON with comments at all.
    pub fn parse(text: &str) -> Result<Document, Error> {
        let content = read::content(text)?;
        Ok(Document {
            text: text.to_string(),
            caller_header: content.caller_header,
            connection_limits: content.connection_limits,
            targets: content.targets,
            index: Index::of(&content.rules),
            rules: content.rules,
            offsets: content.offsets,
        })
    }

    /// The text that this document was parsed from.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// What callers may send, and how long they may take; what is not said keeps its default.
    pub fn connection_limits(&self) -> &ConnectionLimits {
        &self.connection_limits
    }

    /// How the targets of `service` are to be asked after their health, if the document says so.
    pub fn target(&self, service: &Service) -> Option<&Target> {
        self.targets.get(service)
    }

    /// Whether the rules match on paths as they were sent, and not in their clean form.
    ///
    /// A prefix is compared byte for byte. Where no rule has a pattern, a path that the clean form
    /// refuses is none of the rules' business.
    pub fn matches_raw_paths(&self) -> bool {
        let has_prefix = self.rules.iter().any(|rule| rule.when.prefix.is_some());
        has_prefix && self.rules.iter().all(|rule| rule.when.path.is_none())
    }

    /// The rules in order.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// The services that any rule sends requests to.
    pub fn services(&self) -> BTreeSet<&Service> {
        let routes = self.rules.iter().filter_map(|rule| match &rule.then {
            Then::Route(route) => Some(route.services()),
            Then::Refuse(_) => None,
        });
        routes.flatten().collect()
    }

    /// Rules that can never match, each with an earlier rule that matches all it could.
    ///
    /// A rule that only several earlier rules cover together is not found.
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

    /// Tells who sends a request from `peer` with `headers`.
    ///
    /// It is what the caller header of the document says. Where there is none, or it is given
    /// twice or is no name, it is the peer's address, so that a caller can't hide behind a broken
    /// header from the limits that count per caller.
    pub fn caller(&self, headers: &HeaderMap, peer: IpAddr) -> Caller {
        self.named_caller(headers)
            .unwrap_or_else(|| address_caller(peer))
    }

    fn named_caller(&self, headers: &HeaderMap) -> Option<Caller> {
        let mut values = headers.get_all(self.caller_header.as_ref()?).iter();
        let value = values.next()?;
        if values.next().is_some() {
            return None;
        }
        value.to_str().ok()?.trim().parse().ok()
    }

    /// The first rule that matches `request`.
    pub fn decide(&self, request: &Request<'_>) -> Option<&Rule> {
        let mut rules = self
            .index
            .candidates(request.path)
            .filter_map(|i| self.rules.get(i));
        rules.find(|rule| rule.when.matches(request))
    }

    /// Why [`decide`](Document::decide) gives what it gives.
    pub fn explain(&self, request: &Request<'_>) -> Explanation {
        explain::explain(&self.rules, request)
    }
}

/// An IPv4 address that a dual-stack socket shows as IPv6 is the same caller as without.
fn address_caller(peer: IpAddr) -> Caller {
    let text = peer.to_canonical().to_string();
    text.parse()
        .expect("an IP address is made of letters of a name")
}
