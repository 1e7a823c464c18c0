//! How requests that match a rule are handled.

use std::time::Duration;

use unit::{Region, Service, Size, Urgency};
use workspace::Workspace;

use crate::Key;

/// The action of a rule.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::From)]
pub enum Then {
    /// The request is routed to a service.
    Route(Route),
    /// The request is refused at the entry and never runs.
    Refuse(Refusal),
}

/// Where a request is sent, with its priority, limits and retry policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The service whose targets serve the request.
    pub service: Service,
    /// Services that share the requests by weight; if empty, [`Route::service`] gets them all.
    pub split: Vec<WeightedService>,
    /// How urgent the request is; `routine` by default.
    pub urgency: Urgency,
    /// The priority from which the urgency was derived, if the rule sets one; 0 is the highest.
    pub priority: Option<u32>,
    /// The time after which a response is worth little to the caller; none by default.
    pub objective: Option<Duration>,
    /// Whether the request may run more than once; `true` by default.
    ///
    /// If `false`, the request is retried only if it certainly has not run. Unlike with
    /// [`Route::once`], nothing is claimed: a request that the caller sends again runs again.
    pub repeat: bool,
    /// Maximum number of targets that a request may be sent to; refusals by a gate don't count. By
    /// default, only [`Route::retries`] limits the attempts.
    pub attempts: Option<u32>,
    /// The location of the idempotency key if the request may run at most once; `None` if not.
    pub once: Option<Key>,
    /// How long the caller waits for a response, including queueing and retries; 10 s by default.
    pub timeout: Duration,
    /// Maximum number of attempts after the first; 1 by default.
    ///
    /// With [`Route::once`], an attempt is retried only if a gate refused it before dispatch, so
    /// that no retry can follow a run.
    pub retries: u32,
    /// Whether a slow attempt may be hedged at another target; never set together with
    /// [`Route::once`].
    pub hedge: bool,
    /// Maximum number of concurrent requests of one caller at one entry; no limit by default.
    pub per_caller: Option<u32>,
    /// The caller's weight relative to others of the same urgency at a full gate; 1 by default.
    pub weight: u32,
    /// Which zones' targets may be chosen; `near` by default.
    pub zone: Preference,
    /// Bytes per second and target that reports and probes may use; 1 KB by default.
    pub measuring: Size,
    /// Whether requests need no key although the document has workspaces; `false` by default.
    pub public: bool,
    /// Whether answers are large, so that they may be sent later than others; `false` by default.
    pub bulk: bool,
    /// The regions whose targets may serve the request; `None` for all.
    pub regions: Option<Vec<Region>>,
}

/// A service of a route's split, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: Service,
    /// The service's share of the requests, relative to the weights of the others.
    pub weight: u32,
}

/// A refusal at the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status, 400 to 599.
    pub status: u16,
    /// The reason, as text for the caller.
    pub reason: String,
}

/// Which zones' targets a request may go to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Preference {
    /// The entry's zone, as long as its targets serve sooner than others.
    #[default]
    #[display("near")]
    Near,
    /// All zones equally.
    #[display("any")]
    Any,
    /// Only the entry's zone.
    #[display("only")]
    Only,
}

impl Route {
    /// The default timeout.
    pub const TIMEOUT: Duration = Duration::from_secs(10);
    /// The default number of retries.
    pub const RETRIES: u32 = 1;
    /// The default weight.
    pub const WEIGHT: u32 = 1;
    /// The default budget for reports and probes, per second and target.
    pub const MEASURING: Size = Size::of(1_000);

    /// The services that this route sends requests to.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        let weighted = self.split.iter().map(|weighted| &weighted.service);
        let single = self.split.is_empty().then_some(&self.service);
        weighted.chain(single)
    }

    /// Whether the request may run more than once, and so be sent again after it may have run.
    pub fn repeatable(&self) -> bool {
        self.repeat && self.once.is_none()
    }

    /// A route to `service` with the default settings.
    pub fn to(service: Service) -> Route {
        Route {
            service,
            split: Vec::new(),
            urgency: Urgency::default(),
            priority: None,
            objective: None,
            repeat: true,
            attempts: None,
            once: None,
            timeout: Route::TIMEOUT,
            retries: Route::RETRIES,
            hedge: false,
            per_caller: None,
            weight: Route::WEIGHT,
            zone: Preference::default(),
            measuring: Route::MEASURING,
            public: false,
            bulk: false,
            regions: None,
        }
    }

    /// The urgency of a request on this route: that of the priority of its workspace, if it has one,
    /// and otherwise the route's.
    pub fn urgency_for(&self, workspace: Option<&Workspace>) -> Urgency {
        workspace
            .and_then(|workspace| workspace.urgency)
            .unwrap_or(self.urgency)
    }
}
