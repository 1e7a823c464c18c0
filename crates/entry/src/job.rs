//! One request on its way to a target.

use std::sync::Arc;

use http::{HeaderMap, HeaderName, Method};
use nest::Parent;
use pick::retry::{Allowance, Cause};
use rule::{Preference, Route};
use tokio::time::Instant;
use unit::{Caller, Depth, Digest, Service, Token, Urgency};
use wire::{Call, Header, Payload};

use crate::{Entry, Upstream};

/// How many bytes of a body count for the fingerprint of a request.
const KIND_BYTES: usize = 1_024;

/// One request, with all that its tries share.
pub(crate) struct Job {
    /// What the request is called in logs: its caller's name for it, where it has one.
    pub(crate) id: String,
    pub(crate) entry: Arc<Entry>,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) route: Route,
    /// The part of the route that the request goes to.
    pub(crate) service: Service,
    pub(crate) caller: Caller,
    pub(crate) urgency: Urgency,
    pub(crate) depth: Depth,
    pub(crate) deadline: Instant,
    /// When the answer is worth little to the caller.
    pub(crate) goal: Option<Instant>,
    /// The caller was refused before, and asks again.
    pub(crate) again: bool,
    /// The kind of work; see [`wire::Call::class`].
    pub(crate) class: u32,
    pub(crate) budget: Budget,
    pub(crate) kind: Digest,
    pub(crate) head: Head,
}

/// The head of the request as the target shall see it.
pub(crate) struct Head {
    pub(crate) method: Method,
    pub(crate) uri: String,
    pub(crate) headers: Vec<Header>,
}

/// The retry allowance: the request's own, or the one shared by all calls below one call.
pub(crate) enum Budget {
    /// A caller's own request.
    Own(Allowance),
    /// A nested call.
    Shared(Parent),
}

impl Budget {
    /// Asks the budget of `upstream` for one more try.
    pub(crate) fn ask(&mut self, upstream: &Upstream, cause: Cause) -> bool {
        let now = Instant::now();
        self.change(|allowance| upstream.ask(now, allowance, cause))
    }

    /// Takes in what an answer says is left.
    pub(crate) fn settle(&mut self, kind: pick::Kind, back: Option<u8>) {
        let back = back.map(Allowance::from_units);
        self.change(|allowance| *allowance = allowance.after(kind, back));
    }

    /// What is left for the calls below.
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

    /// Sets a header that is the entry's to say, whatever the caller has said.
    pub(crate) fn set(&mut self, name: &HeaderName, value: &str) {
        self.headers.retain(|header| header.name != name.as_str());
        self.headers.push(Header {
            name: name.as_str().to_string(),
            value: value.as_bytes().to_vec(),
        });
    }

    /// The fingerprint by which a request that crashes targets is known again.
    pub(crate) fn kind(&self, body: &[u8]) -> Digest {
        let start = &body[..body.len().min(KIND_BYTES)];
        Digest::of_parts(&[self.method.as_str().as_bytes(), self.uri.as_bytes(), start])
    }
}

impl Job {
    /// The first frame of a try.
    pub(crate) fn call(&mut self, token: Token, body: Payload, elsewhere: bool) -> Call {
        Call {
            token,
            service: self.service.clone(),
            urgency: self.urgency,
            caller: self.caller.clone(),
            weight: self.route.weight,
            remaining: self.deadline.saturating_duration_since(Instant::now()),
            goal: self
                .goal
                .map(|goal| goal.saturating_duration_since(Instant::now())),
            class: self.class,
            elsewhere,
            depth: self.depth,
            allowance: self.budget.units(),
            once: !self.repeatable(),
            kind: self.kind,
            method: self.head.method.to_string(),
            uri: self.head.uri.clone(),
            headers: self.head.headers.clone(),
            body,
        }
    }

    /// The request may run more than once.
    pub(crate) fn repeatable(&self) -> bool {
        self.route.repeatable()
    }

    /// Where the rule lets the request go.
    pub(crate) fn zone(&self) -> pick::Preference {
        match self.route.zone {
            Preference::Near => pick::Preference::Near,
            Preference::Any => pick::Preference::Any,
            Preference::Only => pick::Preference::Only,
        }
    }
}
