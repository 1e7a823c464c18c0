//! Refusals: answers that the entry gives itself, with the outcome, the reason and a retry time.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use unit::Outcome;

use crate::Body;
use crate::answer::OUTCOME;

/// The header that gives the reason why a request got no answer from a target.
pub const REASON: &str = "x-appleshore-reason";

/// The reason why a request got no answer from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The path, a header or the body violates HTTP or the rules.
    #[display("malformed")]
    Malformed,
    /// The head or the body exceeds its size limit.
    #[display("too-large")]
    TooLarge,
    /// The caller sent its head or body too slowly.
    #[display("slow-body")]
    SlowBody,
    /// A rule refuses the request.
    #[display("rule")]
    Rule,
    /// No rule matches.
    #[display("no-rule")]
    NoRule,
    /// The request needs the key of a workspace, and has none that is known.
    #[display("no-workspace")]
    NoWorkspace,
    /// It is not confirmed that the configuration is current, so that the key may have been removed.
    #[display("unconfirmed")]
    Unconfirmed,
    /// The workspace has used up its quota.
    #[display("quota")]
    Quota,
    /// The rules require an idempotency key, and the request has none.
    #[display("no-key")]
    NoKey,
    /// The key was used before with another body.
    #[display("key-mismatch")]
    KeyMismatch,
    /// The caller has reached its limit of concurrent requests.
    #[display("caller-limit")]
    CallerLimit,
    /// The call exceeds the maximum nesting depth.
    #[display("too-deep")]
    TooDeep,
    /// No target of the service is known or may be chosen.
    #[display("no-target")]
    NoTarget,
    /// The service has no target in the regions that the route and the workspace allow.
    #[display("no-region")]
    NoRegion,
    /// All zones in which the service has targets are evacuated.
    #[display("evacuated")]
    Evacuated,
    /// The gates that were asked are at capacity.
    #[display("full")]
    Full,
    /// The deadline can't be met, or has passed.
    #[display("deadline")]
    Deadline,
    /// This instance is shutting down.
    #[display("leaving")]
    Leaving,
    /// Requests with the same fingerprint are suspected of crashing targets.
    #[display("suspect")]
    Suspect,
    /// The key could not be claimed in the ledger.
    #[display("no-claim")]
    NoClaim,
    /// The link or the target was lost while the request may have run.
    #[display("lost")]
    Lost,
    /// A request with this key has run, and its answer is no longer available.
    #[display("already-run")]
    AlreadyRun,
}

/// An answer that the entry gives itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    outcome: Outcome,
    reason: Reason,
    status: StatusCode,
    detail: String,
    retry_after: Option<Duration>,
    /// Whether the caller understands fractions of a second in `Retry-After`.
    subsecond: bool,
    /// The scheme in which the caller must show a key.
    challenge: Option<&'static str>,
}

/// `Retry-After` for a caller when no gate has given a time: a few service times.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The JSON body.
#[derive(Serialize)]
struct Content<'a> {
    outcome: Outcome,
    reason: Reason,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

impl Refusal {
    /// The refusal of a request that this instance does not serve because it is shutting down.
    pub(crate) fn leaving() -> Refusal {
        Refusal::not_run(Reason::Leaving).detail("this instance is leaving")
    }

    /// Builds a refusal of a request that has not run and never will.
    pub fn not_run(reason: Reason) -> Refusal {
        Refusal::new(Outcome::NotRun, reason, default_status(reason))
    }

    /// Builds a refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Refusal {
        let status = match reason {
            Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Refusal::new(Outcome::Unknown, reason, status)
    }

    /// Builds a refusal of a request whose key has run before.
    pub fn already_run() -> Refusal {
        Refusal::new(
            Outcome::AlreadyRun,
            Reason::AlreadyRun,
            StatusCode::CONFLICT,
        )
    }

    fn new(outcome: Outcome, reason: Reason, status: StatusCode) -> Refusal {
        Refusal {
            outcome,
            reason,
            status,
            detail: String::new(),
            retry_after: None,
            subsecond: false,
            challenge: None,
        }
    }

    /// Sets the human-readable detail.
    pub fn detail(mut self, detail: impl ToString) -> Refusal {
        self.detail = detail.to_string();
        self
    }

    /// Sets the HTTP status, in place of the default for the reason.
    pub fn status(mut self, status: StatusCode) -> Refusal {
        self.status = status;
        self
    }

    /// Sets how long the caller should wait before it retries.
    pub fn retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }

    /// Asks the caller for a key in the authentication scheme `scheme`.
    pub fn challenge(mut self, scheme: &'static str) -> Refusal {
        self.challenge = Some(scheme);
        self
    }

    /// The outcome of the request.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    pub(crate) fn status_code(&self) -> u16 {
        self.status.as_u16()
    }

    /// The human-readable detail; empty if there is none.
    pub(crate) fn detail_text(&self) -> &str {
        &self.detail
    }

    /// The reason of the refusal.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Sets the retry time to at most a third of the caller's remaining time `left`, so that it can
    /// still retry in time. Applies only to refusals that a retry may overcome: those for which
    /// nothing ran, with a server error or status 429. The time after which a quota has credit is kept,
    /// because an earlier retry would certainly be refused again.
    pub(crate) fn limit_retry_after(mut self, left: Duration) -> Refusal {
        let may_retry = self.outcome == Outcome::NotRun && self.status.is_server_error()
            || self.status == StatusCode::TOO_MANY_REQUESTS;
        if may_retry {
            let after = self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            let is_exact = self.reason == Reason::Quota;
            self.retry_after = Some(if is_exact { after } else { after.min(left / 3) });
            self.subsecond = true;
        }
        self
    }

    /// Builds the HTTP response.
    pub fn response(&self) -> Response<Body> {
        let content = Content {
            outcome: self.outcome,
            reason: self.reason,
            detail: &self.detail,
            retry_after_ms: self.retry_after.map(|after| after.as_millis()),
        };
        // Text and numbers always serialize; an empty body would be acceptable otherwise.
        let json = serde_json::to_vec(&content).unwrap_or_default();
        let body = Full::from(json)
            .map_err(|never| match never {})
            .boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        set_header(headers, OUTCOME, &self.outcome.to_string());
        set_header(headers, REASON, &self.reason.to_string());
        if let Some(scheme) = self.challenge {
            set_header(headers, header::WWW_AUTHENTICATE.as_str(), scheme);
        }
        if let Some(after) = self.retry_after {
            let text = match self.subsecond {
                true => format!("{:.3}", after.as_secs_f64()),
                false => round_up_to_seconds(after).to_string(),
            };
            set_header(headers, header::RETRY_AFTER.as_str(), &text);
        }
        response
    }
}

/// `Retry-After` in HTTP is an integer of seconds; rounding up keeps callers from retrying too
/// early.
fn round_up_to_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}

pub(crate) fn set_header(headers: &mut http::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn default_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Malformed | Reason::NoKey => StatusCode::BAD_REQUEST,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::SlowBody => StatusCode::REQUEST_TIMEOUT,
        Reason::Rule => StatusCode::FORBIDDEN,
        Reason::NoRule => StatusCode::NOT_FOUND,
        Reason::KeyMismatch | Reason::AlreadyRun => StatusCode::CONFLICT,
        Reason::CallerLimit | Reason::Quota => StatusCode::TOO_MANY_REQUESTS,
        Reason::NoWorkspace => StatusCode::UNAUTHORIZED,
        Reason::TooDeep => StatusCode::LOOP_DETECTED,
        Reason::Lost => StatusCode::BAD_GATEWAY,
        Reason::NoTarget
        | Reason::NoRegion
        | Reason::Evacuated
        | Reason::Full
        | Reason::Deadline
        | Reason::Leaving
        | Reason::Suspect
        | Reason::NoClaim
        | Reason::Unconfirmed => StatusCode::SERVICE_UNAVAILABLE,
    }
}
