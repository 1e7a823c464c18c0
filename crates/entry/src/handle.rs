//! From an HTTP request to its HTTP answer.

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

use crate::answer::{self, Hold};
use crate::intake::{Bound, Intake, REPLAYABLE};
use crate::job::{Budget, Head, Job};
use crate::once::{Once, claim_key};
use crate::tries::Tries;
use crate::{Body, Entry, Origin, Reason, Refusal};

/// A request on its way to a service, as its head says.
struct Routed<'a> {
    origin: &'a Origin,
    parts: &'a Parts,
    route: &'a Route,
    depth: Depth,
    clock: Clock,
}

/// A caller that has waited for so long has asked before.
const ASKED_BEFORE: Duration = Duration::from_millis(10);

/// By when a request has to be answered.
struct Clock {
    /// Its caller gets a final answer by then.
    deadline: Instant,
    /// The answer is worth little after this.
    goal: Option<Instant>,
    /// The caller was refused before, and asks again.
    again: bool,
}

/// A request with what the rules say of it.
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
        let (parts, body) = request.into_parts();
        let answered = self.serve(&origin, &parts, body, in_flight).await;
        let mut response = answered.unwrap_or_else(|refusal| self.refused(&parts, refusal));
        self.count_outcome(answer::outcome(&response));
        if self.is_closing() {
            // A request on a kept connection would else cross with its close, and its caller could
            // not tell whether it ran.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    fn refused(&self, parts: &Parts, refusal: Refusal) -> Response<Body> {
        let dialect = &self.setting.dialect;
        if !dialect.exact_retry {
            return refusal.response();
        }
        // A time that can't be read was refused for that.
        let left = dialect.time_left(&parts.headers).ok().flatten();
        refusal.fit(left.unwrap_or(Route::TIMEOUT)).response()
    }

    async fn serve(
        self: &Arc<Self>,
        origin: &Origin,
        parts: &Parts,
        body: Body,
        in_flight: crate::InFlight,
    ) -> Result<Response<Body>, Refusal> {
        // What runs here may still need its nested calls: a planned stop must not cut them off.
        let nested = matches!(origin, Origin::Nested(Some(_)));
        if self.is_leaving() && !nested {
            return Err(Refusal::not_run(Reason::Leaving).detail("this instance is leaving"));
        }
        let document = self.document()?;
        let matched = self.matched(&document, origin, parts)?;
        let route = match &matched.rule.then {
            Then::Route(route) => route,
            Then::Refuse(refuse) => return Err(ruled_out(refuse)),
        };
        let place = self.place(matched.rule, route, &matched.caller)?;
        let routed = Routed {
            origin,
            parts,
            route,
            depth: self.depth(origin)?,
            clock: self.clock(&matched.rule.name, origin, parts, route)?,
        };
        let pause = self.setting.limits.pause;
        let hold = Hold {
            _in_flight: in_flight,
            _place: place,
            pause,
        };
        let key = self.key(route, origin, parts, &matched)?;
        let (whole, size) = match key {
            Some(_) => (usize::MAX, self.setting.limits.once_body),
            None => (REPLAYABLE, self.setting.limits.body),
        };
        let bound = Bound {
            size,
            pause,
            until: routed.clock.deadline,
        };
        let mut intake = Intake::read(body, whole, bound).await?;
        let rule = matched.rule.name.clone();
        let service = self.deal(&rule, route);
        let mut job = self.job(&routed, service, matched.caller, &intake);
        job.class = Digest::of(rule.as_bytes()).0 as u32;
        if let Some(key) = key {
            let once = Once {
                job,
                key,
                body: intake.whole(),
                rule,
                hold,
            };
            return once.serve().await;
        }
        let answer = Tries::new(&mut job).run(&mut intake).await?;
        Ok(answer.response(Bytes::new(), hold))
    }

    fn job(
        self: &Arc<Self>,
        routed: &Routed<'_>,
        service: Service,
        caller: Caller,
        intake: &Intake,
    ) -> Job {
        let Routed {
            origin,
            parts,
            route,
            ..
        } = *routed;
        let mut head = Head::new(parts.method.clone(), &parts.uri, &parts.headers);
        if let Some(name) = &self.setting.dialect.origin {
            head.set(name, self.setting.service.as_str());
        }
        let id = self.setting.dialect.attempt(&parts.headers);
        Job {
            id: id.map_or("none".into(), |id| {
                String::from_utf8_lossy(id.as_bytes()).into()
            }),
            entry: self.clone(),
            upstream: self.upstream(&service),
            service,
            route: route.clone(),
            caller,
            urgency: urgency(origin, route),
            depth: routed.depth,
            deadline: routed.clock.deadline,
            goal: routed.clock.goal,
            again: routed.clock.again,
            class: 0,
            budget: budget(origin),
            kind: head.kind(intake.start()),
            head,
        }
    }

    /// The claim's key, if the rule says that the request may not be repeated.
    fn key(
        &self,
        route: &Route,
        origin: &Origin,
        parts: &Parts,
        matched: &Matched<'_>,
    ) -> Result<Option<Digest>, Refusal> {
        let Some(key) = &route.once else {
            return Ok(None);
        };
        let request = self.as_ruled(origin, parts, parts.uri.path(), &matched.caller);
        let found = key.find(&request);
        let found = found.map_err(|e| Refusal::not_run(Reason::Malformed).detail(e))?;
        let missing = || {
            let detail = format!("rule {:?} asks for a key in the {key}", matched.rule.name);
            Refusal::not_run(Reason::NoKey).detail(detail)
        };
        let text = found.ok_or_else(missing)?;
        Ok(Some(claim_key(&matched.caller, &route.service, &text)))
    }

    fn document(&self) -> Result<Arc<Document>, Refusal> {
        let none = || {
            Refusal::not_run(Reason::NoRule)
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .detail("no rules have come yet")
                .retry_after(std::time::Duration::from_secs(1))
        };
        (self.setting.rules)().ok_or_else(none)
    }

    fn matched<'a>(
        &self,
        document: &'a Document,
        origin: &Origin,
        parts: &Parts,
    ) -> Result<Matched<'a>, Refusal> {
        let path = match document.reads_raw_paths() {
            true => Cow::Borrowed(parts.uri.path()),
            false => {
                let path = rule::path::clean(parts.uri.path());
                let path = path.map_err(|e| Refusal::not_run(Reason::Malformed).detail(e))?;
                Cow::Owned(path)
            }
        };
        let caller = self.caller(document, origin, parts)?;
        let rule = document.decide(&self.as_ruled(origin, parts, &path, &caller));
        let rule =
            rule.ok_or_else(|| Refusal::not_run(Reason::NoRule).detail("no rule matches"))?;
        Ok(Matched { rule, caller })
    }

    /// The request as the rules see it.
    fn as_ruled<'a>(
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

    /// Who asks. A nested call is made for the caller at the top; one that its target makes of its
    /// own accord is the service's.
    fn caller(
        &self,
        document: &Document,
        origin: &Origin,
        parts: &Parts,
    ) -> Result<Caller, Refusal> {
        match origin {
            // Requests are known by the service where they begin.
            Origin::Outside(_) if self.setting.dialect.origin.is_some() => self.own_name(),
            Origin::Outside(peer) => Ok(document.caller(&parts.headers, *peer)),
            Origin::Nested(Some(parent)) => Ok(parent.context().caller.clone()),
            Origin::Nested(None) => self.own_name(),
        }
    }

    /// The own service as a caller.
    fn own_name(&self) -> Result<Caller, Refusal> {
        let caller = self.setting.service.as_str().parse();
        caller.map_err(|e| Refusal::not_run(Reason::Malformed).detail(e))
    }

    fn place(
        &self,
        rule: &Rule,
        route: &Route,
        caller: &Caller,
    ) -> Result<Option<pick::limit::Guard>, Refusal> {
        let Some(each) = route.per_caller else {
            return Ok(None);
        };
        let entered = self.places(&rule.name, each).enter(caller);
        let refused = |e| {
            Refusal::not_run(Reason::CallerLimit)
                .detail(e)
                .retry_after(std::time::Duration::from_secs(1))
        };
        entered.map(Some).map_err(refused)
    }

    /// By when the request has to be answered: within the rule's timeout, what the caller says it
    /// has left, and the deadline of the call above.
    ///
    /// The goal counts from the caller's first try. A nested call has none: the run that waits for
    /// it is wasted if the call is given up.
    fn clock(
        &self,
        rule: &str,
        origin: &Origin,
        parts: &Parts,
        route: &Route,
    ) -> Result<Clock, Refusal> {
        let left = self.setting.dialect.time_left(&parts.headers);
        let left = left.map_err(|_| {
            Refusal::not_run(Reason::Malformed).detail("the time left is no number of milliseconds")
        })?;
        let now = Instant::now();
        let mut deadline = now + left.unwrap_or(route.timeout).min(route.timeout);
        if let Origin::Nested(Some(parent)) = origin {
            deadline = deadline.min(parent.context().deadline);
        }
        let waited = left.map_or(Duration::ZERO, |left| self.waited(rule, left));
        let outside = matches!(origin, Origin::Outside(_));
        let objective = route.objective.filter(|_| outside);
        let goal = objective.map(|objective| now + objective.saturating_sub(waited));
        Ok(Clock {
            deadline,
            goal,
            again: waited >= ASKED_BEFORE,
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

fn ruled_out(refuse: &rule::Refuse) -> Refusal {
    let status = StatusCode::from_u16(refuse.status).unwrap_or(StatusCode::FORBIDDEN);
    Refusal::not_run(Reason::Rule)
        .status(status)
        .detail(&refuse.reason)
}

/// A nested call is as urgent as the call that it serves: a court clerk's look-up must not wait
/// behind index searches one level down.
fn urgency(origin: &Origin, route: &Route) -> Urgency {
    match origin {
        Origin::Nested(Some(parent)) => parent.context().urgency,
        _ => route.urgency,
    }
}

fn budget(origin: &Origin) -> Budget {
    match origin {
        Origin::Nested(Some(parent)) => Budget::Shared(parent.clone()),
        _ => Budget::Own(Allowance::fresh()),
    }
}
