//! The whole of the rules.

use std::collections::BTreeSet;
use std::net::IpAddr;

use http::{HeaderMap, HeaderName};
use jsonc::Lines;
use unit::{Caller, Service};

use crate::explain::{self, Explanation};
use crate::index::Index;
use crate::shadow::{self, Warning};
use crate::{Error, Request, Then, When, read};

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
    rules: Vec<Rule>,
    /// Where each rule begins in the text.
    offsets: Vec<usize>,
    index: Index,
}

/// What the reader makes of a document's text.
pub(crate) struct Content {
    pub(crate) caller_header: Option<HeaderName>,
    pub(crate) rules: Vec<Rule>,
    /// Where each rule begins in the text.
    pub(crate) offsets: Vec<usize>,
}

impl Document {
    /// Longest text of a document in bytes; the platform's service holds values of this size.
    pub const MAX_TEXT: usize = 1_000_000;
    /// Most rules of a document.
    pub const MAX_RULES: usize = 10_000;

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
            index: Index::of(&content.rules),
            rules: content.rules,
            offsets: content.offsets,
        })
    }

    /// The text that this document was parsed from.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The rules in order.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// The services that any rule sends requests to.
    pub fn services(&self) -> BTreeSet<&Service> {
        let routes = self.rules.iter().filter_map(|rule| match &rule.then {
            Then::Route(route) => Some(&route.service),
            Then::Refuse(_) => None,
        });
        routes.collect()
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
            shadow: self.rules[shadow.by].name.clone(),
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
