//! One instance of the platform and the connections to it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;

/// Bytes of an answer that we are ready to read: a list of many objects.
const MAX_ANSWER: usize = 64_000_000;

/// Silence after which a connection is probed, the time between two probes, and how many may stay
/// unanswered.
const KEEPALIVE: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

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

    /// Sends a request and reads its whole answer, both within `limit`.
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
        match tokio::time::timeout(limit, exchange(pool, request)).await {
            Ok(result) => result,
            Err(_) => {
                *self.pool.lock() = self::pool(self.connect, self.idle);
                let cause = format!("no answer within {} ms", limit.as_millis());
                Err(Failure::Cut(cause))
            }
        }
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

async fn exchange(pool: Pool, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, Failure> {
    let response = pool.request(request).await.map_err(|error| {
        let cause = chain(&error);
        if error.is_connect() {
            Failure::Unsent(cause)
        } else {
            Failure::Cut(cause)
        }
    })?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER).collect().await;
    let body = body.map_err(|error| Failure::Cut(error.to_string()))?;
    Ok(Response::from_parts(parts, body.to_bytes()))
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
