//! One instance of the platform and the connections to it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use timer::timeout;

/// Bytes of an answer that we are ready to read: a list of many objects.
const MAX_ANSWER: usize = 64_000_000;

/// Silence after which a connection is probed, the time between two probes, and how many may stay
/// unanswered.
const KEEPALIVE: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// How long the next part of a body may take.
const PART: Duration = Duration::from_secs(1);

/// How long an answer may take from the end of the time for its head to its last byte.
const LONGEST: Duration = Duration::from_secs(10);

/// Idle connections that we keep for one peer.
const MAX_IDLE: usize = 4;

type Pool = Client<HttpConnector, Full<Bytes>>;

/// One instance of the platform, with the connections to it that are kept.
pub struct Peer {
    pub(crate) address: SocketAddr,
    connect: Duration,
    idle: Duration,
    pool: Mutex<Pool>,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about, so nothing was sent.
    Unsent(String),
    /// Something may have been sent.
    Cut(String),
}

impl Peer {
    /// A peer at `address`; `connect` is how long a connection may take to come about, `idle` how long
    /// an unused one is kept.
    pub fn new(address: SocketAddr, connect: Duration, idle: Duration) -> Peer {
        let pool = Mutex::new(pool(connect, idle));
        Peer {
            address,
            connect,
            idle,
            pool,
        }
    }

    /// Sends a request and reads its whole answer.
    ///
    /// The head has to come within `limit`, and each further part of the body within a second: how
    /// long the whole may take depends on its length and on the link.
    ///
    /// A connection can go silent for good while new ones work. The symptom is that every call on
    /// it times out. We then drop the whole pool of this peer, since its idle connections may have
    /// gone silent with it: the next call opens a new connection. Calls that are on their way keep
    /// theirs until their own time is up.
    ///
    /// # Errors
    ///
    /// The [`Failure`] tells whether anything may have been sent.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let pool = self.pool.lock().clone();
        let whole = timeout(limit + LONGEST, exchange(pool, request, limit)).await;
        let cause = match whole {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(Ended::Failed(failure))) => return Err(failure),
            Ok(Err(Ended::Silent(within))) => {
                format!("no answer within {} ms", within.as_millis())
            }
            Err(_) => format!("no whole answer within {} ms", LONGEST.as_millis()),
        };
        *self.pool.lock() = self::pool(self.connect, self.idle);
        Err(Failure::Cut(cause))
    }
}

fn pool(connect: Duration, idle: Duration) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect));
    // A watch waits for long in silence. The system's own probes tell a connection that has gone
    // silent for good within some seconds, and cost no call.
    connector.set_keepalive(Some(KEEPALIVE));
    connector.set_keepalive_interval(Some(KEEPALIVE));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle)
        .pool_max_idle_per_host(MAX_IDLE)
        .build(connector)
}

/// Why an exchange has ended without an answer.
enum Ended {
    Failed(Failure),
    /// Nothing has come for this time.
    Silent(Duration),
}

/// One exchange, whose head comes within `limit`.
async fn exchange(
    pool: Pool,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response<Bytes>, Ended> {
    let head = timeout(limit, pool.request(request)).await;
    let head = head.map_err(|_| Ended::Silent(limit))?;
    let response = head.map_err(|error| Ended::Failed(failure(&error)))?;
    let (parts, body) = response.into_parts();
    let mut body = Limited::new(body, MAX_ANSWER);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(PART, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Ended::Silent(PART))? else {
            return Ok(Response::from_parts(parts, bytes.freeze()));
        };
        let frame = frame.map_err(|error| Ended::Failed(Failure::Cut(error.to_string())))?;
        // Trailers say nothing that is used.
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}

fn failure(error: &hyper_util::client::legacy::Error) -> Failure {
    let cause = chain(error);
    if error.is_connect() {
        Failure::Unsent(cause)
    } else {
        Failure::Cut(cause)
    }
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text = format!("{text}: {error}");
        source = error.source();
    }
    text
}
