//! The state of one request that its attempts share.

use std::sync::Arc;

use http::{HeaderMap, HeaderName, Method};
use nest::Parent;
use pick::retry::{Allowance, Cause};
use rule::{Preference, Route};
use tokio::time::Instant;
use unit::{Caller, Depth, Digest, Region, Service, Token, Urgency, Workspace};
use wire::{Call, Header, Payload};

use crate::credit::Credit;
use crate::grant::Grant;
use crate::{Entry, Upstream};

/// How many bytes of the body go into the fingerprint of a request.
const FINGERPRINT_BODY_BYTES: usize = 1_024;

/// One request that is forwarded to a service.
pub(crate) struct Job {
    /// The id of the request in logs: the one that its caller has given it, or `none`.
    pub(crate) id: String,
    pub(crate) entry: Arc<Entry>,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) route: Route,
    /// The service that the request goes to; one of several if the route is split.
    pub(crate) service: Service,
    pub(crate) caller: Caller,
    /// The workspace that the request belongs to.
    pub(crate) workspace: Option<Workspace>,
    /// The weight of the caller in the fair share at gates.
    pub(crate) weight: u32,
    /// The regions in which the request may be served; `None` for all.
    pub(crate) regions: Option<Vec<Region>>,
    /// The key that the request was admitted by; `None` if it needs none.
    pub(crate) grant: Option<Arc<Grant>>,
    /// What the request has taken out of the workspace's quota.
    pub(crate) credit: Credit,
    pub(crate) urgency: Urgency,
    pub(crate) depth: Depth,
    pub(crate) deadline: Instant,
    /// When the latency goal ends; a later answer is worth little to the caller.
    pub(crate) goal: Option<Instant>,
    /// Whether the caller is retrying a request that was refused before.
    pub(crate) is_retry: bool,
    /// The class of work; see [`wire::Call::class`].
    pub(crate) class: u32,
    pub(crate) budget: Budget,
    pub(crate) kind: Digest,
    pub(crate) head: Head,
}

/// The head of the request as it is sent to the target.
pub(crate) struct Head {
    pub(crate) method: Method,
    pub(crate) uri: String,
    pub(crate) headers: Vec<Header>,
}

/// The retry allowance: the request's own, or the one that all calls nested in one call share.
pub(crate) enum Budget {
    /// The allowance of a request from outside.
    Own(Allowance),
    /// The allowance of the running call that the nested call belongs to.
    Shared(Parent),
}

impl Budget {
    /// Asks the budget of `upstream` for one more attempt.
    pub(crate) fn ask(&mut self, upstream: &Upstream, cause: Cause) -> bool {
        let now = Instant::now();
        self.change(|allowance| upstream.ask_budget(now, allowance, cause))
    }

    /// Updates the allowance with what an answer reports as left.
    pub(crate) fn settle(&mut self, kind: pick::Kind, back: Option<u8>) {
        let back = back.map(Allowance::from_units);
        self.change(|allowance| *allowance = allowance.after(kind, back));
    }

    /// The units that are left for nested calls.
    pub(crate) fn units(&mut self) -> u8 {
        self.change(|allowance| allowance.units())
    }

    fn change<T>(&mut self, change: impl FnOnce(&mut Allowance) -> T) -> T {
        match self {
            Budget::Own(allowance) => change(allowance),
            Budget::Shared(parent) => parent.allowance(|units| {
                let mut allowance = Allowance::from_units(*units);
                let result = change(&mut allowance);
                *units = allowance.units();
                result
            }),
        }
    }
}

impl Head {
    pub(crate) fn new(method: Method, uri: &http::Uri, headers: &HeaderMap) -> Head {
        let uri = uri.path_and_query().map_or("/", |path| path.as_str());
        Head {
            method,
            uri: uri.to_string(),
            headers: Header::forward(headers),
        }
    }

    /// Sets a header, replacing whatever the caller has sent under that name.
    pub(crate) fn set(&mut self, name: &HeaderName, value: &str) {
        self.headers.retain(|header| header.name != name.as_str());
        self.headers.push(Header {
            name: name.as_str().to_string(),
            value: value.as_bytes().to_vec(),
        });
    }

    /// The fingerprint by which further requests like one that crashed a target are recognized.
    pub(crate) fn kind(&self, body: &[u8]) -> Digest {
        let start = &body[..body.len().min(FINGERPRINT_BODY_BYTES)];
        Digest::of_parts(&[self.method.as_str().as_bytes(), self.uri.as_bytes(), start])
    }
}

impl Job {
    /// Builds the frame that opens an attempt.
    pub(crate) fn call(&mut self, token: Token, body: Payload, elsewhere: bool) -> Call {
        Call {
            token,
            service: self.service.clone(),
            urgency: self.urgency,
            caller: self.caller.clone(),
            weight: self.weight,
            remaining: self.deadline.saturating_duration_since(Instant::now()),
            goal: self
                .goal
                .map(|goal| goal.saturating_duration_since(Instant::now())),
            class: self.class,
            elsewhere,
            depth: self.depth,
            allowance: self.budget.units(),
            once: !self.repeatable(),
            bulk: self.route.bulk,
            kind: self.kind,
            method: self.head.method.to_string(),
            uri: self.head.uri.clone(),
            headers: self.head.headers.clone(),
            body,
            notice: None,
        }
    }

    /// Whether the request may run more than once.
    pub(crate) fn repeatable(&self) -> bool {
        self.route.repeatable()
    }

    /// The zones that the rule allows or prefers.
    pub(crate) fn zone(&self) -> pick::Preference {
        match self.route.zone {
            Preference::Near => pick::Preference::Near,
            Preference::Any => pick::Preference::Any,
            Preference::Only => pick::Preference::Only,
        }
    }
}
