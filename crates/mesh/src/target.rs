//! A target that does what a request's path says.
//!
//! | path | what it does |
//! |---|---|
//! | `/echo/…` | answers with the path and the body |
//! | `/sleep/MS/…` | answers as `/echo`, after so many milliseconds |
//! | `/hold/…` | answers as `/echo`, once [`Target::release`] has been called |
//! | `/stream/N/MS/…` | answers N pieces, one in each MS milliseconds |
//! | `/cut/…` | breaks off in the middle of its answer |
//! | `/die/…` | closes the connection without an answer |
//! | `/crash/…` | closes all connections, as a process that dies and is restarted at once |
//! | `/status/CODE/…` | answers with that status |
//! | `/big/BYTES/…` | answers so many bytes |
//! | `/nest/PATH…` | calls PATH over the outbound port and passes the answer on |
//! | `/later/MS/PATH…` | as `/nest`, after so many milliseconds |
//! | `/order/…` | as `/echo`, for requests that must run once |

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::{Client, Log};

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The header that nested calls copy on.
const NEST: &str = "x-appleshore-call";

/// How often a target tries to bind its address, and the pause between.
const MAX_BINDS: u32 = 200;
const BIND_PAUSE: Duration = Duration::from_millis(5);

/// A running target.
pub struct Target {
    state: Arc<State>,
    task: tokio::task::JoinHandle<()>,
}

struct State {
    name: String,
    outbound: SocketAddr,
    client: Client,
    runs: AtomicU64,
    paths: Mutex<BTreeMap<String, u64>>,
    whole: Mutex<BTreeMap<String, u64>>,
    log: Log,
    running: AtomicU64,
    most: AtomicU64,
    crash: Notify,
    release: watch::Sender<bool>,
    notices: Mutex<Notices>,
}

/// What all answers of a target say of it.
#[derive(Debug, Clone, Copy, Default)]
struct Notices {
    max_rate: Option<f64>,
    leaving: bool,
}

impl Target {
    /// Starts a target at `address`, which makes its nested calls at `outbound`.
    pub async fn start(name: &str, address: SocketAddr, outbound: SocketAddr) -> Target {
        let listener = bind(address).await;
        let state = Arc::new(State {
            name: name.to_string(),
            outbound,
            client: Client::default(),
            runs: AtomicU64::new(0),
            paths: Mutex::default(),
            whole: Mutex::default(),
            log: Log::default(),
            running: AtomicU64::new(0),
            most: AtomicU64::new(0),
            crash: Notify::new(),
            release: watch::Sender::new(false),
            notices: Mutex::default(),
        });
        let task = tokio::spawn(accept(listener, state.clone()));
        Target { state, task }
    }

    /// Requests that it has begun to run.
    pub fn runs(&self) -> u64 {
        self.state.runs.load(Ordering::SeqCst)
    }

    /// How often each path was run.
    pub fn paths(&self) -> BTreeMap<String, u64> {
        self.state.paths.lock().clone()
    }

    /// Each request in the order in which it began; the log outlives its target.
    pub fn log(&self) -> Log {
        self.state.log.clone()
    }

    /// Lets the requests to `/hold/…` be answered, those that are still to come too.
    pub fn release(&self) {
        self.state.release.send_replace(true);
    }

    /// How often `path` came with a body that was whole.
    pub fn whole_of(&self, path: &str) -> u64 {
        self.state.whole.lock().get(path).copied().unwrap_or(0)
    }

    /// Requests that run now.
    pub fn running(&self) -> u64 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// The most requests that ran at once.
    pub fn most(&self) -> u64 {
        self.state.most.load(Ordering::SeqCst)
    }

    /// Limits the requests per second in all answers from now on, or ends the limit.
    pub fn set_max_rate(&self, max_rate: Option<f64>) {
        self.state.notices.lock().max_rate = max_rate;
        self.state.log.set_max_rate(max_rate);
    }

    /// Says in all answers from now on that it leaves.
    pub fn leave(&self) {
        self.state.notices.lock().leaving = true;
    }

    /// Closes the listener and all connections at once.
    pub async fn kill(self) {
        self.task.abort();
        // The abort is the only error that can come.
        drop(self.task.await);
    }
}

/// Binds an address that a former target may have used until now. A process that is just being started
/// holds copies of all sockets of this one for a moment.
async fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..MAX_BINDS {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => sleep(BIND_PAUSE).await,
            bound => return bound.expect("the address can be bound"),
        }
    }
    panic!("{address} is not free");
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    // The set aborts the connections when this task is aborted.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.crash.notified() => {
                connections.shutdown().await;
                continue;
            }
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        drop(stream.set_nodelay(true));
        while connections.try_join_next().is_some() {}
        let state = state.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| serve(state.clone(), request));
            // A connection that breaks off is the business of the test that broke it.
            drop(
                http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await,
            );
        });
    }
}

struct Count<'a>(&'a State);

impl<'a> Count<'a> {
    fn enter(state: &'a State) -> Count<'a> {
        let running = state.running.fetch_add(1, Ordering::SeqCst) + 1;
        state.most.fetch_max(running, Ordering::SeqCst);
        Count(state)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn serve(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let place = state.log.add(request.uri().path(), request.headers());
    let mut response = run(&state, request).await?;
    let notices = *state.notices.lock();
    state.log.answer(place, notices.max_rate, notices.leaving);
    let headers = response.headers_mut();
    if let Some(rate) = notices.max_rate {
        headers.insert(dialect::MAX_RATE, HeaderValue::from(rate.round() as u64));
    }
    if notices.leaving {
        headers.insert(dialect::LEAVING, HeaderValue::from_static("1"));
    }
    Ok(response)
}

async fn run(state: &Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let path = request.uri().path().to_string();
    state.runs.fetch_add(1, Ordering::SeqCst);
    *state.paths.lock().entry(path.clone()).or_default() += 1;
    let _count = Count::enter(state);
    let nest = request
        .headers()
        .get(NEST)
        .and_then(|value| value.to_str().ok());
    let nest = nest.unwrap_or_default().to_string();
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    *state.whole.lock().entry(path.clone()).or_default() += 1;
    let parts: Vec<&str> = path.split('/').collect();
    match parts.as_slice() {
        ["", "sleep", ms, ..] => {
            sleep(millis(ms)).await;
            Ok(echo(&path, &body))
        }
        ["", "hold", ..] => {
            let released = state
                .release
                .subscribe()
                .wait_for(|released| *released)
                .await
                .is_ok();
            debug_assert!(released, "the state holds the sender");
            Ok(echo(&path, &body))
        }
        ["", "stream", count, ms, ..] => Ok(pieces(number(count), millis(ms), None)),
        ["", "cut", ..] => Ok(pieces(4, Duration::from_millis(1), Some(2))),
        ["", "crash", ..] => {
            state.crash.notify_one();
            std::future::pending().await
        }
        ["", "die", ..] => Err(io::ErrorKind::ConnectionReset.into()),
        ["", "status", code, ..] => Ok(status(number(code) as u16, &path, &body)),
        ["", "big", bytes, ..] => Ok(answer(Bytes::from(vec![b'x'; number(bytes)]))),
        ["", "nest", ..] => Ok(nested(state, &path["/nest".len()..], &nest).await),
        ["", "later", ms, rest @ ..] => {
            sleep(millis(ms)).await;
            let below = format!("/{}", rest.join("/"));
            Ok(nested(state, &below, &nest).await)
        }
        ["", "who", ..] => Ok(answer(state.name.clone().into())),
        _ => Ok(echo(&path, &body)),
    }
}

fn number(text: &str) -> usize {
    text.parse().unwrap_or(0)
}

fn millis(text: &str) -> Duration {
    Duration::from_millis(number(text) as u64)
}

fn answer(body: Bytes) -> Response<Body> {
    Response::new(
        Full::new(body)
            .map_err(|never| match never {})
            .boxed_unsync(),
    )
}

fn echo(path: &str, body: &Bytes) -> Response<Body> {
    let text = format!("{path} {}", String::from_utf8_lossy(body));
    answer(text.into())
}

fn status(code: u16, path: &str, body: &Bytes) -> Response<Body> {
    let mut response = echo(path, body);
    *response.status_mut() = StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_REQUEST);
    response
}

/// So many pieces with a pause before each; broken off before piece `cut`, if there is one.
fn pieces(count: usize, pause: Duration, cut: Option<usize>) -> Response<Body> {
    let pieces = stream::unfold(0, move |at| async move {
        if at == count {
            return None;
        }
        sleep(pause).await;
        if cut == Some(at) {
            return Some((Err(io::ErrorKind::ConnectionReset.into()), count));
        }
        let piece = Bytes::from(format!("piece {at}\n"));
        Some((Ok(Frame::data(piece)), at + 1))
    });
    Response::new(StreamBody::new(pieces).boxed_unsync())
}

async fn nested(state: &State, path: &str, nest: &str) -> Response<Body> {
    let headers = [(NEST, nest)];
    let below = state
        .client
        .send(state.outbound, Method::GET, path, &headers, "")
        .await;
    let code = if below.status == 0 { 502 } else { below.status };
    status(code, path, &below.body)
}
