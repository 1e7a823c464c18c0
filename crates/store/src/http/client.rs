//! The client: which peer to ask, how long to wait, and when to ask the next one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::request::Builder as Head;
use http::{Method, Request, Response, header};
use http_body_util::Full;
use unit::Version;

use super::peer::{Failure, Peer};
use super::{answer, text};
use crate::{Calls, Change, Condition, Eras, Error, Kind, Listing, Object, Step, Store};

const TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT: Duration = Duration::from_millis(300);
const IDLE: Duration = Duration::from_secs(30);

/// Speaks HTTP with the platform; open it with [`Client::builder`].
pub struct Client {
    peers: Vec<Peer>,
    turn: AtomicUsize,
    timeout: Duration,
    agent: String,
    eras: Eras,
}

/// The settings of a [`Client`].
#[derive(Debug, Clone)]
pub struct Builder {
    peers: Vec<SocketAddr>,
    timeout: Duration,
    connect: Duration,
    idle: Duration,
    agent: String,
}

impl Client {
    /// A builder with a time-out of one second and no peer.
    pub fn builder() -> Builder {
        Builder {
            peers: Vec::new(),
            timeout: TIMEOUT,
            connect: CONNECT,
            idle: IDLE,
            agent: "appleshore".to_string(),
        }
    }
}

impl Builder {
    /// Adds one instance of the platform.
    pub fn peer(mut self, address: SocketAddr) -> Builder {
        self.peers.push(address);
        self
    }

    /// Adds several instances of the platform.
    pub fn peers(mut self, addresses: &[SocketAddr]) -> Builder {
        self.peers.extend_from_slice(addresses);
        self
    }

    /// How long one call may take; a watch has this on top of its wait.
    pub fn timeout(mut self, timeout: Duration) -> Builder {
        self.timeout = timeout;
        self
    }

    /// How long a connection may take to come about.
    pub fn connect(mut self, connect: Duration) -> Builder {
        self.connect = connect;
        self
    }

    /// How long an unused connection is kept.
    pub fn idle(mut self, idle: Duration) -> Builder {
        self.idle = idle;
        self
    }

    /// The name that the platform sees as `User-Agent`.
    pub fn agent(mut self, agent: &str) -> Builder {
        self.agent = agent.to_string();
        self
    }

    /// Opens a store; connections come about with the first calls.
    ///
    /// A store without a peer fails every call as not done.
    pub fn open(self) -> Store {
        let peers = self.peers.iter();
        let peers = peers.map(|address| Peer::new(*address, self.connect, self.idle));
        let client = Arc::new(Client {
            peers: peers.collect(),
            turn: AtomicUsize::new(0),
            timeout: self.timeout,
            agent: self.agent,
            eras: Eras::default(),
        });
        store(&client)
    }
}

fn store(client: &Arc<Client>) -> Store {
    let (get, put, delete) = (client.clone(), client.clone(), client.clone());
    let (list, watch) = (client.clone(), client.clone());
    let calls = Calls {
        get: Box::new(move |key, _| {
            let client = get.clone();
            Box::pin(async move { client.get(&key).await })
        }),
        put: Box::new(move |key, value, when| {
            let client = put.clone();
            Box::pin(async move { client.put(&key, value, when).await })
        }),
        delete: Box::new(move |key, when| {
            let client = delete.clone();
            Box::pin(async move { client.delete(&key, when).await })
        }),
        list: Box::new(move |prefix, _| {
            let client = list.clone();
            Box::pin(async move { client.list(&prefix).await })
        }),
        watch: Box::new(move |prefix, since, wait| {
            let client = watch.clone();
            Box::pin(async move { client.watch(&prefix, since, wait).await })
        }),
    };
    Store::with_eras(calls, client.eras.clone())
}

/// What a call is, apart from the peer that it goes to.
struct Call {
    step: Step,
    method: Method,
    path: String,
    when: Condition,
    body: Bytes,
    limit: Duration,
}

impl Client {
    async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        let call = self.call(Step::Get, Method::GET, format!("/objects/{key}"));
        let reply = self.send(call).await?;
        reply.read(|response| answer::got(key, response))
    }

    async fn put(&self, key: &str, value: Bytes, when: Condition) -> Result<Version, Error> {
        let mut call = self.call(Step::Put, Method::PUT, format!("/objects/{key}"));
        call.when = when;
        call.body = value;
        let reply = self.send(call).await?;
        reply.read(|response| answer::put(&response))
    }

    async fn delete(&self, key: &str, when: Condition) -> Result<(), Error> {
        let mut call = self.call(Step::Delete, Method::DELETE, format!("/objects/{key}"));
        call.when = when;
        let reply = self.send(call).await?;
        reply.read(|response| answer::deleted(&response))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let path = format!("/objects?prefix={prefix}");
        let reply = self.send(self.call(Step::List, Method::GET, path)).await?;
        reply.read(|response| answer::parsed(&response, text::parse_listing))
    }

    async fn watch(&self, prefix: &str, since: Version, wait: Duration) -> Result<Change, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/watch?prefix={prefix}&since={since}&wait_ms={wait_ms}");
        let mut call = self.call(Step::Watch, Method::GET, path);
        call.limit += wait;
        let reply = self.send(call).await?;
        reply.read(|response| answer::parsed(&response, text::parse_change))
    }

    fn call(&self, step: Step, method: Method, path: String) -> Call {
        Call {
            step,
            method,
            path,
            when: Condition::Any,
            body: Bytes::new(),
            limit: self.timeout,
        }
    }

    /// Sends a call to the peers in turn until one could be reached.
    ///
    /// The next peer is asked only when nothing was sent to the one before. A write whose answer is
    /// missing may have been done: sent again to another peer it would meet its own version and look
    /// like a conflict with somebody else. A read is not sent again either, so that a call stays
    /// within its time; the next call goes to the next peer.
    async fn send(&self, call: Call) -> Result<Reply, Error> {
        let step = call.step;
        let first = self.turn.load(Ordering::Relaxed);
        let mut last = Error::new(step, "no peer", not_written("no peer is set"));
        for i in 0..self.peers.len() {
            let at = (first + i) % self.peers.len();
            let peer = &self.peers[at];
            let name = peer.address.to_string();
            let request = self.request(&call, &name);
            let request = request.map_err(|kind| Error::new(step, &name, kind))?;
            let sent = self.eras.sent(step);
            let kind = match peer.send(request, call.limit).await {
                Ok(response) => {
                    let judged = sent.answered(answer::era(response.headers()));
                    judged.map_err(|kind| Error::new(step, &name, kind))?;
                    return Ok(Reply::new(step, name, response));
                }
                Err(Failure::Unsent(cause)) => Kind::NotWritten(cause),
                Err(Failure::Cut(cause)) => Kind::Lost(cause),
            };
            self.turn_from(at);
            log::debug!("store: {step} failed at {name}: {kind}.");
            let open = matches!(kind, Kind::Lost(_));
            last = Error::new(step, &name, kind);
            if open {
                break;
            }
        }
        Err(last)
    }

    /// Leaves a peer that failed, unless another call has left it already.
    fn turn_from(&self, at: usize) {
        let next = (at + 1) % self.peers.len();
        let order = Ordering::Relaxed;
        // A failed exchange means that another call was faster, which is as good.
        let _ = self.turn.compare_exchange(at, next, order, order);
    }

    fn request(&self, call: &Call, peer: &str) -> Result<Request<Full<Bytes>>, Kind> {
        let head = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{peer}{}", call.path))
            .header(header::USER_AGENT, &self.agent);
        condition(head, call.when)
            .body(Full::new(call.body.clone()))
            .map_err(|error| not_written(&error.to_string()))
    }
}

fn condition(head: Head, when: Condition) -> Head {
    match when {
        Condition::Any => head,
        Condition::Absent => head.header(header::IF_NONE_MATCH, "*"),
        Condition::Match(version) => head.header(header::IF_MATCH, format!("\"{version}\"")),
    }
}

fn not_written(cause: &str) -> Kind {
    Kind::NotWritten(cause.to_string())
}

/// An answer with what its errors have to name.
struct Reply {
    step: Step,
    peer: String,
    response: Response<Bytes>,
}

impl Reply {
    fn new(step: Step, peer: String, response: Response<Bytes>) -> Reply {
        Reply {
            step,
            peer,
            response,
        }
    }

    fn read<T>(self, read: impl FnOnce(Response<Bytes>) -> Result<T, Kind>) -> Result<T, Error> {
        read(self.response).map_err(|kind| Error::new(self.step, &self.peer, kind))
    }
}
