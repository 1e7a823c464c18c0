//! The two HTTP ports of an entry, as gotham routers.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;

use dialect::Dialect;
use entry::{Body, ConnectionLimits, Entry, Origin, Port};
use futures_util::FutureExt;
use gotham::handler::HandlerFuture;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::state::{FromState, State, client_addr};
use http::{HeaderMap, Method, Request, Uri};
use nest::{Parent, Table};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Serves callers and the own target on one port. A call of the target is known by its name, which
/// shows that of the running request that it serves.
pub(crate) fn shared(
    entry: Arc<Entry>,
    nests: Table,
    dialect: Dialect,
    limits: impl Fn() -> ConnectionLimits + Send + Sync + 'static,
    clients: clients::Table,
    stop: CancellationToken,
) -> Port {
    let handler = move |peer: SocketAddr, request: Request<Body>| {
        let entry = entry.clone();
        let parent = dialect.parent(request.headers());
        let nest = parent.and_then(|parent| nests.find_named(parent.as_bytes()));
        let Some(nest) = nest else {
            let origin = Origin::Outside(peer.ip());
            return async move { entry.handle(origin, request).await }.boxed();
        };
        async move {
            let began = Instant::now();
            let response = entry
                .handle(Origin::Nested(Some(nest.clone())), request)
                .await;
            nest.add_nested_time(began.elapsed());
            response
        }
        .boxed()
    };
    Port {
        handler: Arc::new(handler),
        limits: Arc::new(limits),
        clients,
        stop,
    }
}

/// Tells where a request comes from.
type Whence = Arc<dyn Fn(&State) -> Origin + Send + Sync>;

/// The callers' port. What a caller says of itself in our own headers is dropped on the way.
pub(crate) fn callers(entry: Arc<Entry>) -> Router {
    router(entry, Arc::new(outside))
}

/// The outbound port, where this instance's own target makes its nested calls.
pub(crate) fn outbound(entry: Arc<Entry>, nests: Table) -> Router {
    router(
        entry,
        Arc::new(move |state| Origin::Nested(nest(state, &nests))),
    )
}

fn outside(state: &State) -> Origin {
    // A connection always has a peer; the unspecified address would only name a nameless caller.
    let peer = client_addr(state).map(|peer| peer.ip());
    Origin::Outside(peer.unwrap_or(std::net::Ipv4Addr::UNSPECIFIED.into()))
}

fn nest(state: &State, nests: &Table) -> Option<Parent> {
    let headers = HeaderMap::try_borrow_from(state)?;
    let token = headers.get(nest::HEADER)?.to_str().ok()?;
    nests.find(token.parse().ok()?)
}

fn router(entry: Arc<Entry>, whence: Whence) -> Router {
    let shared = Shared { entry, whence };
    build_simple_router(|route| {
        for path in ["/", "/*"] {
            let shared = AssertUnwindSafe(shared.clone());
            let handler = move || {
                let shared = shared.clone();
                Ok(move |state| answer(shared, state))
            };
            route.request(methods(), path).to_new_handler(handler);
        }
    })
}

#[derive(Clone)]
struct Shared {
    entry: Arc<Entry>,
    whence: Whence,
}

fn methods() -> Vec<Method> {
    vec![
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
        Method::OPTIONS,
    ]
}

fn answer(shared: Shared, mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let Shared { entry, whence } = &shared;
        let origin = whence(&state);
        let mut request = Request::new(Body::take_from(&mut state));
        *request.method_mut() = Method::take_from(&mut state);
        *request.uri_mut() = Uri::take_from(&mut state);
        *request.headers_mut() = HeaderMap::take_from(&mut state);
        let response = entry.handle(origin, request).await;
        Ok((state, response))
    })
}
