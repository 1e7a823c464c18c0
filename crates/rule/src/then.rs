//! What becomes of a request that a rule matches.

use std::time::Duration;

use unit::{Service, Size, Urgency};

use crate::Key;

/// The answer of a rule.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::From)]
pub enum Then {
    /// The request goes to a service.
    Route(Route),
    /// The request is refused at the entry and never runs.
    Refuse(Refusal),
}

/// Where a request goes and how it is treated on the way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The service whose targets answer.
    pub service: Service,
    /// Services that share the requests by weight; empty where [`Route::service`] gets them all.
    pub split: Vec<WeightedService>,
    /// How soon the request must be served; `routine` where the rule says nothing.
    pub urgency: Urgency,
    /// The rank by which the reader of the document has worked out the urgency; 0 is the highest.
    pub priority: Option<u32>,
    /// The time after which an answer is worth little to its caller; none by default.
    pub objective: Option<Duration>,
    /// Whether the request may run more than once; `true` by default.
    ///
    /// A request without a key that may not be repeated is sent again only where it certainly has
    /// not run. Nothing is claimed for it: a caller that sends it anew has it run anew.
    pub repeat: bool,
    /// Most targets that one request may be sent to; a gate that refuses is not counted. No bound
    /// but [`Route::retries`] by default.
    pub attempts: Option<u32>,
    /// Where the key of a request that may run at most once stands; `None` where it may repeat.
    pub once: Option<Key>,
    /// How long the caller waits, queueing and retries included; 10 s by default.
    pub timeout: Duration,
    /// Further tries after the first; 1 by default.
    ///
    /// With [`Route::once`], these are spent only on tries that a gate refused before dispatch, so
    /// that none of them can follow a run.
    pub retries: u32,
    /// Whether a slow try may be doubled at another target; never together with [`Route::once`].
    pub hedge: bool,
    /// Most requests of one caller that one entry has under way at once; no bound by default.
    pub per_caller: Option<u32>,
    /// The caller's share against others of the same urgency at a full gate; 1 by default.
    pub weight: u32,
    /// Which zones' targets are chosen; `near` by default.
    pub zone: Preference,
    /// Bytes per second and target that may be spent on reports and probes; 1 KB by default.
    pub measuring: Size,
}

/// One service's part of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: Service,
    /// Its share of the requests, against the weights of the others.
    pub weight: u32,
}

/// A refusal at the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status, 400 to 599.
    pub status: u16,
    /// Why, in words for the caller.
    pub reason: String,
}

/// Which zones' targets a request may go to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Preference {
    /// The entry's zone as long as that serves sooner.
    #[default]
    #[display("near")]
    Near,
    /// All zones alike.
    #[display("any")]
    Any,
    /// The entry's zone and no other.
    #[display("only")]
    Only,
}

impl Route {
    /// The timeout of a rule that names none.
    pub const TIMEOUT: Duration = Duration::from_secs(10);
    /// The retries of a rule that names none.
    pub const RETRIES: u32 = 1;
    /// The weight of a rule that names none.
    pub const WEIGHT: u32 = 1;
    /// The measuring budget of a rule that names none.
    pub const MEASURING: Size = Size::of(1_000);

    /// The services that requests of this route go to.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        let parts = self.split.iter().map(|part| &part.service);
        let whole = self.split.is_empty().then_some(&self.service);
        parts.chain(whole)
    }

    /// Whether the request may run more than once, so that one that may have run can be sent again.
    pub fn repeatable(&self) -> bool {
        self.repeat && self.once.is_none()
    }

    /// A route to `service` with every default.
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
        }
    }
}
