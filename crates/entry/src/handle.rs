//! Handles one HTTP request: matches a rule, applies limits, and forwards or refuses it.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header};
use pick::retry::Allowance;
use rule::{Document, Route, Rule, Then};
use tokio::time::Instant;
use unit::{Caller, Depth, Digest, Service, Urgency};

use crate::answer::{self, ResponseGuard};
use crate::attempts::Attempts;
use crate::authentication::Access;
use crate::credit::Credit;
use crate::job::{Budget, Head, Job};
use crate::once::{Once, claim_key};
use crate::request_body::{self, REPLAYABLE_BYTES, RequestBody};
use crate::residence;
use crate::{Body, Entry, InFlight, Origin, Reason, Refusal, paced, share};

/// What the head of a request that is forwarded to a service determines.
struct Routed<'a> {
    origin: &'a Origin,
    parts: &'a Parts,
    route: &'a Route,
    depth: Depth,
    timing: Timing,
    access: Access<'a>,
}

/// A caller that has waited for at least this long counts as retrying.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(10);

/// The deadline and latency goal of a request.
struct Timing {
    /// When the caller must have a final answer.
    deadline: Instant,
    /// When the latency goal ends; a later answer is worth little.
    goal: Option<Instant>,
    /// Whether the caller is retrying a request that was refused before.
    is_retry: bool,
}

/// The rule that matches a request, and the caller that the rules name.
struct Matched<'a> {
    rule: &'a Rule,
    caller: Caller,
}

impl Entry {
    /// Answers one request.
    pub async fn handle(
        self: &Arc<Self>,
        origin: Origin,
        request: Request<Body>,
    ) -> Response<Body> {
        let in_flight = self.begin_request();
        let (mut parts, body) = request.into_parts();
        let answered = self.serve(&origin, &mut parts, body, in_flight).await;
        let mut response = answered.unwrap_or_else(|refusal| self.refuse(&parts, refusal));
        self.count_outcome(answer::outcome(&response));
        if self.is_closing() {
            // Otherwise the next request on a kept-alive connection could cross with the close of
            // the connection, and its caller could not tell whether it ran.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        match (&self.setting.link, &origin) {
            (Some(link), Origin::Outside(_)) => paced::pace(link, response),
            // The own target's answers don't cross the link.
            _ => response,
        }
    }

    fn refuse(&self, parts: &Parts, refusal: Refusal) -> Response<Body> {
        let dialect = &self.setting.dialect;
        if !dialect.exact_retry {
            return refusal.response();
        }
        // If the header can't be read, the request was refused for that reason.
        let left = dialect.time_left(&parts.headers).ok().flatten();
        refusal
            .limit_retry_after(left.unwrap_or(Route::TIMEOUT))
            .response()
    }

    async fn serve(
        self: &Arc<Self>,
        origin: &Origin,
        parts: &mut Parts,
        body: Body,
        in_flight: InFlight,
    ) -> Result<Response<Body>, Refusal> {
        // Calls that run here may still need their nested calls, so a planned stop must not refuse
        // those.
        let nested = matches!(origin, Origin::Nested(Some(_)));
        if self.is_leaving() && !nested {
            return Err(Refusal::leaving());
        }
        let document = self.document()?;
        let mut matched = self.match_rule(&document, origin, parts)?;
        let route = match &matched.rule.then {
            Then::Route(route) => route,
            Then::Refuse(refuse) => return Err(refused_by_rule(refuse)),
        };
        let access = self.authenticate(&document, origin, parts, route, &matched.caller)?;
        let key = access.strip(&self.setting.dialect, parts);
        let grant = self.grant(access, key, parts, &document);
        matched.caller = access.caller(&document, origin, matched.caller);
        // The time of the caller runs while the request waits for credit.
        let timing = self.timing(&matched.rule.name, origin, parts, route)?;
        let credit = self.admit(access, parts, route, timing.deadline).await?;
        let caller_limit = self.enter_caller_limit(matched.rule, route, &matched.caller)?;
        let routed = Routed {
            origin,
            parts,
            route,
            depth: self.depth(origin)?,
            timing,
            access,
        };
        let guard = ResponseGuard {
            _in_flight: in_flight,
            _caller_limit: caller_limit,
            idle_timeout: self.setting.limits.idle_timeout,
        };
        let key = self.idempotency_key(route, origin, parts, &matched)?;
        let body = self.read_body(body, key.is_some(), routed.timing.deadline);
        let mut body = body.await?;
        let rule = matched.rule.name.clone();
        let service = self.choose_service(&rule, route);
        let mut job = self.build_job(&routed, service, matched.caller, &body);
        job.grant = grant;
        job.credit = credit;
        job.regions = residence::allowed(&document, origin, route, access, &job.caller);
        self.check_regions(&job, routed.parts)?;
        job.class = Digest::of(rule.as_bytes()).0 as u32;
        if let Some(key) = key {
            let once = Once {
                job,
                key,
                body: body.into_bytes(),
                rule,
                guard,
            };
            return once.serve().await;
        }
        let answer = Attempts::new(&mut job).run(&mut body).await?;
        let mut response = answer.response(Bytes::new(), guard);
        if job.route.bulk {
            response.extensions_mut().insert(paced::Bulk);
        }
        Ok(response)
    }

    /// Reads the body of a request; that of one that runs `once` completely, because its claim is for
    /// this body.
    async fn read_body(
        &self,
        body: Body,
        once: bool,
        deadline: Instant,
    ) -> Result<RequestBody, Refusal> {
        let limits = &self.setting.limits;
        let (buffer, size) = match once {
            true => (usize::MAX, limits.once_body),
            false => (REPLAYABLE_BYTES, limits.body),
        };
        let limits = request_body::Limits {
            size,
            idle_timeout: limits.idle_timeout,
            deadline,
        };
        RequestBody::read(body, buffer, limits).await
    }

    fn build_job(
        self: &Arc<Self>,
        routed: &Routed<'_>,
        service: Service,
        caller: Caller,
        body: &RequestBody,
    ) -> Job {
        let Routed {
            origin,
            parts,
            route,
            access,
            ..
        } = *routed;
        let mut head = Head::new(parts.method.clone(), &parts.uri, &parts.headers);
        if let Some(name) = &self.setting.dialect.origin {
            head.set(name, self.setting.service.as_str());
        }
        // Only now: a caller that names a header in `Connection` has it left out of the head.
        access.name_workspace(&self.setting.dialect, &mut head);
        Job {
            id: self.id(parts),
            entry: self.clone(),
            upstream: self.upstream(&service),
            service,
            route: route.clone(),
            caller,
            workspace: access.workspace().map(|workspace| workspace.name.clone()),
            weight: share::weight(route, access.workspace()),
            regions: None,
            grant: None,
            credit: Credit::default(),
            urgency: urgency(origin, route, access),
            depth: routed.depth,
            deadline: routed.timing.deadline,
            goal: routed.timing.goal,
            is_retry: routed.timing.is_retry,
            class: 0,
            budget: budget(origin),
            kind: head.kind(body.start()),
            head,
        }
    }

    /// The key to claim, if the rule says that the request may not be repeated.
    fn idempotency_key(
        &self,
        route: &Route,
        origin: &Origin,
        parts: &Parts,
        matched: &Matched<'_>,
    ) -> Result<Option<Digest>, Refusal> {
        let Some(key) = &route.once else {
            return Ok(None);
        };
        let request = self.rule_request(origin, parts, parts.uri.path(), &matched.caller);
        let found = key.find(&request);
        let found = found.map_err(|e| Refusal::not_run(Reason::Malformed).detail(e))?;
        let missing = || {
            let detail = format!("rule {:?} asks for a key in the {key}", matched.rule.name);
            Refusal::not_run(Reason::NoKey).detail(detail)
        };
        let text = found.ok_or_else(missing)?;
        Ok(Some(claim_key(&matched.caller, &route.service, &text)))
    }

    pub(crate) fn document(&self) -> Result<Arc<Document>, Refusal> {
        let none = || {
            Refusal::not_run(Reason::NoRule)
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .detail("no rules have come yet")
                .retry_after(std::time::Duration::from_secs(1))
        };
        (self.setting.rules)().ok_or_else(none)
    }

    fn match_rule<'a>(
        &self,
        document: &'a Document,
        origin: &Origin,
        parts: &Parts,
    ) -> Result<Matched<'a>, Refusal> {
        let path = match document.matches_raw_paths() {
            true => Cow::Borrowed(parts.uri.path()),
            false => {
                let path = rule::path::normalize(parts.uri.path());
                let path = path.map_err(|e| Refusal::not_run(Reason::Malformed).detail(e))?;
                Cow::Owned(path)
            }
        };
        let caller = self.caller(document, origin, parts)?;
        let rule = document.decide(&self.rule_request(origin, parts, &path, &caller));
        let rule =
            rule.ok_or_else(|| Refusal::not_run(Reason::NoRule).detail("no rule matches"))?;
        Ok(Matched { rule, caller })
    }

    /// The properties of the request that rules match on.
    pub(crate) fn rule_request<'a>(
        &'a self,
        origin: &Origin,
        parts: &'a Parts,
        path: &'a str,
        caller: &'a Caller,
    ) -> rule::Request<'a> {
        let nested = matches!(origin, Origin::Nested(_));
        rule::Request {
            service: nested.then_some(&self.setting.service),
            method: &parts.method,
            path,
            query: parts.uri.query(),
            headers: &parts.headers,
            caller,
            zone: &self.setting.zone,
        }
    }

    /// The caller of the request. A nested call counts for the caller of the outermost call; a call
    /// that the target makes outside any running call counts for its service.
    fn caller(
        &self,
        document: &Document,
        origin: &Origin,
        parts: &Parts,
    ) -> Result<Caller, Refusal> {
        match origin {
            // The platform identifies requests by the service where they begin.
            Origin::Outside(_) if self.setting.dialect.origin.is_some() => self.own_caller(),
            Origin::Outside(peer) => Ok(document.caller(&parts.headers, *peer)),
            Origin::Nested(Some(parent)) => Ok(parent.context().caller.clone()),
            Origin::Nested(None) => self.own_caller(),
        }
    }

    /// This instance's service as a caller.
    fn own_caller(&self) -> Result<Caller, Refusal> {
        let caller = self.setting.service.as_str().parse();
        caller.map_err(|e| Refusal::not_run(Reason::Malformed).detail(e))
    }

    fn enter_caller_limit(
        &self,
        rule: &Rule,
        route: &Route,
        caller: &Caller,
    ) -> Result<Option<pick::limit::Guard>, Refusal> {
        let Some(each) = route.per_caller else {
            return Ok(None);
        };
        let entered = self.caller_limit(&rule.name, each).admit(caller);
        let refused = |e| {
            Refusal::not_run(Reason::CallerLimit)
                .detail(e)
                .retry_after(std::time::Duration::from_secs(1))
        };
        entered.map(Some).map_err(refused)
    }

    /// Computes the deadline of the request: the earliest of the rule's timeout, the time that the
    /// caller reports as left, and the deadline of the enclosing call.
    ///
    /// The latency goal counts from the caller's first attempt. A nested call has no goal: if it
    /// were given up for being late, the run that waits for it would be wasted.
    fn timing(
        &self,
        rule: &str,
        origin: &Origin,
        parts: &Parts,
        route: &Route,
    ) -> Result<Timing, Refusal> {
        let left = self.setting.dialect.time_left(&parts.headers);
        let left = left.map_err(|_| {
            Refusal::not_run(Reason::Malformed).detail("the time left is no number of milliseconds")
        })?;
        let now = Instant::now();
        let mut deadline = now + left.unwrap_or(route.timeout).min(route.timeout);
        if let Origin::Nested(Some(parent)) = origin {
            deadline = deadline.min(parent.context().deadline);
        }
        let waited = left.map_or(Duration::ZERO, |left| self.time_waited(rule, left));
        let outside = matches!(origin, Origin::Outside(_));
        let objective = route.objective.filter(|_| outside);
        let goal = objective.map(|objective| now + objective.saturating_sub(waited));
        Ok(Timing {
            deadline,
            goal,
            is_retry: waited >= MIN_RETRY_WAIT,
        })
    }

    fn depth(&self, origin: &Origin) -> Result<Depth, Refusal> {
        let Origin::Nested(Some(parent)) = origin else {
            return Ok(Depth(0));
        };
        let depth = Depth(parent.context().depth.0.saturating_add(1));
        if depth > self.setting.limits.depth {
            return Err(Refusal::not_run(Reason::TooDeep).detail(format!("depth {depth}")));
        }
        Ok(depth)
    }
}

fn refused_by_rule(refuse: &rule::Refusal) -> Refusal {
    let status = StatusCode::from_u16(refuse.status).unwrap_or(StatusCode::FORBIDDEN);
    Refusal::not_run(Reason::Rule)
        .status(status)
        .detail(&refuse.reason)
}

/// The urgency of the request: that of its workspace's priority. Otherwise a nested call inherits that of
/// its enclosing call, so that an urgent look-up does not wait behind index searches one level down.
fn urgency(origin: &Origin, route: &Route, access: Access<'_>) -> Urgency {
    let workspace = access.workspace();
    match origin {
        Origin::Nested(Some(parent)) => workspace
            .and_then(|workspace| workspace.urgency)
            .unwrap_or(parent.context().urgency),
        _ => route.urgency_for(workspace),
    }
}

fn budget(origin: &Origin) -> Budget {
    match origin {
        Origin::Nested(Some(parent)) => Budget::Shared(parent.clone()),
        _ => Budget::Own(Allowance::fresh()),
    }
}
