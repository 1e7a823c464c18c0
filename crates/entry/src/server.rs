//! An accept loop for HTTP that stops gracefully, around a gotham handler.
//!
//! gotham's own server never returns. So we accept, and let gotham's handler answer under
//! hyper-util's graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::NewHandler;
use gotham::service::call_handler;
use gotham::state::State;
use http::{Request, Response, StatusCode, header};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use unit::Size;

use crate::answer::OUTCOME;
use crate::{Body, Reason, Refusal};

/// The bounds of one listening address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// Most bytes of a request's head.
    pub head: Size,
    /// Longest time that a head may take to come, counted anew for each request of a connection;
    /// so an idle connection is closed after it as well.
    pub head_timeout: Duration,
    /// Most connections at once; one more is closed at once.
    pub connections: u32,
}

impl Default for Bound {
    fn default() -> Bound {
        Bound {
            head: Size::of(64_000),
            head_timeout: Duration::from_secs(10),
            connections: 4_096,
        }
    }
}

/// What hyper may buffer beyond the longest head. hyper's own bound is that of its buffer and not
/// strict, and its answer says no outcome; so we check the head ourselves, and hyper's bound stands
/// behind ours for heads without end. hyper needs at least 8 KB.
const BEYOND_HEAD: usize = 64 << 10;

/// Bytes of a head beside its names and values: `": "` and the end of the line.
const LINE: usize = 4;

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Serves `handler` on `listener` until `stop`, then until the requests under way have ended.
pub async fn serve<H>(listener: TcpListener, handler: H, bound: Bound, stop: CancellationToken)
where
    H: NewHandler + 'static,
{
    let handler = Arc::new(handler);
    let graceful = GracefulShutdown::new();
    let room = Arc::new(Semaphore::new(bound.connections as usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                if let Ok(place) = room.clone().try_acquire_owned() {
                    connect(
                        Connection {
                            stream,
                            peer,
                            place,
                        },
                        &handler,
                        bound,
                        &graceful,
                    );
                }
            }
            Err(error) => refused(&error).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    place: OwnedSemaphorePermit,
}

/// Says that no connection could be accepted, and waits before the next one is.
pub(crate) async fn refused(error: &io::Error) {
    log::warn!("entry: no connection accepted: {error}.");
    tokio::time::sleep(ACCEPT_AGAIN).await;
}

fn connect<H>(connection: Connection, handler: &Arc<H>, bound: Bound, graceful: &GracefulShutdown)
where
    H: NewHandler + 'static,
{
    let Connection {
        stream,
        peer,
        place,
    } = connection;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("entry: connection of {peer}: {error}.");
    }
    let handler = handler.clone();
    let service = service_fn(move |request| answer(handler.clone(), request, peer, bound.head));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.header_read_timeout(bound.head_timeout);
    builder.max_buf_size(bound.head.bytes() as usize + BEYOND_HEAD);
    let served = graceful.watch(builder.serve_connection(TokioIo::new(stream), service));
    tokio::spawn(async move {
        if let Err(error) = served.await {
            log::debug!("entry: connection of {peer} ended: {error}.");
        }
        drop(place);
    });
}

async fn answer<H>(
    handler: Arc<H>,
    request: Request<Incoming>,
    peer: SocketAddr,
    head: Size,
) -> io::Result<Response<Body>>
where
    H: NewHandler + 'static,
{
    if size(&request) > head {
        let refusal = Refusal::not_run(Reason::TooLarge)
            .status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
            .detail(format!("the head is larger than {head}"));
        return Ok(refusal.response());
    }
    let state = State::from_request(request, peer);
    let answer = call_handler(handler, AssertUnwindSafe(state)).await;
    let answer = answer.map_err(|error| io::Error::other(error.to_string()))?;
    Ok(with_outcome(answer))
}

fn size(request: &Request<Incoming>) -> Size {
    let first = request.method().as_str().len() + request.uri().path().len() + LINE;
    let query = request.uri().query().map_or(0, str::len);
    let headers = request.headers().iter();
    let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + LINE);
    Size::of((first + query + lines.sum::<usize>()) as u64)
}

/// The router answers what it has no route for by a bare status, and a handler's panic as well.
/// A caller must still be told what became of its request.
fn with_outcome(answer: Response<Body>) -> Response<Body> {
    let status = answer.status();
    let bare = answer.body().is_end_stream() && !answer.headers().contains_key(OUTCOME);
    let refusal = if bare && status.is_client_error() {
        Refusal::not_run(Reason::Malformed).detail("no such method or path is served")
    } else if bare && status.is_server_error() {
        Refusal::unknown(Reason::Lost).detail("the request failed inside this instance")
    } else {
        return answer;
    };
    let mut response = refusal.status(status).response();
    if let Some(allow) = answer.headers().get(header::ALLOW) {
        response.headers_mut().insert(header::ALLOW, allow.clone());
    }
    response
}
