//! An HTTP server with graceful shutdown, around a gotham handler.
//!
//! gotham's own server never returns. This one accepts the connections itself and calls gotham's
//! handler under hyper-util's graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use clients::{Client, Table, Wait};
use gotham::handler::NewHandler;
use gotham::service::call_handler;
use gotham::state::State;
use http::{Request, Response, StatusCode, header};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use unit::Size;

use crate::answer::OUTCOME;
use crate::{Body, Reason, Refusal};

/// The limits of one listening address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest size of a request's head.
    pub head: Size,
    /// Longest time that a head may take to arrive. The time starts anew for each request of a
    /// connection, so an idle connection is closed after this time as well.
    pub head_timeout: Duration,
    /// Most concurrent connections. A further one takes the place of the one that has waited longest for
    /// its client.
    pub connections: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head: Size::of(64_000),
            head_timeout: Duration::from_secs(10),
            connections: 64,
        }
    }
}

/// Size of hyper's buffer beyond the largest head. hyper limits only its buffer, not strictly the
/// head, and its own answer has no outcome header. So the head is checked here, and hyper's limit
/// only stops heads that never end. hyper needs a buffer of at least 8 KB.
const EXTRA_BUFFER_BYTES: usize = 64 << 10;

/// What the buffers of one connection may take.
const CONNECTION_BYTES: u64 = 256 << 10;

/// Bytes of a head line besides its name and value: `": "` and the line end.
const LINE_OVERHEAD_BYTES: usize = 4;

/// Delay after a failed accept, which usually means that the file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves `handler` on `listener` until `stop` is cancelled and the requests in flight have ended.
pub async fn serve<H>(listener: TcpListener, handler: H, limits: Limits, stop: CancellationToken)
where
    H: NewHandler + 'static,
{
    let handler = Arc::new(handler);
    let graceful = GracefulShutdown::new();
    let clients = Table::new(clients::Limits {
        memory: Size::of(u64::from(limits.connections) * CONNECTION_BYTES),
        connections: limits.connections,
    });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                if let Some(client) = clients.connect().await {
                    let client = Arc::new(client);
                    let connection = Connection {
                        stream,
                        peer,
                        client,
                    };
                    connect(connection, &handler, limits, &graceful);
                }
            }
            Err(error) => pause_after_accept_error(&error).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    client: Arc<Client>,
}

/// Logs a failed accept, and waits before the next one.
pub(crate) async fn pause_after_accept_error(error: &io::Error) {
    log::warn!("entry: accept failed: {error}.");
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}

fn connect<H>(connection: Connection, handler: &Arc<H>, limits: Limits, graceful: &GracefulShutdown)
where
    H: NewHandler + 'static,
{
    let Connection {
        stream,
        peer,
        client,
    } = connection;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("entry: connection of {peer}: {error}.");
    }
    let handler = handler.clone();
    let serving = client.clone();
    let service = service_fn(move |request| {
        let (handler, client) = (handler.clone(), serving.clone());
        async move {
            client.update(0, Wait::Nothing);
            let answer = answer(handler, request, peer, limits.head).await;
            client.update(0, Wait::Output);
            answer
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(timer::Timer);
    builder.header_read_timeout(limits.head_timeout);
    builder.max_buf_size(limits.head.bytes() as usize + EXTRA_BUFFER_BYTES);
    let served = graceful.watch(builder.serve_connection(TokioIo::new(stream), service));
    tokio::spawn(async move {
        let ended = tokio::select! {
            ended = served => ended.map_err(|error| error.to_string()),
            () = client.closed() => Err("others need room".to_string()),
        };
        if let Err(error) = ended {
            log::debug!("entry: connection of {peer} ended: {error}.");
        }
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
    if head_size(&request) > head {
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

fn head_size(request: &Request<Incoming>) -> Size {
    let first = request.method().as_str().len() + request.uri().path().len() + LINE_OVERHEAD_BYTES;
    let query = request.uri().query().map_or(0, str::len);
    let headers = request.headers().iter();
    let lines =
        headers.map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD_BYTES);
    Size::of((first + query + lines.sum::<usize>()) as u64)
}

/// Adds a body and the outcome header to an answer that lacks them. The router answers unknown
/// routes and a handler's panic with a bare status, but callers need the outcome of every request.
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
