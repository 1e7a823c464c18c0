//! The platform's HTTP, as [`store::http`] describes it.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use store::http::{ERA, text};
use store::{Condition, Consistency, Kind, MAX_VALUE, Step, check_key};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use unit::Version;

use crate::link::{Link, detached};
use crate::platform::Platform;

const LIST_PATH: &str = "/objects";
const OBJECT_PATH: &str = "/objects/";
const WATCH_PATH: &str = "/watch";

/// The pause after a failed accept, such as with too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running server; dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    task: JoinHandle<()>,
    lines: Arc<Lines>,
}

/// Which connections have gone silent.
#[derive(Debug, Default)]
struct Lines {
    opened: AtomicU64,
    silent_below: AtomicU64,
}

impl Handle {
    /// The address that the server listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Each connection that is open now is never answered again; new ones work.
    pub fn silence(&self) {
        let opened = self.lines.opened.load(Ordering::Relaxed);
        self.lines.silent_below.store(opened, Ordering::Relaxed);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves the platform at a listener; the client's name is its `User-Agent`.
///
/// # Errors
///
/// When the listener has no address.
pub fn serve(platform: Platform, listener: TcpListener) -> io::Result<Handle> {
    let address = listener.local_addr()?;
    let lines = Arc::new(Lines::default());
    let task = tokio::spawn(accept(platform, listener, lines.clone()));
    Ok(Handle {
        address,
        task,
        lines,
    })
}

async fn accept(platform: Platform, listener: TcpListener, lines: Arc<Lines>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                let number = lines.opened.fetch_add(1, Ordering::Relaxed);
                connections.spawn(connection(platform.clone(), stream, lines.clone(), number));
            }
            Err(error) => {
                log::warn!("standin: accept failed: {error}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(platform: Platform, stream: TcpStream, lines: Arc<Lines>, number: u64) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("standin: no delay could not be set: {error}.");
    }
    let service = service_fn(|request| async {
        let answer = answer(&platform, request).await;
        if number < lines.silent_below.load(Ordering::Relaxed) {
            std::future::pending::<Infallible>().await;
        }
        answer
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("standin: a connection ended: {error}.");
    }
}

/// Answers one request; an error closes the connection without an answer.
async fn answer(
    platform: &Platform,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, io::Error> {
    let (head, body) = request.into_parts();
    let limit = usize::try_from(MAX_VALUE.bytes()).unwrap_or(usize::MAX);
    let Ok(body) = Limited::new(body, limit).collect().await else {
        return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let link = platform.link(name(&head.headers));
    let era = link.era.clone();
    let path = head.uri.path();
    let query = Query(head.uri.query().unwrap_or_default());
    let result = if head.method == Method::GET && path == LIST_PATH {
        list(&link, query).await
    } else if head.method == Method::GET && path == WATCH_PATH {
        watch(&link, query).await
    } else {
        object(link, &head.method, path, &head.headers, body.to_bytes()).await
    };
    let mut response = result.or_else(failed)?;
    let era = era.lock().unwrap_or_else(|| platform.era());
    response.headers_mut().insert(ERA, era.0.into());
    Ok(response)
}

async fn list(link: &Link, query: Query<'_>) -> Result<Response<Full<Bytes>>, Kind> {
    let listing = link
        .list(query.prefix()?, Consistency::Linearizable)
        .await?;
    let body = text::listing(&listing);
    Ok(full(StatusCode::OK, Some(listing.revision), body))
}

async fn watch(link: &Link, query: Query<'_>) -> Result<Response<Full<Bytes>>, Kind> {
    let since = query.version("since")?;
    let wait = Duration::from_millis(query.number("wait_ms")?);
    let change = link.watch(query.prefix()?, since, wait).await?;
    let body = text::change(&change);
    Ok(full(StatusCode::OK, Some(change.revision), body))
}

async fn object(
    link: Link,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Response<Full<Bytes>>, Kind> {
    let Some(key) = path.strip_prefix(OBJECT_PATH) else {
        return Ok(empty(StatusCode::NOT_FOUND));
    };
    check_key(Step::Get, "", key).map_err(|error| error.kind)?;
    let key = key.to_string();
    let when = condition(headers)?;
    if *method == Method::GET {
        let Some(object) = link.get(&key, Consistency::Linearizable).await? else {
            return Ok(empty(StatusCode::NOT_FOUND));
        };
        return Ok(full(StatusCode::OK, Some(object.version), object.value));
    }
    if *method == Method::PUT {
        let version = detached(async move { link.put(&key, body, when).await }).await?;
        return Ok(full(StatusCode::OK, Some(version), Bytes::new()));
    }
    if *method == Method::DELETE {
        detached(async move { link.delete(&key, when).await }).await?;
        return Ok(empty(StatusCode::NO_CONTENT));
    }
    Ok(empty(StatusCode::METHOD_NOT_ALLOWED))
}

fn failed(kind: Kind) -> Result<Response<Full<Bytes>>, io::Error> {
    match kind {
        Kind::Conflict(current) => {
            let status = StatusCode::PRECONDITION_FAILED;
            Ok(full(status, current, Bytes::new()))
        }
        Kind::NotWritten(cause) if cause == "down" => Ok(empty(StatusCode::SERVICE_UNAVAILABLE)),
        Kind::NotWritten(_) | Kind::Budget(_) => Ok(empty(StatusCode::TOO_MANY_REQUESTS)),
        Kind::Compacted => Ok(empty(StatusCode::GONE)),
        Kind::TooLarge(..) => Ok(empty(StatusCode::PAYLOAD_TOO_LARGE)),
        Kind::Garbled(_) | Kind::Key(_) => Ok(empty(StatusCode::BAD_REQUEST)),
        Kind::Lost(cause) => Err(io::Error::other(cause)),
        former @ Kind::Former(..) => Err(io::Error::other(former.to_string())),
    }
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    full(status, None, Bytes::new())
}

fn full(status: StatusCode, version: Option<Version>, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let tag = version.and_then(|version| format!("\"{version}\"").parse().ok());
    if let Some(tag) = tag {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

fn name(headers: &HeaderMap) -> &str {
    let agent = headers.get(header::USER_AGENT);
    agent
        .and_then(|value| value.to_str().ok())
        .unwrap_or("client")
}

fn condition(headers: &HeaderMap) -> Result<Condition, Kind> {
    let bad = || Kind::Garbled("a condition that is no version".to_string());
    if let Some(value) = headers.get(header::IF_NONE_MATCH) {
        let star = value.as_bytes() == b"*";
        return star.then_some(Condition::Absent).ok_or_else(bad);
    }
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(Condition::Any);
    };
    let text = value.to_str().map_err(|_| bad())?;
    let digits = text.trim_matches('"');
    let version = digits.parse().map_err(|_| bad())?;
    Ok(Condition::Match(version))
}

/// The query of a URL; our keys need no escapes.
#[derive(Clone, Copy)]
struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    fn find(self, name: &str) -> Option<&'a str> {
        let mut pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    fn prefix(self) -> Result<&'a str, Kind> {
        let prefix = self.find("prefix").unwrap_or_default();
        check_key(Step::List, "", prefix).map_err(|error| error.kind)?;
        Ok(prefix)
    }

    fn version(self, name: &str) -> Result<Version, Kind> {
        let version = self.find(name).and_then(|text| text.parse().ok());
        version.ok_or_else(|| Kind::Garbled(format!("{name} is no version")))
    }

    fn number(self, name: &str) -> Result<u64, Kind> {
        let number = self.find(name).and_then(|text| text.parse().ok());
        number.ok_or_else(|| Kind::Garbled(format!("{name} is no number")))
    }
}
