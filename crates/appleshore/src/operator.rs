//! The operator's port: metrics, dumps, drain.

use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;

use entry::{Body, claim_key};
use gotham::handler::HandlerFuture;
use gotham::helpers::http::response::create_response;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{FromState, State as Request, StateData};
use http::{Method, Response, StatusCode};
use serde::Deserialize;
use unit::Digest;

use crate::dump::Part;
use crate::state::State;

type Handler = fn(&Arc<State>, &Request) -> Response<Body>;

/// Which key an operator asks after.
#[derive(Deserialize, StateData, StaticResponseExtender)]
struct Key {
    caller: String,
    service: String,
    key: String,
}

/// The routes of the operator's port.
pub(crate) fn router(state: Arc<State>) -> Router {
    build_simple_router(|route| {
        let routes: [(Method, &str, Handler); 3] = [
            (Method::GET, "/metrics", metrics),
            (Method::GET, "/dump", dump_all),
            (Method::POST, "/drain", drain),
        ];
        for (method, path, handler) in routes {
            let state = AssertUnwindSafe(state.clone());
            route
                .request(vec![method], path)
                .to_new_handler(handler_of(state, handler));
        }
        let claims = AssertUnwindSafe(state.clone());
        route
            .get("/claim")
            .with_query_string_extractor::<Key>()
            .to_new_handler(move || {
                let state = claims.clone();
                Ok(move |request: Request| claim(state, request))
            });
        for part in Part::ALL {
            let state = AssertUnwindSafe(state.clone());
            let path = format!("/dump/{part}");
            route
                .request(vec![Method::GET], &path)
                .to_new_handler(move || {
                    let state = state.clone();
                    Ok(move |request: Request| answer(request, move |r| dump(&state, r, part)))
                });
        }
    })
}

fn handler_of(
    state: AssertUnwindSafe<Arc<State>>,
    handler: Handler,
) -> impl gotham::handler::NewHandler {
    move || {
        let state = state.clone();
        Ok(move |request: Request| answer(request, move |r| handler(&state, r)))
    }
}

fn answer(
    request: Request,
    make: impl FnOnce(&Request) -> Response<Body> + Send + 'static,
) -> Pin<Box<HandlerFuture>> {
    let response = make(&request);
    Box::pin(std::future::ready(Ok((request, response))))
}

fn metrics(state: &Arc<State>, request: &Request) -> Response<Body> {
    let text = crate::metric::text(state).unwrap_or_default();
    let mime = "application/openmetrics-text; version=1.0.0; charset=utf-8".parse();
    create_response(
        request,
        StatusCode::OK,
        mime.unwrap_or(mime::TEXT_PLAIN),
        text,
    )
}

fn dump_all(state: &Arc<State>, request: &Request) -> Response<Body> {
    let parts: Vec<_> = Part::ALL.into_iter().map(|part| state.dump(part)).collect();
    json(request, &parts)
}

fn dump(state: &Arc<State>, request: &Request, part: Part) -> Response<Body> {
    json(request, &state.dump(part))
}

fn drain(state: &Arc<State>, request: &Request) -> Response<Body> {
    state.drain.cancel();
    create_response(
        request,
        StatusCode::ACCEPTED,
        mime::TEXT_PLAIN,
        "drain begins\n",
    )
}

fn claim(state: Arc<State>, mut request: Request) -> Pin<Box<HandlerFuture>> {
    let key = Key::take_from(&mut request);
    Box::pin(async move {
        let response = match key.digest() {
            Ok(digest) => match state.desk.find(digest).await {
                Ok(Some(record)) => json(&request, &record),
                Ok(None) => failed(&request, StatusCode::NOT_FOUND, "no claim on record"),
                Err(cause) => failed(&request, StatusCode::SERVICE_UNAVAILABLE, &cause),
            },
            Err(cause) => failed(&request, StatusCode::BAD_REQUEST, &cause.to_string()),
        };
        Ok((request, response))
    })
}

fn failed(request: &Request, status: StatusCode, cause: &str) -> Response<Body> {
    let json = serde_json::json!({ "error": cause }).to_string();
    create_response(request, status, mime::APPLICATION_JSON, json)
}

impl Key {
    fn digest(&self) -> Result<Digest, unit::Error> {
        Ok(claim_key(
            &self.caller.parse()?,
            &self.service.parse()?,
            &self.key,
        ))
    }
}

fn json<T: serde::Serialize>(request: &Request, value: &T) -> Response<Body> {
    match serde_json::to_vec_pretty(value) {
        Ok(json) => create_response(request, StatusCode::OK, mime::APPLICATION_JSON, json),
        Err(error) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            create_response(request, status, mime::TEXT_PLAIN, format!("{error}\n"))
        }
    }
}
